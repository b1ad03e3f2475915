#include "drivers/crash_codec.h"

#include <algorithm>

#include "drivers/wire/crash.pb.h"

namespace shallot {
namespace {

template <class Repeated, class Traits>
void EncodeTraits(const Traits& traits, Repeated* wire) {
  for (const CallTrait& trait : traits) *wire->Add() = trait.value();
}

template <class Repeated>
TraitSet DecodeTraits(const Repeated& wire) {
  TraitSet traits;
  for (const std::string& trait : wire) traits.insert(CallTrait(trait));
  return traits;
}

void EncodeCrash(const CrashReport& report, wire::CrashReport* wire) {
  wire->set_runner(report.crash.runner.value());
  wire->set_born(report.crash.born.value());
  wire->set_domain(report.domain.value());
  for (const auto& call : report.calls) EncodeTraits(call, wire->add_calls()->mutable_traits());
  EncodeTraits(report.served_before, wire->mutable_served_before());
  EncodeTraits(report.served_after, wire->mutable_served_after());
}

CrashReport DecodeCrash(const wire::CrashReport& wire) {
  CrashReport report;
  report.crash = {RunnerId(wire.runner()), RunnerStartTime(wire.born())};
  report.domain = FailureDomain(wire.domain());
  for (const wire::CrashedCall& call : wire.calls()) {
    std::vector<CallTrait>& traits = report.calls.emplace_back();
    for (const std::string& trait : call.traits()) traits.emplace_back(trait);
  }
  report.served_before = DecodeTraits(wire.served_before());
  report.served_after = DecodeTraits(wire.served_after());
  return report;
}

}  // namespace

void EncodeCrashFindings(const CrashFindings& findings, wire::CrashFindings* wire) {
  for (const CrashReport& crash : findings.crashes) EncodeCrash(crash, wire->add_crashes());
  for (const QuarantinedTraits& quarantined : findings.quarantined) {
    wire::QuarantinedTraits* out = wire->add_quarantined();
    EncodeTraits(quarantined.traits, out->mutable_traits());
    out->set_relapses(quarantined.relapses);
    out->set_remaining_ms(quarantined.remaining.count());
  }
}

CrashFindings DecodeCrashFindings(const wire::CrashFindings& wire) {
  CrashFindings findings;
  for (const wire::CrashReport& crash : wire.crashes()) {
    findings.crashes.push_back(DecodeCrash(crash));
  }
  for (const wire::QuarantinedTraits& quarantined : wire.quarantined()) {
    const Millis remaining(std::clamp<int64_t>(
        quarantined.remaining_ms(), 0, Millis(CrashQuarantine::kLongestQuarantine).count()));
    findings.quarantined.push_back(
        {DecodeTraits(quarantined.traits()), quarantined.relapses(), remaining});
  }
  return findings;
}

}  // namespace shallot
