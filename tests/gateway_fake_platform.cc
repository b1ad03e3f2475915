#include "tests/gateway_fake_platform.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace shallot::gateway {
namespace {

using Json = nlohmann::json;

/// Changes of other threads are taken over this often.
constexpr Millis kTakeOver{2};
constexpr Millis kWatchWait{200};
constexpr uint64_t kBorn = 1'700'000'000'000;

std::string Encoded(const std::string& bytes) {
  std::ostringstream text;
  Poco::Base64Encoder encoder(text);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return text.str();
}

std::string Decoded(const std::string& text) {
  std::istringstream stream(text);
  Poco::Base64Decoder decoder(stream);
  std::string bytes;
  Poco::StreamCopier::copyToString(decoder, bytes);
  return bytes;
}

std::string Parameter(const Poco::URI& uri, const std::string& name) {
  for (const auto& [key, value] : uri.getQueryParameters()) {
    if (key == name) return value;
  }
  return {};
}

}  // namespace

std::string FreeLoopbackAddress() {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  return socket.address().toString();
}

FakePlatform::FakePlatform()
    : loop_(&clock_),
      store_(&loop_, "store", this),
      runner_(&loop_, "runner", this),
      store_address_(FreeLoopbackAddress()),
      runner_address_(FreeLoopbackAddress()) {
  if (!IsOk(store_.Open(store_address_)) || !IsOk(runner_.Open(runner_address_))) {
    throw std::runtime_error("the fake platform cannot listen");
  }
  auto take_over = std::make_shared<std::function<void()>>();
  *take_over = [this, take_over] {
    std::vector<std::pair<std::string, std::string>> puts;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      puts.swap(puts_);
    }
    for (const auto& [key, value] : puts) {
      if (key.empty()) {
        Json entry = Holdings();
        entry.update({{"service", "engine"},
                      {"address", runner_address_},
                      {"zone", "north"},
                      {"version", "v1"},
                      {"slots", 8},
                      {"state", "ready"},
                      {"seq", ++heartbeat_},
                      {"born", kBorn}});
        Store("servers/i-1", entry.dump());
      } else {
        Store(key, value);
      }
    }
    loop_.After(kTakeOver, *take_over);
  };
  loop_.After(Duration(0), *take_over);
  thread_ = std::thread([this] { loop_.Run(); });
}

FakePlatform::~FakePlatform() {
  loop_.Stop();
  thread_.join();
}

void FakePlatform::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  puts_.emplace_back(key, value);
}

void FakePlatform::PutRunner() { Put("", ""); }

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

void FakePlatform::OnRequest(CallerConnection* connection, HttpMessage request) {
  Serve(connection, request);
}

void FakePlatform::OnCallerGone(CallerConnection* connection) {
  const auto gone = std::find_if(watchers_.begin(), watchers_.end(), [&](const Watcher& watcher) {
    return watcher.connection == connection;
  });
  if (gone == watchers_.end()) {
    ++calls_abandoned_;
    return;
  }
  loop_.Cancel(gone->timer);
  watchers_.erase(gone);
}

void FakePlatform::Serve(CallerConnection* connection, const HttpMessage& request) {
  const Poco::URI uri(request.head.target);
  const std::string path = uri.getPath();
  if (path == "/v1/kv-range") {
    Range(connection, Parameter(uri, "path-prefix"));
  } else if (path == "/v1/kv-watch") {
    Watch(connection, Parameter(uri, "path-prefix"), std::stoull(Parameter(uri, "after")));
  } else if (path == "/v1/kv-txn") {
    Write(connection, request.body);
  } else if (path == "/v1/kv-lease") {
    Answer(connection, 200, {{"lease", ++last_lease_}, {"ttl-ms", 3'000}});
  } else if (path.starts_with("/v1/kv-keep/") || path.starts_with("/v1/kv-lease-end/")) {
    Answer(connection, 200, {{"ttl-ms", 3'000}});
  } else if (path == "/v1/order") {
    Order(connection, request.body);
  } else if (path == "/v1/report") {
    Json report = Holdings();
    report.update({{"busy", false}, {"seq", sequence_}, {"born", kBorn}});
    Answer(connection, 200, report);
  } else {
    Call(connection, request);
  }
}

void FakePlatform::Range(CallerConnection* connection, const std::string& prefix) {
  Json items = Json::array();
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix)) continue;
    items.push_back({{"key", key}, {"value", Encoded(item.value)}, {"revision", item.revision}});
  }
  Answer(connection, 200, {{"items", items}, {"truncated", false}, {"store-revision", revision_}});
}

Json FakePlatform::Events(const std::string& prefix, uint64_t after) const {
  Json events = Json::array();
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || item.revision <= after) continue;
    events.push_back({{"key", key}, {"value", Encoded(item.value)}, {"revision", item.revision}});
  }
  return events;
}

void FakePlatform::Watch(CallerConnection* connection, const std::string& prefix, uint64_t after) {
  Watcher watcher{connection, prefix, after, TimerId()};
  watcher.timer = loop_.After(kWatchWait, [this, connection] {
    const auto found =
        std::find_if(watchers_.begin(), watchers_.end(),
                     [&](const Watcher& waiting) { return waiting.connection == connection; });
    if (found == watchers_.end()) return;
    watchers_.erase(found);
    Answer(connection, 200, {{"events", Json::array()}, {"store-revision", revision_}});
  });
  watchers_.push_back(watcher);
  AnswerWatchers();
}

void FakePlatform::AnswerWatchers() {
  for (size_t index = 0; index < watchers_.size();) {
    const Watcher watcher = watchers_[index];
    const Json events = Events(watcher.prefix, watcher.after);
    if (events.empty()) {
      ++index;
      continue;
    }
    loop_.Cancel(watcher.timer);
    watchers_.erase(watchers_.begin() + static_cast<std::ptrdiff_t>(index));
    Answer(watcher.connection, 200, {{"events", events}, {"store-revision", revision_}});
  }
}

void FakePlatform::Store(const std::string& key, const std::string& value) {
  items_[key] = {value, ++revision_};
  AnswerWatchers();
}

void FakePlatform::Write(CallerConnection* connection, const std::string& body) {
  const Json write = Json::parse(body);
  for (const Json& condition : write["precondition"]) {
    const auto found = items_.find(condition["key"].get<std::string>());
    const uint64_t revision = found == items_.end() ? 0 : found->second.revision;
    if (revision != condition["revision"].get<uint64_t>()) {
      Answer(connection, 412, {{"items", Json::array()}});
      return;
    }
  }
  for (const Json& item : write["set-keys"]) {
    Store(item["key"].get<std::string>(), Decoded(item["value"].get<std::string>()));
  }
  Answer(connection, 200, {{"revision", revision_}});
}

void FakePlatform::Order(CallerConnection* connection, const std::string& body) {
  const Json order = Json::parse(body);
  ++orders_;
  if (order["precondition"].get<uint64_t>() != sequence_ || hold_orders_) {
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

void FakePlatform::Call(CallerConnection* connection, const HttpMessage& request) {
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
