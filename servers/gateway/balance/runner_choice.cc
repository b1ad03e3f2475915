#include "servers/gateway/balance/runner_choice.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace shallot::gateway {
namespace {

/// Difference in ms by which a weight falls to 1/e: as much as the predictions of several gateways
/// differ from the truth by one call in flight that they do not know of.
constexpr double kWeightScaleMs = 4;

bool LessScore(const ScoredRunner& left, const ScoredRunner& right) {
  return left.score < right.score;
}

class LowestChoice : public RunnerChoice {
 public:
  size_t Choose(const std::vector<ScoredRunner>& runners) override {
    const auto lowest = std::min_element(runners.begin(), runners.end(), LessScore);
    return static_cast<size_t>(std::distance(runners.begin(), lowest));
  }
};

class TwoRandomChoice : public RunnerChoice {
 public:
  explicit TwoRandomChoice(Random* random) : random_(random) {}

  size_t Choose(const std::vector<ScoredRunner>& runners) override {
    const size_t count = runners.size();
    if (count == 1) return 0;
    const auto first = static_cast<size_t>(random_->Below(count));
    const auto second = (first + 1 + static_cast<size_t>(random_->Below(count - 1))) % count;
    size_t chosen = runners[second].score < runners[first].score ? second : first;
    // Without the holder of the prompt, cached prefixes would be lost with many candidates.
    const auto less_kept = [](const ScoredRunner& left, const ScoredRunner& right) {
      if (left.kept_tokens != right.kept_tokens) return left.kept_tokens < right.kept_tokens;
      return left.score > right.score;
    };
    const auto most = std::max_element(runners.begin(), runners.end(), less_kept);
    const auto holder = static_cast<size_t>(std::distance(runners.begin(), most));
    if (most->kept_tokens > 0 && most->score < runners[chosen].score) chosen = holder;
    return chosen;
  }

 private:
  Random* random_;
};

class WeightedChoice : public RunnerChoice {
 public:
  explicit WeightedChoice(Random* random) : random_(random) {}

  size_t Choose(const std::vector<ScoredRunner>& runners) override {
    const auto best = std::min_element(runners.begin(), runners.end(), LessScore);
    const double lowest = best->score;
    const auto weight = [lowest](const ScoredRunner& runner) {
      return std::exp((lowest - runner.score) / kWeightScaleMs);
    };
    double total = 0;
    for (const ScoredRunner& runner : runners) total += weight(runner);
    double left = random_->Unit() * total;
    for (size_t index = 0; index < runners.size(); ++index) {
      left -= weight(runners[index]);
      if (left < 0) return index;
    }
    return static_cast<size_t>(std::distance(runners.begin(), best));
  }

 private:
  Random* random_;
};

}  // namespace

const std::vector<std::string>& ChoiceNames() {
  static const std::vector<std::string> kNames = {"lowest", "two-random", "weighted"};
  return kNames;
}

const char* ChoiceName(ChoiceKind kind) { return ChoiceNames()[static_cast<size_t>(kind)].c_str(); }

std::optional<ChoiceKind> ParseChoice(const std::string& name) {
  const std::vector<std::string>& names = ChoiceNames();
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<ChoiceKind>(std::distance(names.begin(), found));
}

std::unique_ptr<RunnerChoice> RunnerChoice::Make(ChoiceKind kind, Random* random) {
  switch (kind) {
    case ChoiceKind::kTwoRandom:
      return std::make_unique<TwoRandomChoice>(random);
    case ChoiceKind::kWeighted:
      return std::make_unique<WeightedChoice>(random);
    case ChoiceKind::kLowest:
      break;
  }
  return std::make_unique<LowestChoice>();
}

}  // namespace shallot::gateway
