#include "drivers/caller_protocol.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>

#include "core/hashing.h"

namespace shallot {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kServicesPrefix = "/services/";
constexpr int64_t kMaxDeadlineMs = 7LL * 24 * 3'600'000;
// The clock's range ends in the year 2262. The limit also rejects times given in milliseconds.
constexpr int64_t kMaxUnixSeconds = 9'000'000'000;
constexpr size_t kMaxHeaderValue = 256;

Error Invalid(const std::string& message, const std::string& remedy) {
  return Error{ErrorKind::kInvalidArgument, message, remedy};
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Parses an integer from `min` to `max`; returns false if `text` is anything else.
bool ReadNumber(const std::string& text, int64_t min, int64_t max, int64_t* number) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *number);
  return parsed.ec == std::errc() && parsed.ptr == end && *number >= min && *number <= max;
}

Status ReadKeyTime(const std::string& text, CallerRequest* to) {
  if (text.empty()) return OkStatus();
  int64_t seconds = 0;
  if (!ReadNumber(text, 0, kMaxUnixSeconds, &seconds)) {
    return Invalid("X-Shallot-Key-Time \"" + text + "\" is not valid",
                   "use whole Unix seconds, as `date +%s` prints them");
  }
  to->key_time = WallTime(Seconds(seconds));
  return OkStatus();
}

Status ReadHeaders(const CallerHttpRequest& from, CallerRequest* to) {
  if (from.idempotency_key.size() > kMaxHeaderValue || from.request_id.size() > kMaxHeaderValue) {
    return Invalid("Idempotency-Key or X-Request-Id is too long", "use at most 256 characters");
  }
  to->idempotency_key = IdempotencyKey(from.idempotency_key);
  to->request_id = RequestId(from.request_id);
  CallClass call_class = CallClass::kInteractive;
  if (!from.call_class.empty() && !ParseCallClass(from.call_class, &call_class)) {
    return Invalid("X-Shallot-Class \"" + from.call_class + "\" is not a call class",
                   "use premium, status, interactive, manuscript or batch");
  }
  to->call_class = from.call_class;
  Status key_time = ReadKeyTime(from.key_time, to);
  if (!IsOk(key_time) || from.deadline_ms.empty()) return key_time;
  int64_t deadline = 0;
  if (!ReadNumber(from.deadline_ms, 1, kMaxDeadlineMs, &deadline)) {
    return Invalid("X-Shallot-Deadline-Ms \"" + from.deadline_ms + "\" is not valid",
                   "use whole milliseconds from 1 to " + std::to_string(kMaxDeadlineMs));
  }
  to->deadline = Millis(deadline);
  return OkStatus();
}

CallTrait HashTrait(const char* kind, const std::string& text) {
  return MakeTrait(fmt::format("{}:{:016x}", kind, StableHash(text)));
}

/// The whole body, and the messages of a chat before the last one, from the last to the first.
std::vector<CallTrait> ReadTraits(const std::string& body, const Json& json) {
  std::vector<CallTrait> traits{HashTrait("body", body)};
  const auto messages = json.find("messages");
  if (messages == json.end() || !messages->is_array()) return traits;
  constexpr size_t kMaxTraits = 6;
  // Places are kept for the entry and its base model.
  static_assert(kMaxTraits + 2 <= kMaxTraitsPerCall);
  for (size_t index = messages->size(); index > 1 && traits.size() < kMaxTraits; --index) {
    traits.push_back(HashTrait("message", Dump((*messages)[index - 2])));
  }
  return traits;
}

Status ReadModelBody(CallerRequest* request) {
  const Json json = Json::parse(request->body, nullptr, false);
  if (!json.is_object()) return Invalid("the body is not a JSON object", "send a JSON object");
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string() || model->get_ref<const std::string&>().empty()) {
    return Invalid("\"model\" is missing or not a string",
                   "name a model or adapter; GET /v1/models lists them");
  }
  request->entry = EntryId(model->get<std::string>());
  request->traits = ReadTraits(request->body, json);
  const auto stream = json.find("stream");
  if (stream == json.end() || stream->is_null()) return OkStatus();
  if (!stream->is_boolean()) return Invalid("\"stream\" is not a boolean", "use true or false");
  request->stream = stream->get<bool>();
  return OkStatus();
}

Status ReadServiceTarget(const std::string& target, CallerRequest* request) {
  const std::string rest = target.substr(kServicesPrefix.size());
  const size_t name_end = rest.find_first_of("/?");
  const std::string name = rest.substr(0, name_end);
  if (name.empty()) return Invalid("the path names no service", "use /services/NAME/PATH");
  request->service = BackendName(name);
  request->path = name_end == std::string::npos ? "/" : rest.substr(name_end);
  if (request->path.front() == '?') request->path.insert(0, "/");
  return OkStatus();
}

const char* TypeOfOutcome(const Outcome& outcome) {
  return outcome.reason == Reason::kNone ? OutcomeKindName(outcome.kind)
                                         : ReasonName(outcome.reason);
}

std::string RemedyOf(const Outcome& outcome) {
  if (outcome.kind == OutcomeKind::kUnknown) {
    return "the call may have run; check its effect before you repeat it";
  }
  switch (outcome.reason) {
    case Reason::kInvalidRequest:
      return "correct the request";
    case Reason::kUnknownEntry:
      return "use a name that GET /v1/models lists";
    case Reason::kKeyReused:
      return "use a new Idempotency-Key for a new request";
    case Reason::kCrashesRunners:
      return "change the request, or tell the operator of the model";
    case Reason::kDeadline:
      return "allow more time in X-Shallot-Deadline-Ms or try again later";
    default:
      return outcome.retry_after.count() > 0 ? "try again after " + RetryAfter(outcome) + " s"
                                             : "try again later";
  }
}

std::string ErrorBody(const std::string& type, const std::string& message,
                      const std::string& remedy) {
  return Dump({{"error", {{"type", type}, {"message", message}, {"remedy", remedy}}}});
}

}  // namespace

Result<CallerRequest> ParseCallerRequest(const CallerHttpRequest& request) {
  CallerRequest parsed;
  Status status = ReadHeaders(request, &parsed);
  if (!IsOk(status)) return ErrorOf(status);
  parsed.method = request.method;
  parsed.content_type = request.content_type;
  parsed.body = request.body;
  if (request.target.starts_with(kServicesPrefix)) {
    status = ReadServiceTarget(request.target, &parsed);
    if (!IsOk(status)) return ErrorOf(status);
    return parsed;
  }
  parsed.path = request.target.substr(0, request.target.find('?'));
  if (parsed.path != "/v1/completions" && parsed.path != "/v1/chat/completions") {
    return Error{ErrorKind::kNotFound, "there is no path " + parsed.path,
                 "use /v1/chat/completions, /v1/completions, /v1/models or /services/NAME/PATH"};
  }
  if (request.method != "POST") return Invalid("method is " + request.method, "use POST");
  status = ReadModelBody(&parsed);
  if (!IsOk(status)) return ErrorOf(status);
  return parsed;
}

int StatusOfOutcome(const Outcome& outcome) {
  if (outcome.reason == Reason::kDeadline) return 504;
  if (outcome.kind == OutcomeKind::kUnknown) return 504;
  if (outcome.kind == OutcomeKind::kFailed) return 502;
  switch (outcome.reason) {
    case Reason::kInvalidRequest:
      return 400;
    case Reason::kUnknownEntry:
      return 404;
    case Reason::kKeyReused:
    case Reason::kInProgress:
      return 409;
    case Reason::kQueueFull:
    case Reason::kOverload:
    case Reason::kRetryBudget:
      return 429;
    default:
      return 503;
  }
}

int StatusOfError(const Error& error) {
  switch (error.kind) {
    case ErrorKind::kInvalidArgument:
      return 400;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kCancelled:
      return 408;
    case ErrorKind::kResourceExhausted:
      return 413;
    default:
      return 503;
  }
}

std::string OutcomeJson(const Outcome& outcome) {
  const std::string message = outcome.message.empty() ? std::string("the call ended as ") +
                                                            OutcomeKindName(outcome.kind) + ": " +
                                                            ReasonName(outcome.reason)
                                                      : outcome.message;
  return ErrorBody(TypeOfOutcome(outcome), message, RemedyOf(outcome));
}

std::string ErrorJson(const Error& error) {
  return ErrorBody(ErrorKindName(error.kind), error.message, error.remedy);
}

std::string ModelsJson(const std::vector<std::string>& names) {
  Json data = Json::array();
  for (const std::string& name : names) {
    data.push_back({{"id", name}, {"object", "model"}, {"owned_by", "shallotspread"}});
  }
  return Dump({{"object", "list"}, {"data", data}});
}

std::string RetryAfter(const Outcome& outcome) {
  if (outcome.retry_after.count() <= 0) return {};
  return std::to_string(std::chrono::ceil<Seconds>(outcome.retry_after).count());
}

}  // namespace shallot
