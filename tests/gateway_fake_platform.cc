#include "tests/gateway_fake_platform.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <future>
#include <stdexcept>

namespace shallot::gateway {
namespace {

using Json = nlohmann::json;

/// Interval at which actions of other threads are run.
constexpr Millis kQueueInterval{2};
constexpr uint64_t kBorn = 1'700'000'000'000;
constexpr uint64_t kStoreSeed = 1;

}  // namespace

std::string FreeLoopbackAddress() {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  return socket.address().toString();
}

FakePlatform::FakePlatform()
    : loop_(&clock_),
      store_(&loop_, kStoreSeed),
      runner_(&loop_, "runner", this),
      side_entrance_(this),
      side_listener_(&loop_, "side entrance", &side_entrance_),
      store_address_(FreeLoopbackAddress()),
      side_entrance_address_(FreeLoopbackAddress()),
      runner_address_(FreeLoopbackAddress()) {
  if (!IsOk(store_.Open(store_address_)) || !IsOk(runner_.Open(runner_address_)) ||
      !IsOk(side_listener_.Open(side_entrance_address_))) {
    throw std::runtime_error("the fake platform cannot listen");
  }
  loop_.After(Duration(0), [this] { RunQueued(); });
  thread_ = std::thread([this] { loop_.Run(); });
}

void FakePlatform::Queue(std::function<void()> action) {
  const std::lock_guard<std::mutex> lock(mutex_);
  queued_.push_back(std::move(action));
}

void FakePlatform::RunQueued() {
  std::vector<std::function<void()>> queued;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    queued.swap(queued_);
  }
  for (const auto& action : queued) action();
  loop_.After(kQueueInterval, [this] { RunQueued(); });
}

FakePlatform::~FakePlatform() {
  loop_.Stop();
  thread_.join();
}

void FakePlatform::Put(const std::string& key, const std::string& value) {
  Queue([this, key, value] { store_.Put(key, value); });
}

void FakePlatform::Remove(const std::string& key) {
  Queue([this, key] { store_.Remove(key); });
}

std::optional<std::string> FakePlatform::StoreValue(const std::string& key) {
  std::promise<std::optional<std::string>> value;
  Queue([&] { value.set_value(store_.Value(key)); });
  return value.get_future().get();
}

void FakePlatform::CutWatchesAndRemove(const std::string& key) {
  Queue([this, key] {
    if (!store_.AbortWatchers()) {
      CutWatchesAndRemove(key);
      return;
    }
    store_.Remove(key);
  });
}

void FakePlatform::CopyStore() {
  Queue([this] { copy_ = store_.TakeCopy(); });
}

void FakePlatform::RestoreStore(const std::vector<std::pair<std::string, std::string>>& writes) {
  Queue([this, writes] {
    store_.Restore(copy_);
    for (const auto& [key, value] : writes) store_.Put(key, value);
  });
}

void FakePlatform::SetStoreFaults(const StoreFaults& faults) {
  Queue([this, faults] { store_.SetFaults(faults); });
}

void FakePlatform::SilenceStoreConnections() {
  Queue([this] { store_.SilenceConnections(); });
}

size_t FakePlatform::StoreConnections() {
  std::promise<size_t> count;
  Queue([&] { count.set_value(store_.connections_used()); });
  return count.get_future().get();
}

size_t FakePlatform::WaitingWatches() {
  std::promise<size_t> count;
  Queue([&] { count.set_value(store_.waiting_watches()); });
  return count.get_future().get();
}

void FakePlatform::SetSideEntranceFaults(const StoreFaults& faults) {
  Queue([this, faults] { side_entrance_.faults_ = faults; });
}

void FakePlatform::SideEntrance::OnRequest(CallerConnection* connection, HttpMessage request) {
  if (faults_.silent) return;
  if (faults_.busy) {
    owner_->Answer(connection, 503, Json::object());
    return;
  }
  owner_->store_.OnRequest(connection, std::move(request));
}

void FakePlatform::SideEntrance::OnCallerGone(CallerConnection* connection) {
  owner_->store_.OnCallerGone(connection);
}

void FakePlatform::PutRunner() {
  Queue([this] {
    Json entry = Holdings();
    entry.update({{"service", "engine"},
                  {"address", runner_address_},
                  {"zone", "north"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", "ready"},
                  {"seq", ++heartbeat_},
                  {"born", kBorn}});
    store_.Put("servers/i-1", entry.dump());
  });
}

Json FakePlatform::Holdings() const {
  Json models = Json::array();
  for (const auto& [name, held] : models_) {
    models.push_back({{"name", name}, {"version", 1}, {"adapters", Json::array()}});
  }
  return {{"models", models}, {"at-hand", {{"in-memory", {"m1"}}, {"on-disk", {"m1"}}}}};
}

void FakePlatform::Answer(CallerConnection* connection, int status, const Json& body) {
  HttpMessage answer;
  answer.head.status = status;
  answer.head.reason = "Answer";
  answer.head.Set("Content-Type", "application/json");
  answer.body = body.dump();
  connection->Answer(answer);
}

void FakePlatform::OnCallerGone(CallerConnection* /*connection*/) { ++calls_abandoned_; }

void FakePlatform::OnRequest(CallerConnection* connection, HttpMessage request) {
  const std::string path = request.head.Path();
  if (path == "/v1/order") {
    HandleOrder(connection, request.body);
  } else if (path == "/v1/report") {
    Json report = Holdings();
    report.update({{"busy", false}, {"seq", sequence_}, {"born", kBorn}});
    Answer(connection, 200, report);
  } else {
    HandleCall(connection, request);
  }
}

void FakePlatform::HandleOrder(CallerConnection* connection, const std::string& body) {
  const Json order = Json::parse(body);
  ++orders_;
  if (order["precondition"].get<uint64_t>() != sequence_ || refuse_orders_) {
    Answer(connection, 409, Json::object());
    return;
  }
  ++sequence_;
  const std::string model = order["model"].get<std::string>();
  if (order["op-type"] == "load") {
    models_[model] = true;
  } else {
    models_.erase(model);
  }
  Answer(connection, 202, Json::object());
}

void FakePlatform::HandleCall(CallerConnection* connection, const HttpMessage& request) {
  ++calls_;
  if (request.head.target.find("/hang/") != std::string::npos) return;
  HttpMessage answer;
  answer.head.status = 200;
  answer.head.reason = "OK";
  answer.head.Set("Attempt-Id", *request.head.Find("Attempt-Id"));
  answer.head.Set("Server-Seal", "seal");
  const std::string* model = request.head.Find("Model-Name");
  if (model != nullptr && !models_.contains(*model)) {
    answer.head.status = 421;
    answer.head.Set("Instance-Id", "i-1");
    connection->Answer(answer);
    return;
  }
  if (model == nullptr) {
    answer.body = "echo " + request.head.method + " " + request.body;
    connection->Answer(answer);
    return;
  }
  answer.head.Set("Content-Type", "text/event-stream");
  connection->BeginStream(answer.head);
  connection->SendChunk("id: 1\ndata: a\n\nid: 2\nda");
  connection->SendChunk("ta: b\n\n");
  connection->FinishStream();
}

}  // namespace shallot::gateway
