#include "main/standin/engine_calls.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "core/hashing.h"

namespace shallot::standin {
namespace {

using nlohmann::json;

constexpr Seconds kAnswerRetention{30};
constexpr size_t kPrefixCacheEntries = 64;
constexpr size_t kPrefixBytes = 64;
// Prefill time of a prompt whose prefix is not cached; cached prefixes need none.
constexpr Millis kPrefillTime{10};
constexpr uint64_t kDefaultMaxTokens = 16;
constexpr uint64_t kMaxTokens = 4096;
constexpr uint64_t kKvBytesPerCall = 64'000'000;
// Every seventh cache event is dropped.
constexpr uint64_t kDroppedEventInterval = 7;
constexpr uint64_t kLowestPriority = 9;
constexpr size_t kMaxExecuted = 1 << 20;

SteadyTime Now() { return std::chrono::steady_clock::now(); }

std::string ExtractPrompt(const json& body) {
  if (!body.contains("messages")) return body.value("prompt", "");
  std::string prompt;
  for (const json& message : body["messages"]) {
    if (!prompt.empty()) prompt += "\n";
    prompt += message.value("content", "");
  }
  return prompt;
}

uint64_t ParsePriority(const Exchange& exchange) {
  const std::string text = exchange.Header("X-Priority");
  uint64_t value = kLowestPriority;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  return result.ec == std::errc() ? value : kLowestPriority;
}

std::string FormatChunk(const std::string& call, const std::string& entry, bool chat,
                        const std::string& text, bool last) {
  json choice = {{"index", 0}, {"finish_reason", last ? json("length") : json(nullptr)}};
  if (chat) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  const json event = {{"id", call},
                      {"object", chat ? "chat.completion.chunk" : "text_completion"},
                      {"model", entry},
                      {"choices", json::array({choice})}};
  return "data: " + event.dump() + "\n\n";
}

std::string FormatAnswer(const std::string& call, const std::string& entry, bool chat,
                         const std::string& text, uint64_t tokens) {
  json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  return json{{"id", call},
              {"object", chat ? "chat.completion" : "text_completion"},
              {"model", entry},
              {"choices", json::array({choice})},
              {"usage", {{"completion_tokens", tokens}}}}
      .dump();
}

}  // namespace

uint64_t AnswerSeed(const std::string& entry, const std::string& prompt) {
  uint64_t hash = 14695981039346656037ULL;
  for (const char c : entry + "\n" + prompt) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return hash;
}

std::string AnswerToken(uint64_t seed, uint64_t index) {
  std::array<char, 16> text{};
  const uint64_t value = (seed + index * 2654435761ULL) >> 16 & 0xffff;
  std::snprintf(text.data(), text.size(), "t%04x ", static_cast<unsigned>(value));
  return text.data();
}

bool EngineCalls::Parse(const Exchange& exchange, const std::string& entry, Request* request) {
  const json body = json::parse(exchange.body(), nullptr, false);
  if (!body.is_object()) return false;
  request->entry = entry;
  request->prompt = ExtractPrompt(body);
  request->seed = AnswerSeed(entry, request->prompt);
  request->max_tokens = std::min(body.value("max_tokens", kDefaultMaxTokens), kMaxTokens);
  request->stream = body.value("stream", false);
  request->chat = exchange.path() == "/v1/chat/completions";
  return true;
}

std::optional<Reply> EngineCalls::Run(Exchange& exchange, const std::string& entry) {
  Request request;
  if (!Parse(exchange, entry, &request)) return MessageReply(400, "the body is not JSON");
  const std::string call = exchange.Header("X-Call-Id");
  const auto answer = std::make_shared<Answer>();
  answer->content_type = request.stream ? "text/event-stream" : "application/json";
  Lock lock(mutex_);
  ForgetOldAnswers();
  answers_[call] = answer;
  const bool started = WaitUntilAdmitted(lock, answer.get(), ParsePriority(exchange));
  if (started) {
    Generate(lock, exchange, call, request, answer.get());
    --running_;
  }
  answer->ended = true;
  answer->end_time = Now();
  changed_.notify_all();
  if (!started || (answer->stopped && !request.stream)) return MessageReply(499, "cancelled");
  if (request.stream) return std::nullopt;
  return Reply{200, answer->bytes};
}

bool EngineCalls::WaitUntilAdmitted(Lock& lock, Answer* answer, uint64_t priority) {
  const auto queue_position = waiting_.emplace(priority, ++arrivals_).first;
  changed_.wait(lock, [&] {
    const bool admitted = running_ < options_.concurrency && *waiting_.begin() == *queue_position;
    return admitted || answer->stopped || faults_->stopped();
  });
  waiting_.erase(queue_position);
  changed_.notify_all();
  if (answer->stopped || faults_->stopped()) return false;
  ++running_;
  return true;
}

bool EngineCalls::Pause(Lock& lock, Answer* answer, Duration time) {
  changed_.wait_until(lock, Now() + time, [&] { return answer->stopped || faults_->stopped(); });
  return !answer->stopped && !faults_->stopped();
}

void EngineCalls::Generate(Lock& lock, Exchange& exchange, const std::string& call,
                           const Request& request, Answer* answer) {
  if (executed_.size() < kMaxExecuted) executed_.push_back(request.seed);
  answer->kv = std::to_string(request.seed);
  if (request.stream) {
    lock.unlock();
    exchange.BeginStream(answer->content_type);
    lock.lock();
  }
  const bool cached = LookUpPrefix(request.entry, request.prompt);
  bool running = Pause(lock, answer, cached ? Millis(0) : kPrefillTime);
  std::string text;
  for (uint64_t i = 0; running && i < request.max_tokens; ++i) {
    running = Pause(lock, answer, Millis(options_.token_ms));
    if (!running) break;
    const std::string token = AnswerToken(request.seed, i);
    text += token;
    if (!request.stream) continue;
    const bool last = i + 1 == request.max_tokens;
    Append(lock, exchange, answer, FormatChunk(call, request.entry, request.chat, token, last),
           true);
  }
  if (!running) {
    answer->stopped = true;
    return;
  }
  const std::string end =
      request.stream ? "data: [DONE]\n\n"
                     : FormatAnswer(call, request.entry, request.chat, text, request.max_tokens);
  Append(lock, exchange, answer, end, request.stream);
}

void EngineCalls::Append(Lock& lock, Exchange& exchange, Answer* answer, const std::string& bytes,
                         bool stream) {
  answer->bytes += bytes;
  changed_.notify_all();
  if (!stream) return;
  // Generation continues after the connection is lost, because the answer can be fetched again.
  lock.unlock();
  exchange.WriteStream(bytes);
  lock.lock();
}

std::optional<Reply> EngineCalls::StreamAnswer(Exchange& exchange, const std::string& call) {
  Lock lock(mutex_);
  const auto it = answers_.find(call);
  if (it == answers_.end()) return MessageReply(404, "no such call");
  const std::shared_ptr<Answer> answer = it->second;
  size_t offset = exchange.QueryNumber("offset");
  lock.unlock();
  exchange.BeginStream(answer->content_type);
  lock.lock();
  while (true) {
    changed_.wait(
        lock, [&] { return answer->bytes.size() > offset || answer->ended || faults_->stopped(); });
    if (answer->bytes.size() <= offset) return std::nullopt;
    const std::string bytes = answer->bytes.substr(offset);
    offset += bytes.size();
    lock.unlock();
    if (!exchange.WriteStream(bytes)) return std::nullopt;
    lock.lock();
  }
}

Reply EngineCalls::Cancel(const std::string& call) {
  const std::lock_guard lock(mutex_);
  const auto it = answers_.find(call);
  if (it == answers_.end()) return MessageReply(404, "no such call");
  if (it->second->ended) return Reply{200, R"({"result":"already-ended"})"};
  it->second->stopped = true;
  changed_.notify_all();
  return Reply{200, R"({"result":"stopped"})"};
}

void EngineCalls::ForgetOldAnswers() {
  const SteadyTime oldest = Now() - kAnswerRetention;
  std::erase_if(answers_, [&](const auto& item) {
    return item.second->ended && item.second->end_time < oldest;
  });
}

void EngineCalls::UpdateLoadSample() {
  const uint64_t lag = faults_->Peek("lag").value_or(options_.load_report_lag_ms);
  if (Now() - sample_.time < Millis(lag)) return;
  sample_ = LoadSample{Now(), running_, waiting_.size()};
}

Reply EngineCalls::LoadReport() {
  const std::lock_guard lock(mutex_);
  UpdateLoadSample();
  const auto age = std::chrono::duration_cast<Millis>(Now() - sample_.time).count();
  return Reply{200, json{{"running", sample_.running},
                         {"waiting", sample_.waiting},
                         {"kv_cache_used", sample_.running * kKvBytesPerCall},
                         {"age_ms", age}}
                        .dump()};
}

bool EngineCalls::LookUpPrefix(const std::string& entry, const std::string& prompt) {
  const auto prefix = std::make_pair(entry, StableHash(prompt.substr(0, kPrefixBytes)));
  const auto it = std::find(cached_prefixes_.begin(), cached_prefixes_.end(), prefix);
  if (it != cached_prefixes_.end()) return true;
  const SteadyTime visible = Now() + Millis(options_.cache_lag_ms);
  cached_prefixes_.push_back(prefix);
  events_.push_back({++last_event_, prefix.first, prefix.second, true, visible});
  if (cached_prefixes_.size() > kPrefixCacheEntries) {
    const auto& oldest = cached_prefixes_.front();
    events_.push_back({++last_event_, oldest.first, oldest.second, false, visible});
    cached_prefixes_.pop_front();
  }
  while (events_.size() > 4 * kPrefixCacheEntries) events_.pop_front();
  return false;
}

Reply EngineCalls::CacheEvents(uint64_t since) {
  json list = json::array();
  const std::lock_guard lock(mutex_);
  for (const PrefixEvent& event : events_) {
    if (event.sequence <= since || event.visible > Now()) continue;
    if (event.sequence % kDroppedEventInterval == 0) continue;
    list.push_back({{"sequence", event.sequence},
                    {"entry", event.entry},
                    {"prefix_hash", event.prefix_hash},
                    {"stored", event.stored}});
  }
  return Reply{200, list.dump()};
}

Reply EngineCalls::ExportKv(const std::string& call) {
  const std::lock_guard lock(mutex_);
  const auto it = answers_.find(call);
  if (it == answers_.end()) return MessageReply(404, "no such call");
  return Reply{200, it->second->kv, "application/octet-stream", {}};
}

Reply EngineCalls::ImportKv(const std::string& call, const std::string& data) {
  const std::lock_guard lock(mutex_);
  auto& answer = answers_[call];
  if (!answer) {
    answer = std::make_shared<Answer>();
    answer->ended = true;
    answer->end_time = Now();
  }
  answer->kv = data;
  return MessageReply(200, "imported");
}

Reply EngineCalls::Executed() {
  const std::lock_guard lock(mutex_);
  return Reply{200, json(executed_).dump()};
}

uint64_t EngineCalls::ExecutedCount() {
  const std::lock_guard lock(mutex_);
  return executed_.size();
}

}  // namespace shallot::standin
