#include "tests/soak/standin_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "core/hashing.h"
#include "core/log.h"

namespace shallot::soak {
namespace {

using gateway::CallerConnection;
using gateway::HttpMessage;
using gateway::TimerId;
using Json = nlohmann::json;

/// Time of a plain call and pause before each event of a stream. The deployments state 15 to 60 ms.
/// Range of the time for which a runner closes itself.
constexpr uint64_t kShortestClosedMs = 700;
constexpr uint64_t kClosedSpreadMs = 1'300;
constexpr Millis kWorkTime{20};
/// Load time of a model from the weight store and from the runner's disk.
constexpr Millis kStoreLoad{600};
constexpr Millis kDiskLoad{100};
/// A late order is executed within this time.
constexpr uint64_t kLateOrderMs = 3'000;

/// Statuses with which a runner fails a call that it has run. None of them states "not run".
constexpr std::array<int, 4> kFailureStatuses = {500, 503, 429, 408};

/// The status of a failed call. It follows from the id, so that the faults drawn after it are those
/// of the seed.
int FailureStatus(const RequestId& id) {
  return kFailureStatuses[StableHash(id.value()) % kFailureStatuses.size()];
}

std::string Field(const HttpMessage& request, std::string_view name) {
  const std::string* value = request.head.Find(name);
  return value == nullptr ? std::string() : *value;
}

}  // namespace

StandinRunner::StandinRunner(RunnerContext* context, const RunnerSpec& spec)
    : context_(context),
      spec_(spec),
      listener_(std::make_unique<gateway::CallerListener>(context->loop, spec.id, this)) {
  if (spec_.is_engine) models_ = {"m0", "m1"};
  on_disk_ = models_;
}

StandinRunner::~StandinRunner() {
  for (auto& [connection, work] : executing_) context_->loop->Cancel(work.timer);
}

bool StandinRunner::IsExecuting(const RequestId& id) const {
  return std::any_of(executing_.begin(), executing_.end(),
                     [&](const auto& entry) { return entry.second.id == id; });
}

Json StandinRunner::Inventory() const {
  Json models = Json::array();
  for (const std::string& name : models_) {
    models.push_back({{"name", name}, {"version", 1}, {"adapters", Json::array()}});
  }
  return {{"models", models},
          {"at-hand", {{"in-memory", Json::array()}, {"on-disk", on_disk_}}},
          {"born", spec_.born}};
}

void StandinRunner::Heartbeat() {
  Json entry = Inventory();
  entry.update({{"service", spec_.backend},
                {"address", spec_.public_address},
                {"zone", "north"},
                {"version", "v1"},
                {"slots", 8},
                {"state", draining_ ? "draining" : "ready"},
                {"seq", ++heartbeat_}});
  context_->store->Put("servers/" + spec_.id, entry.dump());
}

void StandinRunner::BeginDraining(bool announced) {
  if (draining_) return;
  draining_ = true;
  draining_since_ = context_->loop->Now();
  if (announced) Heartbeat();
}

void StandinRunner::Reject(CallerConnection* connection, const HttpMessage& request, int status,
                           bool closed) {
  HttpMessage answer;
  answer.head.status = status;
  answer.head.reason = "Not Run";
  const std::string id = Field(request, "Attempt-Id");
  if (!id.empty()) answer.head.Set("Attempt-Id", id);
  if (draining_) TellLeaving(RequestId(id), &answer.head);
  if (closed) {
    const Millis time(kShortestClosedMs + context_->random->Below(kClosedSpreadMs));
    answer.head.Set("Retry-After", fmt::format("{}", static_cast<double>(time.count()) / 1000.0));
    context_->ledger->OnTold(RequestId(id), RunnerId(spec_.id),
                             {false, context_->loop->Now() + time});
  }
  answer.head.Set("Not-Executed", "1");
  answer.head.Set("Instance-Id", spec_.id);
  connection->Answer(answer);
}

void StandinRunner::OnRequest(CallerConnection* connection, HttpMessage request) {
  if (faults_.silent) return;
  const std::string expected = Field(request, "Expect-Instance");
  if (!expected.empty() && expected != spec_.id) {
    Reject(connection, request, 421);
    return;
  }
  if (request.head.target == "/v1/order") {
    HandleOrder(connection, request);
    return;
  }
  if (request.head.target == "/v1/report") {
    Json report = Inventory();
    report.update({{"busy", order_under_way_}, {"seq", sequence_}, {"running", executing_.size()}});
    HttpMessage answer;
    answer.head.status = 200;
    answer.head.reason = "OK";
    answer.body = report.dump();
    connection->Answer(answer);
    return;
  }
  HandleCall(connection, std::move(request));
}

void StandinRunner::HandleOrder(CallerConnection* connection, const HttpMessage& request) {
  const Json order = Json::parse(request.body);
  if (context_->random->Unit() < faults_.late_orders) {
    context_->loop->After(Millis(context_->random->Below(kLateOrderMs)),
                          [this, order, alive = std::weak_ptr<bool>(alive_)] {
                            if (!alive.expired()) (void)ApplyOrder(order);
                          });
    connection->Abort();
    return;
  }
  HttpMessage answer;
  answer.head.status = ApplyOrder(order);
  answer.head.reason = "Order";
  connection->Answer(answer);
}

int StandinRunner::ApplyOrder(const Json& order) {
  const std::string holder = order["holder"].get<std::string>();
  const auto fence = order["fence"].get<uint64_t>();
  if (fence < highest_fence_) return 412;
  if (fence == highest_fence_ && !fence_holder_.empty() && holder != fence_holder_) {
    context_->ledger->AddViolation(
        fmt::format("runner {}: orders of {} and {} with the same fence {}", spec_.id,
                    fence_holder_, holder, fence));
  }
  highest_fence_ = fence;
  fence_holder_ = holder;
  if (order_under_way_ || order["precondition"].get<uint64_t>() != sequence_) return 409;
  return ExecuteOrder(order);
}

int StandinRunner::ExecuteOrder(const Json& order) {
  const std::string model = order["model"].get<std::string>();
  if (order["op-type"] == "unload") {
    if (models_.erase(model) == 0) return 200;
    ++sequence_;
    return 202;
  }
  if (models_.contains(model)) return 200;
  const int needed = static_cast<int>(models_.size() + 1) * kModelMb;
  if (needed > kMemoryMb) {
    context_->ledger->AddViolation(
        fmt::format("runner {}: ordered to load {} MB into {}", spec_.id, needed, kMemoryMb));
    return 202;
  }
  ++sequence_;
  order_under_way_ = true;
  const Millis time = on_disk_.contains(model) ? kDiskLoad : kStoreLoad;
  context_->loop->After(time, [this, model, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired()) return;
    models_.insert(model);
    on_disk_.insert(model);
    order_under_way_ = false;
    if (!draining_) Heartbeat();
  });
  return 202;
}

Duration StandinRunner::WorkTime() {
  return std::chrono::duration_cast<Duration>(kWorkTime * faults_.slow_factor);
}

void StandinRunner::TellLeaving(const RequestId& id, gateway::HttpHead* head) const {
  head->Set("Server-Leaving", "1");
  context_->ledger->OnTold(id, RunnerId(spec_.id), {true, std::nullopt});
}

gateway::HttpHead StandinRunner::SealedHead(const RequestId& id, int status) const {
  gateway::HttpHead head;
  head.status = status;
  head.reason = "Answer";
  head.Set("Attempt-Id", id.value());
  head.Set("Server-Seal", "seal-" + spec_.id);
  if (draining_) TellLeaving(id, &head);
  if (limit_) head.Set("Server-Limit", fmt::format("{}", limit_->calls_per_s));
  return head;
}

void StandinRunner::HandleCall(CallerConnection* connection, HttpMessage request) {
  const std::string model = Field(request, "Model-Name");
  context_->ledger->OnArrival(RequestId(Field(request, "Attempt-Id")), RunnerId(spec_.id),
                              BackendName(spec_.backend), context_->loop->Now());
  if (spec_.is_engine && !models_.contains(model)) {
    Reject(connection, request, 421);
    return;
  }
  if (faults_.closings > 0 && context_->random->Unit() < faults_.closings) {
    Reject(connection, request, 503, true);
    return;
  }
  if (context_->random->Unit() < faults_.rejections) {
    Reject(connection, request, 503);
    return;
  }
  Work work;
  work.id = RequestId(Field(request, "Attempt-Id"));
  work.stream = spec_.is_engine;
  work.deadly = Field(request, "Prompt-Prefix").find(kDeadlyPart) != std::string::npos ||
                request.head.target.ends_with(kDeadlyQuery);
  CallRun run{RunnerId(spec_.id),
              BackendName(spec_.backend),
              request.head.method,
              request.head.target,
              request.body,
              model,
              0,
              context_->loop->Now(),
              std::nullopt};
  const std::string resume = Field(request, "Last-Event-Id");
  if (!resume.empty()) {
    run.resume_after = std::stoull(resume);
    work.next_event = run.resume_after + 1;
  }
  ++runs_;
  last_run_at_ = run.at;
  context_->ledger->OnRun(work.id, run);
  work.request = std::move(request);
  work.timer = context_->loop->After(WorkTime(), [this, connection] {
    if (executing_.at(connection).deadly) {
      context_->loop->Defer([crash = context_->crash, id = spec_.id] { crash(id); });
    } else if (executing_.at(connection).stream) {
      SendNextEvent(connection);
    } else {
      FinishPlain(connection);
    }
  });
  executing_[connection] = std::move(work);
}

void StandinRunner::FinishPlain(CallerConnection* connection) {
  const Work work = std::move(executing_.at(connection));
  executing_.erase(connection);
  if (context_->random->Unit() < faults_.lost_answers) {
    connection->Abort();
    return;
  }
  const bool fails = context_->random->Unit() < faults_.errors;
  HttpMessage answer{SealedHead(work.id, fails ? FailureStatus(work.id) : 200), ""};
  const auto& head = work.request.head;
  answer.body = fails ? "failed"
                      : CallLedger::PlainBody(work.id, head.method, head.target, work.request.body);
  context_->ledger->OnRunnerAnswer(work.id, answer.head.status);
  if (context_->random->Unit() < faults_.cut_answers) {
    connection->BeginStream(answer.head);
    connection->SendChunk(answer.body.substr(0, answer.body.size() / 2));
    connection->Abort();
    return;
  }
  connection->Answer(answer);
}

void StandinRunner::SendNextEvent(CallerConnection* connection) {
  Work& work = executing_.at(connection);
  if (!work.head_sent) {
    work.head_sent = true;
    gateway::HttpHead head = SealedHead(work.id, 200);
    head.Set("Content-Type", "text/event-stream");
    context_->ledger->OnRunnerAnswer(work.id, 200);
    connection->BeginStream(head);
  }
  if (work.next_event > CallLedger::kEvents) {
    executing_.erase(connection);
    connection->FinishStream();
    return;
  }
  const std::string text = CallLedger::EventText(work.id, work.next_event);
  if (context_->random->Unit() < faults_.cut_answers / static_cast<double>(CallLedger::kEvents)) {
    connection->SendChunk(text.substr(0, text.size() / 2));
    executing_.erase(connection);
    connection->Abort();
    return;
  }
  connection->SendChunk(text);
  ++work.next_event;
  work.timer = context_->loop->After(WorkTime(), [this, connection] { SendNextEvent(connection); });
}

void StandinRunner::OnCallerGone(CallerConnection* connection) {
  const auto found = executing_.find(connection);
  if (found == executing_.end()) return;
  context_->loop->Cancel(found->second.timer);
  executing_.erase(found);
}

}  // namespace shallot::soak
