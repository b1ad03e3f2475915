#include "main/standin/engine_memory.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace shallot::standin {
namespace {

using nlohmann::json;

constexpr uint64_t kMegabyte = 1'000'000;
constexpr double kHostMemoryMillisPerGigabyte = 50;
constexpr double kDiskMillisPerGigabyte = 400;
constexpr Millis kUnloadTime{5};
constexpr int kReadTimeoutSeconds = 600;

}  // namespace

bool EngineMemory::Parse(const std::string& body, LoadOrder* order) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) return false;
  order->entry = parsed.value("entry", "");
  order->kind = parsed.value("kind", "model");
  order->base = parsed.value("base", "");
  order->version = parsed.value("version", "");
  order->size = parsed.value("size_bytes", uint64_t{0});
  order->fencing = parsed.value("fencing", uint64_t{0});
  return !order->entry.empty();
}

bool EngineMemory::AcceptFencing(uint64_t fencing) {
  if (fencing < highest_fencing_ && !options_.ignore_fencing) {
    ++counts_["fenced"];
    return false;
  }
  highest_fencing_ = std::max(highest_fencing_, fencing);
  return true;
}

Reply EngineMemory::Load(const std::string& body) {
  LoadOrder order;
  if (!Parse(body, &order)) return MessageReply(400, "the order names no entry");
  std::string source;
  Reply begun = BeginLoad(order, &source);
  if (begun.status != 200 || source.empty()) return begun;
  const int status = Transfer(order, source);
  const std::lock_guard lock(mutex_);
  if (status != 200) {
    items_.erase(order.entry);
    return MessageReply(status, "the load failed");
  }
  items_[order.entry].presence = "loaded";
  return MessageReply(200, "loaded");
}

Reply EngineMemory::BeginLoad(const LoadOrder& order, std::string* source) {
  const std::lock_guard lock(mutex_);
  if (!AcceptFencing(order.fencing)) return MessageReply(409, "outdated fencing number");
  const auto it = items_.find(order.entry);
  const std::string presence = it == items_.end() ? "" : it->second.presence;
  if (presence == "loading" || presence == "unloading") {
    ++counts_["loaded_twice"];
    return MessageReply(503, "the entry is " + presence);
  }
  if (presence == "loaded") {
    ++counts_["loaded_twice"];
    return MessageReply(200, "loaded already");
  }
  const auto base = items_.find(order.base);
  const bool has_base = base != items_.end() && base->second.presence == "loaded";
  if (order.kind == "adapter" && !has_base) return MessageReply(404, "the base is not loaded");
  if (UsedAcceleratorBytes() + order.size > options_.memory_mb * kMegabyte) {
    ++counts_["memory_above_capacity"];
    return MessageReply(507, "no memory");
  }
  const bool cached = !presence.empty() && it->second.version == order.version;
  *source = cached ? presence : "remote";
  items_[order.entry] = Item{order.kind, order.version, order.size, "loading", ++use_count_};
  ++counts_["loads"];
  return Reply{};
}

int EngineMemory::Transfer(const LoadOrder& order, const std::string& source) {
  if (faults_->Take("die-mid-load")) {
    faults_->WaitFor(Millis(20));
    std::_Exit(1);
  }
  if (const auto status = faults_->Take("fail-load")) {
    return *status == 0 ? 503 : static_cast<int>(*status);
  }
  if (source == "remote") return ReadRemote(order);
  const double per_gigabyte =
      source == "disk" ? kDiskMillisPerGigabyte : kHostMemoryMillisPerGigabyte;
  const double millis = static_cast<double>(order.size) / 1e9 * per_gigabyte * options_.time_scale;
  const auto time = std::chrono::duration<double, std::milli>(millis);
  return faults_->WaitFor(std::chrono::ceil<Duration>(time)) ? 200 : 503;
}

int EngineMemory::ReadRemote(const LoadOrder& order) const {
  if (options_.weights.empty()) return 200;
  Poco::URI uri("/read");
  uri.addQueryParameter("entry", order.entry);
  uri.addQueryParameter("kind", order.kind);
  uri.addQueryParameter("bytes", std::to_string(order.size));
  try {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(options_.weights)};
    session.setTimeout(Poco::Timespan(kReadTimeoutSeconds, 0));
    Poco::Net::HTTPRequest request("POST", uri.toString(), "HTTP/1.1");
    request.setContentLength(0);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    Poco::NullOutputStream discard;
    Poco::StreamCopier::copyStream(session.receiveResponse(response), discard);
    return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK ? 200 : 503;
  } catch (const Poco::Exception&) {
    return 503;
  }
}

Reply EngineMemory::Unload(const std::string& body) {
  LoadOrder order;
  if (!Parse(body, &order)) return MessageReply(400, "the order names no entry");
  {
    const std::lock_guard lock(mutex_);
    if (!AcceptFencing(order.fencing)) return MessageReply(409, "outdated fencing number");
    const auto it = items_.find(order.entry);
    if (it == items_.end()) return MessageReply(404, "the entry is not loaded");
    if (it->second.presence != "loaded") {
      const bool busy = it->second.presence == "loading" || it->second.presence == "unloading";
      return MessageReply(busy ? 503 : 404, "the entry is " + it->second.presence);
    }
    it->second.presence = "unloading";
  }
  faults_->WaitFor(kUnloadTime);
  const std::lock_guard lock(mutex_);
  DemoteToHostMemory(order.entry);
  return MessageReply(200, "unloaded");
}

void EngineMemory::DemoteToHostMemory(const std::string& entry) {
  items_[entry].presence = "host-memory";
  ShrinkTier("host-memory", options_.host_memory_mb * kMegabyte, "disk");
  ShrinkTier("disk", options_.disk_mb * kMegabyte, "");
}

void EngineMemory::ShrinkTier(const std::string& tier, uint64_t limit,
                              const std::string& next_tier) {
  while (UsedBytes(tier) > limit) {
    auto oldest = items_.end();
    for (auto it = items_.begin(); it != items_.end(); ++it) {
      if (it->second.presence != tier) continue;
      if (oldest == items_.end() || it->second.last_use < oldest->second.last_use) oldest = it;
    }
    if (next_tier.empty()) {
      items_.erase(oldest);
    } else {
      oldest->second.presence = next_tier;
    }
  }
}

uint64_t EngineMemory::UsedBytes(const std::string& tier) const {
  uint64_t bytes = 0;
  for (const auto& [entry, item] : items_) bytes += item.presence == tier ? item.size : 0;
  return bytes;
}

uint64_t EngineMemory::UsedAcceleratorBytes() const {
  return UsedBytes("loading") + UsedBytes("loaded") + UsedBytes("unloading");
}

Reply EngineMemory::SetRole(const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) return MessageReply(400, "the body is not a JSON object");
  const std::lock_guard lock(mutex_);
  if (!AcceptFencing(parsed.value("fencing", uint64_t{0}))) {
    return MessageReply(409, "outdated fencing number");
  }
  return MessageReply(200, "role set");
}

Reply EngineMemory::Inventory() {
  json list = json::array();
  const std::lock_guard lock(mutex_);
  for (const auto& [entry, item] : items_) {
    list.push_back({{"entry", entry},
                    {"kind", item.kind},
                    {"version", item.version},
                    {"size_bytes", item.size},
                    {"presence", item.presence}});
  }
  return Reply{200, json{{"memory_capacity", options_.memory_mb * kMegabyte},
                         {"concurrency", options_.concurrency},
                         {"items", list}}
                        .dump()};
}

bool EngineMemory::IsLoaded(const std::string& entry) {
  const std::lock_guard lock(mutex_);
  const auto it = items_.find(entry);
  if (it == items_.end() || it->second.presence != "loaded") return false;
  it->second.last_use = ++use_count_;
  return true;
}

std::map<std::string, uint64_t> EngineMemory::Counts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace shallot::standin
