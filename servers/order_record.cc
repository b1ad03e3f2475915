#include "servers/order_record.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

namespace shallot {
namespace {

using Json = nlohmann::json;

std::string EncodeBase64(const std::string& body) {
  std::ostringstream text;
  Poco::Base64Encoder encoder(text);
  encoder.rdbuf()->setLineLength(0);
  encoder << body;
  encoder.close();
  return text.str();
}

std::string DecodeBase64(const std::string& text) {
  std::istringstream stream(text);
  Poco::Base64Decoder decoder(stream);
  return std::string(std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>());
}

const char* StateName(OrderState state) {
  if (state == OrderState::kClaimed) return "claimed";
  return state == OrderState::kDone ? "done" : "not-run";
}

bool ParseState(const std::string& name, OrderState* state) {
  for (const OrderState candidate :
       {OrderState::kClaimed, OrderState::kDone, OrderState::kNotRun}) {
    if (name != StateName(candidate)) continue;
    *state = candidate;
    return true;
  }
  return false;
}

Json OutcomeToJson(const Outcome& outcome) {
  return {{"kind", static_cast<int>(outcome.kind)},
          {"reason", static_cast<int>(outcome.reason)},
          {"retry_after_ms", outcome.retry_after.count()},
          {"http_status", outcome.http_status},
          {"content_type", outcome.content_type},
          {"total_length", outcome.total_length},
          {"message", outcome.message}};
}

Outcome OutcomeFromJson(const Json& json) {
  Outcome outcome;
  outcome.kind = static_cast<OutcomeKind>(json.at("kind").get<int>());
  outcome.reason = static_cast<Reason>(json.at("reason").get<int>());
  outcome.retry_after = Millis(json.at("retry_after_ms").get<int64_t>());
  outcome.http_status = json.at("http_status").get<int>();
  outcome.content_type = json.at("content_type").get<std::string>();
  outcome.total_length = json.at("total_length").get<uint64_t>();
  outcome.message = json.at("message").get<std::string>();
  return outcome;
}

}  // namespace

std::string FormatOrderRecord(const OrderRecord& record) {
  Json json = {{"state", StateName(record.state)},
               {"claim", record.claim.value()},
               {"runner", record.runner.value()},
               {"hash", record.request_hash}};
  if (record.state == OrderState::kDone) {
    json["outcome"] = OutcomeToJson(record.answer.outcome);
    json["body"] = EncodeBase64(record.answer.body);
    json["body_length"] = record.body_length;
    json["body_hash"] = record.body_hash;
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<OrderRecord> ParseOrderRecord(const std::string& text) {
  const Error malformed{ErrorKind::kInvalidArgument, "the record of the order is malformed",
                        "delete it when it is certain that the order did not run"};
  OrderRecord record;
  try {
    const Json json = Json::parse(text);
    if (!ParseState(json.at("state").get<std::string>(), &record.state)) return malformed;
    record.claim = ClaimId(json.at("claim").get<std::string>());
    record.runner = RunnerId(json.at("runner").get<std::string>());
    record.request_hash = json.at("hash").get<uint64_t>();
    if (record.state != OrderState::kDone) return record;
    record.answer.outcome = OutcomeFromJson(json.at("outcome"));
    record.answer.body = DecodeBase64(json.at("body").get<std::string>());
    record.body_length = json.at("body_length").get<uint64_t>();
    record.body_hash = json.at("body_hash").get<uint64_t>();
  } catch (const Json::exception&) {
    return malformed;
  }
  return record;
}

}  // namespace shallot
