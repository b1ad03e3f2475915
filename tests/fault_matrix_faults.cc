#include <algorithm>

#include "tests/fault_matrix_table.h"

namespace shallot::composed {
namespace {

using Fleet = ComposedFleet;

/// Longer than the lease of 10 s.
constexpr Millis kPastLease{12'000};
/// Start of the second fault of a pair, after the start of the first.
constexpr Millis kSecondFaultDelay{500};
/// Pause between the end of a fault and its repetition.
constexpr Millis kRepeatPause{200};

Fault AgentKilled() {
  return {"agent killed",
          {{Millis(0), [](Fleet& f, const CellTarget& t) { f.KillAgent(t.runner); }},
           {Millis(1000), [](Fleet& f, const CellTarget& t) { f.StartAgent(t.runner); }}}};
}

Fault RouterKilled() {
  return {"router killed",
          {{Millis(0), [](Fleet& f, const CellTarget& t) { f.KillRouter(t.router); }},
           {Millis(3000), [](Fleet& f, const CellTarget& t) { f.StartRouter(t.router); }}}};
}

Fault AgentPaused() {
  return {"agent paused past its lease",
          {{Millis(0), [](Fleet& f, const CellTarget& t) { f.PauseAgent(t.runner); }},
           {kPastLease, [](Fleet& f, const CellTarget& t) { f.ResumeAgent(t.runner); }}}};
}

Fault RouterPaused() {
  return {"router paused past its lease",
          {{Millis(0), [](Fleet& f, const CellTarget& t) { f.PauseRouter(t.router); }},
           {kPastLease, [](Fleet& f, const CellTarget& t) { f.ResumeRouter(t.router); }}}};
}

Fault WeightsSlow() {
  return {"weight store slow",
          {{Millis(0), [](Fleet& f, const CellTarget&) { f.SetSlowLoads(true); }},
           {Millis(6000), [](Fleet& f, const CellTarget&) { f.SetSlowLoads(false); }}}};
}

Fault Reclaimed() {
  return {"instance reclaimed",
          {{Millis(0), [](Fleet& f, const CellTarget& t) { f.ReclaimAgent(t.runner); }},
           {Millis(3000), [](Fleet& f, const CellTarget& t) { f.UnlistReclaimed(t.runner); }},
           {Millis(8000), [](Fleet& f, const CellTarget& t) { f.ReplaceAgent(t.runner); }}}};
}

Fault ListLags() {
  const auto replace = [](Fleet& f, const CellTarget& t) {
    f.SetListLag(true);
    f.ReclaimAgent(t.runner);
    f.ReplaceAgent(t.runner);
  };
  return {"instance list lags behind a replacement",
          {{Millis(0), replace},
           {Millis(8000), [](Fleet& f, const CellTarget&) { f.SetListLag(false); }}}};
}

Fault StoreDown() {
  return {"platform store down",
          {{Millis(0), [](Fleet& f, const CellTarget&) { f.store.SetDown(true); }},
           {kPastLease, [](Fleet& f, const CellTarget&) { f.store.SetDown(false); }}}};
}

Fault StoreSlow() {
  return {"platform store slow",
          {{Millis(0), [](Fleet& f, const CellTarget&) { f.SetStoreSlow(true); }},
           {Millis(8000), [](Fleet& f, const CellTarget&) { f.SetStoreSlow(false); }}}};
}

Fault AnswersLost() {
  return {"answers of store writes lost",
          {{Millis(0), [](Fleet& f, const CellTarget&) { f.store.LoseAnswers(3); }},
           {Millis(3000), [](Fleet& f, const CellTarget&) { f.store.LoseAnswers(0); }}}};
}

Fault Silent(const std::string& name, Network::Silence silence) {
  return {name,
          {{Millis(0), [silence](Fleet& f, const CellTarget&) { f.network.SilenceAll(silence); }},
           {Millis(3000), [](Fleet&, const CellTarget&) {}}}};
}

Fault LateOrder() {
  const auto kill = [](Fleet& f, const CellTarget& t) {
    f.backend(t.runner).checks_fencing = false;
    f.KillAgent(t.runner, true);
  };
  return {"engine ignores fencing numbers, order of a dead agent late",
          {{Millis(0), kill},
           {Millis(200), [](Fleet& f, const CellTarget& t) { f.StartAgent(t.runner); }},
           {Millis(3000), [](Fleet&, const CellTarget&) {}}}};
}

Fault Race() {
  const auto change = [](Fleet& f, const CellTarget&) {
    const ConfigRevision base = f.StoredRevision();
    f.Change(base);
    f.Change(base);
  };
  return {"two operators race",
          {{Millis(0), change}, {Millis(3000), [](Fleet&, const CellTarget&) {}}}};
}

Fault Merge(std::string name, const Fault& first, const Fault& second, Millis second_at) {
  Fault merged{std::move(name), first.actions};
  for (FaultAction action : second.actions) {
    action.at += second_at;
    merged.actions.push_back(action);
  }
  std::stable_sort(merged.actions.begin(), merged.actions.end(),
                   [](const FaultAction& a, const FaultAction& b) { return a.at < b.at; });
  return merged;
}

Fault Pair(const Fault& first, const Fault& second) {
  return Merge(first.name + " + " + second.name, first, second, kSecondFaultDelay);
}

Fault Twice(const Fault& fault) {
  return Merge(fault.name + ", twice", fault, fault, fault.actions.back().at + kRepeatPause);
}

}  // namespace

const std::vector<Fault>& SingleFaults() {
  static const std::vector<Fault> faults = {
      AgentKilled(),
      RouterKilled(),
      AgentPaused(),
      RouterPaused(),
      WeightsSlow(),
      Reclaimed(),
      StoreDown(),
      StoreSlow(),
      AnswersLost(),
      ListLags(),
      Silent("connections silent to the agent", {.to_listener = true, .to_dialer = false}),
      Silent("connections silent to the router", {.to_listener = false, .to_dialer = true}),
      Silent("connections silent both ways", {.to_listener = true, .to_dialer = true}),
      LateOrder(),
      Race()};
  return faults;
}

const std::vector<Fault>& PairedFaults() {
  static const Fault silent =
      Silent("connections silent both ways", {.to_listener = true, .to_dialer = true});
  static const std::vector<Fault> faults = {Pair(AgentKilled(), StoreDown()),
                                            Pair(RouterKilled(), AnswersLost()),
                                            Pair(AgentPaused(), silent),
                                            Pair(Reclaimed(), StoreSlow()),
                                            Pair(RouterPaused(), Race()),
                                            Pair(WeightsSlow(), AgentKilled()),
                                            Pair(ListLags(), RouterKilled()),
                                            Pair(AnswersLost(), AgentKilled()),
                                            Twice(AgentKilled()),
                                            Twice(RouterKilled()),
                                            Twice(Reclaimed()),
                                            Twice(silent),
                                            Twice(StoreDown())};
  return faults;
}

}  // namespace shallot::composed
