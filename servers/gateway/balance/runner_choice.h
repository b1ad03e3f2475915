#ifndef SERVERS_GATEWAY_BALANCE_RUNNER_CHOICE_H_
#define SERVERS_GATEWAY_BALANCE_RUNNER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"

namespace shallot::gateway {

/// How a gateway chooses among the runners that can take a call.
enum class ChoiceKind {
  /// The lowest score.
  kLowest,
  /// The lower score of two random candidates and of the one that has most of the prompt cached.
  kTwoRandom,
  /// Random, with weights that fall with the score.
  kWeighted,
};

/// The names of all kinds, as in the settings file.
const std::vector<std::string>& ChoiceNames();
const char* ChoiceName(ChoiceKind kind);
/// Absent if there is no such kind.
std::optional<ChoiceKind> ParseChoice(const std::string& name);

/// What a choice knows of a runner that can take the call now.
struct ScoredRunner {
  /// Predicted time and costs in ms; lower is better.
  double score = 0;
  /// Tokens of the prompt that the runner probably has cached.
  uint64_t kept_tokens = 0;
};

/// Chooses one of the runners that can take a call. Many gateways choose at the same time on
/// reports that are some hundred milliseconds old, so that the runner with the lowest score at one
/// of them has it at most of them.
class RunnerChoice {
 public:
  virtual ~RunnerChoice() = default;
  /// Returns an index into `runners`, which is not empty.
  virtual size_t Choose(const std::vector<ScoredRunner>& runners) = 0;

  /// `random` must outlive the result.
  static std::unique_ptr<RunnerChoice> Make(ChoiceKind kind, Random* random);
};

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_BALANCE_RUNNER_CHOICE_H_
