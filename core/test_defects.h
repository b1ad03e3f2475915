#ifndef CORE_TEST_DEFECTS_H_
#define CORE_TEST_DEFECTS_H_

namespace shallot {

/// Deliberate defects that show that the tests find them. They exist only in a build with
/// -DSHALLOT_DEFECTS=ON, where the environment variable SHALLOT_DEFECT selects one by its name.
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
/// True when the defect is selected.
bool HasDefect(TestDefect defect);
#else
constexpr bool HasDefect(TestDefect /*defect*/) { return false; }
#endif

}  // namespace shallot

#endif  // CORE_TEST_DEFECTS_H_
