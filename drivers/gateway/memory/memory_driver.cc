#include "drivers/gateway/memory/memory_driver.h"

#include <fmt/format.h>

#include "core/log.h"

namespace shallot::gateway {

bool MemoryDriver::Tick() {
  const SteadyTime now = context_->loop.Now();
  const bool leads = placement_->Leads();
  if (!was_leader_ && leads) context_->memory_issuer.Start(now);
  was_leader_ = leads;
  DropGoneRunners(now);
  RunnerMemory& memory = context_->runner_memory;
  memory.SetGateways(context_->KnownGateways());
  context_->memory_issuer.SetGateways(context_->KnownGateways());
  memory.SetIssuerKnown(leads || context_->leader.has_value());
  LogIssuer(now);
  MemoryRequest request{context_->settings.instance, context_->settings.peer_address,
                        last_number_ + 1, memory.TakeAsks(last_number_ + 1, now)};
  if (request.asks.empty()) return false;
  for (MemoryAsk& ask : request.asks) ask.capacity = Capacity(ask.run);
  ++last_number_;
  context_->metrics->GetCounter("memory_requests_total").Add();
  if (leads) {
    OnResponse(Issue(request));
    return true;
  }
  if (!context_->leader) return false;
  if (!context_->peers.Send(context_->leader->address, request)) {
    LogInfo("peer", "event=memory-request-not-sent leader=" + context_->leader->holder.value());
  }
  return false;
}

uint64_t MemoryDriver::Capacity(const RunnerRun& run) const {
  const RunnerState* runner = context_->view.Find(run.runner);
  if (runner == nullptr || runner->entry.born != run.born || context_->routes == nullptr) return 0;
  const EngineSpec* engine = context_->routes->Engine(runner->entry.backend);
  return engine == nullptr ? 0 : engine->kv_capacity_tokens;
}

MemoryResponse MemoryDriver::Issue(const MemoryRequest& request) {
  MemoryResponse response{request.number, {}};
  for (const MemoryAsk& ask : request.asks) {
    // A runner that this gateway does not list, or lists as of an earlier run, still has callers.
    const uint64_t known = Capacity(ask.run);
    const uint64_t capacity = known > 0 ? known : ask.capacity;
    response.grants.push_back(
        context_->memory_issuer.Issue(request.gateway, ask, capacity, context_->loop.Now()));
    const MemoryGrant& grant = response.grants.back();
    if (ask.calls.empty() || grant.limit > ask.held) continue;
    context_->metrics->GetCounter("memory_requests_unmet_total").Add();
    LogInfo("memory", fmt::format("event=no-memory runner={} gateway={} held={} calls={} free={} "
                                  "capacity={}",
                                  ask.run.runner.value(), request.gateway.value(), ask.held,
                                  ask.calls.size(), grant.free, capacity));
  }
  return response;
}

void MemoryDriver::OnRequest(const MemoryRequest& request) {
  // Without a response, the gateway uses its equal share until it knows the leader.
  if (!placement_->Leads()) return;
  if (!context_->peers.Send(request.address, Issue(request))) {
    LogInfo("peer", "event=memory-not-granted gateway=" + request.gateway.value());
  }
}

void MemoryDriver::OnResponse(const MemoryResponse& response) {
  context_->runner_memory.OnGrants(response.number, response.grants, context_->loop.Now());
}

void MemoryDriver::DropGoneRunners(SteadyTime now) {
  if (now - cleaned_at_ < Duration(kCleanInterval)) return;
  cleaned_at_ = now;
  context_->memory_issuer.Retain(
      [this](const RunnerRun& run) {
        const RunnerState* runner = context_->view.Find(run.runner);
        return runner == nullptr || runner->entry.born <= run.born;
      },
      now);
}

void MemoryDriver::LogIssuer(SteadyTime now) {
  const bool governed = context_->runner_memory.Governed(now);
  if (governed == was_governed_) return;
  was_governed_ = governed;
  LogInfo("memory",
          fmt::format("event={} leader={} gateways={}", governed ? "issuer" : "equal-share",
                      context_->leader ? context_->leader->holder.value() : "none",
                      context_->KnownGateways()));
}

}  // namespace shallot::gateway
