#include "tests/standin_store.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <algorithm>
#include <sstream>

namespace shallot::gateway {
namespace {

using Json = nlohmann::json;

/// Interval between checks for expired leases.
constexpr Millis kLeaseCheckInterval{20};

std::string Base64Encode(const std::string& bytes) {
  std::ostringstream text;
  Poco::Base64Encoder encoder(text);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return text.str();
}

std::string Base64Decode(const std::string& text) {
  std::istringstream stream(text);
  Poco::Base64Decoder decoder(stream);
  std::string bytes;
  Poco::StreamCopier::copyToString(decoder, bytes);
  return bytes;
}

std::string Parameter(const Poco::URI& uri, const std::string& name, const std::string& absent) {
  for (const auto& [key, value] : uri.getQueryParameters()) {
    if (key == name) return value;
  }
  return absent;
}

uint64_t LastNumber(const std::string& path) {
  return std::stoull(path.substr(path.rfind('/') + 1));
}

}  // namespace

StandinStore::StandinStore(EventLoop* loop, uint64_t seed)
    : loop_(loop), listener_(loop, "store", this), random_(seed) {
  ExpireLeases();
}

uint64_t StandinStore::Put(const std::string& key, const std::string& value) {
  items_[key] = {value, revision_ + 1, 0};
  Record(key, value);
  return revision_;
}

void StandinStore::Remove(const std::string& key) {
  if (items_.erase(key) > 0) Record(key, std::nullopt);
}

std::vector<std::string> StandinStore::Keys(const std::string& prefix) const {
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix)) keys.push_back(key);
  }
  return keys;
}

std::optional<std::string> StandinStore::Value(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? std::nullopt : std::optional(found->second.value);
}

void StandinStore::Record(const std::string& key, std::optional<std::string> value) {
  history_.push_back({++revision_, key, std::move(value)});
  // Changes made in one iteration of the event loop go into one answer.
  loop_->Defer([this] { AnswerWatchers(); });
}

void StandinStore::DropHistory() {
  history_.clear();
  history_from_ = revision_;
  watches_muted_ = false;
  AbortWatchers();
}

bool StandinStore::AbortWatchers() {
  const bool waiting = !watchers_.empty();
  for (const Watcher& watcher : watchers_) {
    loop_->Cancel(watcher.timer);
    watcher.connection->Abort();
  }
  watchers_.clear();
  return waiting;
}

StandinStore::Copy StandinStore::TakeCopy() const {
  return {items_, leases_, history_, history_from_, revision_, last_lease_};
}

void StandinStore::Restore(const Copy& copy) {
  items_ = copy.items;
  leases_ = copy.leases;
  for (auto& [id, lease] : leases_) lease.ends_at = loop_->Now() + lease.term;
  history_ = copy.history;
  history_from_ = copy.history_from;
  revision_ = copy.revision;
  last_lease_ = copy.last_lease;
  ++era_;
  watches_muted_ = false;
  AbortWatchers();
}

void StandinStore::ExpireLeases() {
  const SteadyTime now = loop_->Now();
  std::vector<uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.ends_at <= now) ended.push_back(id);
  }
  for (const uint64_t id : ended) (void)EndLease(id);
  loop_->After(kLeaseCheckInterval, [this] { ExpireLeases(); });
}

void StandinStore::OnRequest(CallerConnection* connection, HttpMessage request) {
  used_.insert(connection->caller());
  if (faults_.silent) return;
  if (faults_.busy) {
    Send(connection, {503, Json::object()});
    return;
  }
  if (faults_.delay == Millis(0)) {
    Serve(connection, request);
    return;
  }
  const uint64_t number = ++last_delayed_;
  delayed_[connection] = number;
  loop_->After(faults_.delay, [this, connection, number, request = std::move(request)] {
    const auto waiting = delayed_.find(connection);
    if (waiting == delayed_.end() || waiting->second != number) return;
    delayed_.erase(waiting);
    Serve(connection, request);
  });
}

void StandinStore::OnCallerGone(CallerConnection* connection) {
  delayed_.erase(connection);
  const auto gone = std::find_if(watchers_.begin(), watchers_.end(), [&](const Watcher& watcher) {
    return watcher.connection == connection;
  });
  if (gone == watchers_.end()) return;
  loop_->Cancel(gone->timer);
  watchers_.erase(gone);
}

void StandinStore::Serve(CallerConnection* connection, const HttpMessage& request) {
  const Poco::URI uri(request.head.target);
  const std::string path = uri.getPath();
  if (path == "/v1/kv-range") {
    Send(connection, Range(Parameter(uri, "path-prefix", "")));
    return;
  }
  if (path == "/v1/kv-watch") {
    Watch(connection, Parameter(uri, "path-prefix", ""), std::stoull(Parameter(uri, "after", "0")),
          Millis(std::stoll(Parameter(uri, "wait-ms", "0"))));
    return;
  }
  if (path == "/v1/kv-lease") {
    Send(connection, CreateLease(request.body));
    return;
  }
  if (path.starts_with("/v1/kv-keep/")) {
    Send(connection, RenewLease(LastNumber(path)));
    return;
  }
  if (path.starts_with("/v1/kv-lease-end/")) {
    Send(connection, EndLease(LastNumber(path)));
    return;
  }
  if (path != "/v1/kv-txn") {
    Send(connection, {404, Json::object()});
    return;
  }
  if (random_.Unit() < faults_.late_writes) {
    loop_->After(faults_.late_by, [this, body = request.body] { (void)Write(body); });
    return;
  }
  const Reply reply = Write(request.body);
  if (random_.Unit() < faults_.lost_answers) {
    connection->Abort();
    return;
  }
  Send(connection, reply);
}

void StandinStore::Send(CallerConnection* connection, const Reply& reply) {
  if (silenced_.contains(connection->caller())) return;
  HttpMessage answer;
  answer.head.status = reply.status;
  answer.head.reason = "Answer";
  answer.head.Set("Content-Type", "application/json");
  answer.head.Set("Store-Era", std::to_string(era_));
  answer.body = reply.body.dump();
  connection->Answer(answer);
}

StandinStore::Reply StandinStore::Range(const std::string& prefix) const {
  Json items = Json::array();
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix)) continue;
    items.push_back(
        {{"key", key}, {"value", Base64Encode(item.value)}, {"revision", item.revision}});
  }
  return {200, {{"items", items}, {"truncated", false}, {"store-revision", revision_}}};
}

Json StandinStore::Events(const std::string& prefix, uint64_t after) const {
  Json events = Json::array();
  for (const Change& change : history_) {
    if (change.revision <= after || !change.key.starts_with(prefix)) continue;
    Json event = {{"key", change.key}, {"revision", change.revision}};
    if (change.value) {
      event["value"] = Base64Encode(*change.value);
    } else {
      event["deleted"] = true;
    }
    events.push_back(event);
  }
  return events;
}

void StandinStore::Watch(CallerConnection* connection, const std::string& prefix, uint64_t after,
                         Millis wait) {
  if (after < history_from_ || after > revision_) {
    Send(connection, {410, Json::object()});
    return;
  }
  Watcher watcher{connection, prefix, after, TimerId()};
  watcher.timer = loop_->After(wait, [this, connection] {
    const auto found =
        std::find_if(watchers_.begin(), watchers_.end(),
                     [&](const Watcher& waiting) { return waiting.connection == connection; });
    if (found == watchers_.end()) return;
    watchers_.erase(found);
    if (faults_.silent) return;
    Send(connection, {200, {{"events", Json::array()}, {"store-revision", revision_}}});
  });
  watchers_.push_back(watcher);
  AnswerWatchers();
}

void StandinStore::AnswerWatchers() {
  if (faults_.silent || watches_muted_) return;
  for (size_t index = 0; index < watchers_.size();) {
    const Watcher watcher = watchers_[index];
    const Json events = Events(watcher.prefix, watcher.after);
    if (events.empty()) {
      ++index;
      continue;
    }
    loop_->Cancel(watcher.timer);
    watchers_.erase(watchers_.begin() + static_cast<std::ptrdiff_t>(index));
    Send(watcher.connection, {200, {{"events", events}, {"store-revision", revision_}}});
  }
}

StandinStore::Reply StandinStore::Write(const std::string& body) {
  const Json write = Json::parse(body);
  for (const Json& condition : write["precondition"]) {
    const auto found = items_.find(condition["key"].get<std::string>());
    const uint64_t revision = found == items_.end() ? 0 : found->second.revision;
    if (revision != condition["revision"].get<uint64_t>()) {
      return {412, {{"items", Json::array()}}};
    }
  }
  for (const Json& item : write["set-keys"]) {
    const uint64_t lease = item.value("lease", uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return {404, Json::object()};
  }
  for (const Json& item : write["set-keys"]) {
    const std::string key = item["key"].get<std::string>();
    const std::string value = Base64Decode(item["value"].get<std::string>());
    items_[key] = {value, revision_ + 1, item.value("lease", uint64_t{0})};
    Record(key, value);
  }
  for (const Json& key : write["remove"]) Remove(key.get<std::string>());
  return {200, {{"revision", revision_}}};
}

StandinStore::Reply StandinStore::CreateLease(const std::string& body) {
  const Millis term(Json::parse(body)["ttl-ms"].get<int64_t>());
  leases_[++last_lease_] = {term, loop_->Now() + term};
  return {200, {{"lease", last_lease_}, {"ttl-ms", term.count()}}};
}

StandinStore::Reply StandinStore::RenewLease(uint64_t lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return {404, Json::object()};
  found->second.ends_at = loop_->Now() + found->second.term;
  return {200, {{"ttl-ms", found->second.term.count()}}};
}

StandinStore::Reply StandinStore::EndLease(uint64_t lease) {
  if (leases_.erase(lease) == 0) return {404, Json::object()};
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Remove(key);
  return {200, Json::object()};
}

}  // namespace shallot::gateway
