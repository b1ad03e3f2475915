#ifndef CORE_TEST_DEFECTS_H_
#define CORE_TEST_DEFECTS_H_

namespace shallot {

/// Deliberate defects, used to verify that the tests detect them. They are compiled in only with
/// -DSHALLOT_DEFECTS=ON; the environment variable SHALLOT_DEFECT then selects one by its name.
enum class TestDefect {
  kSkipIncarnation,
  kReleaseMemoryEarly,
  kRetryOrder,
  kRunWithoutClaim,
  kForgetTombstones,
  kAcceptOlderConfig,
  kDropAttemptCheck,
  kMoveBeforeRelease,
  kAcceptWhileDraining,
  kNotRunAfterSending,
};

#ifdef SHALLOT_DEFECTS
/// Returns whether the defect is selected.
bool HasDefect(TestDefect defect);
#else
constexpr bool HasDefect(TestDefect /*defect*/) { return false; }
#endif

}  // namespace shallot

#endif  // CORE_TEST_DEFECTS_H_
