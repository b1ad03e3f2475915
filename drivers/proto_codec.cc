#include "drivers/proto_codec.h"

#include <type_traits>
#include <utility>
#include <variant>

#include "drivers/crash_codec.h"
#include "drivers/wire/shallot.pb.h"

namespace shallot {
namespace {

// Encoding: one function for each message type.

void Fill(const Hello& from, wire::Envelope* envelope) {
  wire::Hello* to = envelope->mutable_hello();
  to->set_sender(from.sender.value());
  to->set_incarnation(from.incarnation.value());
  to->set_role(static_cast<uint32_t>(from.role));
  to->set_runner(from.runner.value());
  to->set_failure_domain(from.failure_domain.value());
  to->set_config_revision(from.config_revision.value());
  to->set_draining(from.draining);
}

void FillLoad(const LoadSummary& from, wire::LoadSummary* to) {
  to->set_running(from.running);
  to->set_queued(from.queued);
  to->set_concurrency(from.concurrency);
  to->set_mean_service_ms(from.mean_service.count());
  to->set_memory_capacity(from.memory_capacity.value());
  to->set_memory_reserved(from.memory_reserved.value());
  for (const EntryId& entry : from.loaded) to->add_loaded(entry.value());
  for (const EntryId& entry : from.cached_in_memory) to->add_cached_in_memory(entry.value());
  for (const EntryId& entry : from.cached_on_disk) to->add_cached_on_disk(entry.value());
  to->set_not_serving(!from.serving);
}

void Fill(const Heartbeat& from, wire::Envelope* envelope) {
  wire::Heartbeat* to = envelope->mutable_heartbeat();
  to->set_sequence(from.sequence);
  to->set_config_revision(from.config_revision.value());
  to->set_draining(from.draining);
  FillLoad(from.load, to->mutable_load());
}

void Fill(const CallStart& from, wire::Envelope* envelope) {
  const Call& call = from.call;
  wire::CallStart* to = envelope->mutable_call_start();
  to->set_call(call.id.value());
  to->set_attempt(call.attempt.value());
  to->set_request_id(call.request_id.value());
  to->set_entry(call.entry.value());
  to->set_service(call.service.value());
  to->set_call_class(static_cast<uint32_t>(call.call_class));
  to->set_remaining_ms(call.remaining.count());
  to->set_repeatable(call.repeatable);
  to->set_idempotency_key(call.idempotency_key.value());
  to->set_stream(call.stream);
  to->set_method(call.method);
  to->set_path(call.path);
  to->set_content_type(call.content_type);
  to->set_body(call.body);
  to->set_slot_generation(call.slot_generation.value());
  for (const CallTrait& trait : call.traits) to->add_traits(trait.value());
}

void Fill(const CallCancel& from, wire::Envelope* envelope) {
  wire::CallCancel* to = envelope->mutable_call_cancel();
  to->set_call(from.call.value());
  to->set_attempt(from.attempt.value());
}

void Fill(const CallResume& from, wire::Envelope* envelope) {
  wire::CallResume* to = envelope->mutable_call_resume();
  to->set_call(from.call.value());
  to->set_attempt(from.attempt.value());
  to->set_offset(from.offset);
}

void Fill(const CallFrame& from, wire::Envelope* envelope) {
  wire::CallFrame* to = envelope->mutable_call_frame();
  to->set_call(from.call.value());
  to->set_attempt(from.attempt.value());
  to->set_offset(from.offset);
  to->set_payload(from.payload);
  to->set_http_status(from.http_status);
  to->set_content_type(from.content_type);
}

void Fill(const CallOutcome& from, wire::Envelope* envelope) {
  const Outcome& outcome = from.outcome;
  wire::CallOutcome* to = envelope->mutable_call_outcome();
  to->set_call(from.call.value());
  to->set_attempt(from.attempt.value());
  to->set_kind(static_cast<uint32_t>(outcome.kind));
  to->set_reason(static_cast<uint32_t>(outcome.reason));
  to->set_retry_after_ms(outcome.retry_after.count());
  to->set_http_status(outcome.http_status);
  to->set_content_type(outcome.content_type);
  to->set_total_length(outcome.total_length);
  to->set_message(outcome.message);
}

void Fill(const CallAck& from, wire::Envelope* envelope) {
  wire::CallAck* to = envelope->mutable_call_ack();
  to->set_call(from.call.value());
  to->set_attempt(from.attempt.value());
}

void Fill(const SlotGrant& from, wire::Envelope* envelope) {
  wire::SlotGrant* to = envelope->mutable_slot_grant();
  to->set_shard(from.shard.value());
  to->set_version(from.version.value());
  to->set_incarnation(from.incarnation.value());
  for (const Slot& slot : from.slots) {
    wire::Slot* added = to->add_slots();
    added->set_entry(slot.entry.value());
    added->set_runner(slot.runner.value());
    added->set_generation(slot.generation.value());
    added->set_state(static_cast<uint32_t>(slot.state));
  }
}

void Fill(const SlotReleased& from, wire::Envelope* envelope) {
  wire::SlotReleased* to = envelope->mutable_slot_released();
  to->set_shard(from.shard.value());
  to->set_entry(from.entry.value());
  to->set_runner(from.runner.value());
  to->set_generation(from.generation.value());
}

void Fill(const ConfigPull& from, wire::Envelope* envelope) {
  envelope->mutable_config_pull()->set_known(from.known.value());
}

void Fill(const ConfigPush& from, wire::Envelope* envelope) {
  wire::ConfigPush* to = envelope->mutable_config_push();
  to->set_revision(from.revision.value());
  to->set_head(from.head);
  to->set_snapshot(from.snapshot);
}

void Fill(const LoadPermitRequest& from, wire::Envelope* envelope) {
  wire::LoadPermitRequest* to = envelope->mutable_load_permit_request();
  to->set_permit_id(from.permit_id);
  to->set_runner(from.runner.value());
  to->set_entry(from.entry.value());
  to->set_kind(static_cast<uint32_t>(from.kind));
  to->set_remaining_ms(from.remaining.count());
  to->set_incarnation(from.incarnation.value());
  to->mutable_open_permits()->Add(from.open_permits.begin(), from.open_permits.end());
}

void Fill(const LoadPermit& from, wire::Envelope* envelope) {
  wire::LoadPermit* to = envelope->mutable_load_permit();
  to->set_permit_id(from.permit_id);
  to->set_runner(from.runner.value());
  to->set_valid_for_ms(from.valid_for.count());
}

void Fill(const LoadPermitReturn& from, wire::Envelope* envelope) {
  wire::LoadPermitReturn* to = envelope->mutable_load_permit_return();
  to->set_permit_id(from.permit_id);
  to->set_runner(from.runner.value());
  to->set_incarnation(from.incarnation.value());
}

void Fill(const DrainOrder& from, wire::Envelope* envelope) {
  wire::DrainOrder* to = envelope->mutable_drain_order();
  to->set_reason(from.reason);
  to->set_grace_ms(from.grace.count());
}

void Fill(const CrashNotice& from, wire::Envelope* envelope) {
  wire::CrashNotice* to = envelope->mutable_crash_notice();
  to->set_reporter(from.reporter.value());
  to->set_from_router(from.from_router);
  to->set_incarnation(from.incarnation.value());
  to->set_sequence(from.sequence);
  EncodeCrashFindings(from.findings, to->mutable_findings());
}

// Decoding.

/// Converts a wire number to an enumeration whose last value is `last`; returns false if it is out
/// of range.
template <class Enum>
bool ReadEnum(uint32_t number, Enum last, Enum* to) {
  if (number > static_cast<uint32_t>(last)) return false;
  *to = static_cast<Enum>(number);
  return true;
}

Result<Message> OutOfRange(const char* field) {
  return Error{ErrorKind::kInvalidArgument,
               std::string("message field \"") + field + "\" is out of range",
               "run the same version on routers and agents"};
}

/// 30 days. The limit keeps the sum of a received time and the current time from overflowing.
constexpr int64_t kMaxTimeMs = 30LL * 24 * 3'600'000;

bool ReadTime(int64_t value, Millis* to) {
  if (value < -kMaxTimeMs || value > kMaxTimeMs) return false;
  *to = Millis(value);
  return true;
}

Result<Message> Read(wire::Hello& from) {
  Hello to;
  if (!ReadEnum(from.role(), PeerRole::kAgent, &to.role)) return OutOfRange("role");
  to.sender = InstanceId(std::move(*from.mutable_sender()));
  to.incarnation = Incarnation(from.incarnation());
  to.runner = RunnerId(std::move(*from.mutable_runner()));
  to.failure_domain = FailureDomain(std::move(*from.mutable_failure_domain()));
  to.config_revision = ConfigRevision(from.config_revision());
  to.draining = from.draining();
  return Message(std::move(to));
}

template <class Repeated>
std::vector<EntryId> ReadEntries(const Repeated& from) {
  std::vector<EntryId> to;
  to.reserve(static_cast<size_t>(from.size()));
  for (const std::string& entry : from) to.emplace_back(entry);
  return to;
}

Result<Message> Read(wire::Heartbeat& from) {
  Heartbeat to;
  to.sequence = from.sequence();
  to.config_revision = ConfigRevision(from.config_revision());
  to.draining = from.draining();
  const wire::LoadSummary& load = from.load();
  to.load.running = load.running();
  to.load.queued = load.queued();
  to.load.concurrency = load.concurrency();
  if (!ReadTime(load.mean_service_ms(), &to.load.mean_service)) {
    return OutOfRange("mean_service_ms");
  }
  to.load.memory_capacity = Bytes(load.memory_capacity());
  to.load.memory_reserved = Bytes(load.memory_reserved());
  to.load.loaded = ReadEntries(load.loaded());
  to.load.cached_in_memory = ReadEntries(load.cached_in_memory());
  to.load.cached_on_disk = ReadEntries(load.cached_on_disk());
  to.load.serving = !load.not_serving();
  return Message(std::move(to));
}

Result<Message> Read(wire::CallStart& from) {
  CallStart to;
  Call& call = to.call;
  if (!ReadEnum(from.call_class(), CallClass::kBatch, &call.call_class)) {
    return OutOfRange("call_class");
  }
  call.id = CallId(std::move(*from.mutable_call()));
  call.attempt = Attempt(from.attempt());
  call.request_id = RequestId(std::move(*from.mutable_request_id()));
  call.entry = EntryId(std::move(*from.mutable_entry()));
  call.service = BackendName(std::move(*from.mutable_service()));
  if (!ReadTime(from.remaining_ms(), &call.remaining)) return OutOfRange("remaining_ms");
  call.repeatable = from.repeatable();
  call.idempotency_key = IdempotencyKey(std::move(*from.mutable_idempotency_key()));
  call.stream = from.stream();
  call.method = std::move(*from.mutable_method());
  call.path = std::move(*from.mutable_path());
  call.content_type = std::move(*from.mutable_content_type());
  call.body = std::move(*from.mutable_body());
  call.slot_generation = Generation(from.slot_generation());
  for (const std::string& trait : from.traits()) call.traits.emplace_back(trait);
  return Message(std::move(to));
}

Result<Message> Read(wire::CallCancel& from) {
  return Message(CallCancel{CallId(std::move(*from.mutable_call())), Attempt(from.attempt())});
}

Result<Message> Read(wire::CallResume& from) {
  return Message(
      CallResume{CallId(std::move(*from.mutable_call())), Attempt(from.attempt()), from.offset()});
}

Result<Message> Read(wire::CallFrame& from) {
  return Message(CallFrame{CallId(std::move(*from.mutable_call())), Attempt(from.attempt()),
                           from.offset(), std::move(*from.mutable_payload()), from.http_status(),
                           std::move(*from.mutable_content_type())});
}

Result<Message> Read(wire::CallOutcome& from) {
  CallOutcome to;
  if (!ReadEnum(from.kind(), OutcomeKind::kUnknown, &to.outcome.kind)) return OutOfRange("kind");
  if (!ReadEnum(from.reason(), Reason::kCrashesRunners, &to.outcome.reason)) {
    return OutOfRange("reason");
  }
  to.call = CallId(std::move(*from.mutable_call()));
  to.attempt = Attempt(from.attempt());
  if (!ReadTime(from.retry_after_ms(), &to.outcome.retry_after)) {
    return OutOfRange("retry_after_ms");
  }
  to.outcome.http_status = from.http_status();
  to.outcome.content_type = std::move(*from.mutable_content_type());
  to.outcome.total_length = from.total_length();
  to.outcome.message = std::move(*from.mutable_message());
  return Message(std::move(to));
}

Result<Message> Read(wire::CallAck& from) {
  return Message(CallAck{CallId(std::move(*from.mutable_call())), Attempt(from.attempt())});
}

Result<Message> Read(wire::SlotGrant& from) {
  SlotGrant to;
  to.shard = ShardId(from.shard());
  to.version = StoreVersion(from.version());
  to.incarnation = Incarnation(from.incarnation());
  to.slots.reserve(static_cast<size_t>(from.slots_size()));
  for (const wire::Slot& slot : from.slots()) {
    SlotState state = SlotState::kActive;
    if (!ReadEnum(slot.state(), SlotState::kReleasing, &state)) return OutOfRange("state");
    to.slots.push_back(
        {EntryId(slot.entry()), RunnerId(slot.runner()), Generation(slot.generation()), state});
  }
  return Message(std::move(to));
}

Result<Message> Read(wire::SlotReleased& from) {
  return Message(SlotReleased{ShardId(from.shard()), EntryId(std::move(*from.mutable_entry())),
                              RunnerId(std::move(*from.mutable_runner())),
                              Generation(from.generation())});
}

Result<Message> Read(wire::ConfigPull& from) {
  return Message(ConfigPull{ConfigRevision(from.known())});
}

Result<Message> Read(wire::ConfigPush& from) {
  return Message(ConfigPush{ConfigRevision(from.revision()), std::move(*from.mutable_head()),
                            std::move(*from.mutable_snapshot())});
}

Result<Message> Read(wire::LoadPermitRequest& from) {
  LoadPermitRequest to;
  if (!ReadEnum(from.kind(), LoadKind::kAdapter, &to.kind)) return OutOfRange("kind");
  to.permit_id = from.permit_id();
  to.runner = RunnerId(std::move(*from.mutable_runner()));
  to.entry = EntryId(std::move(*from.mutable_entry()));
  if (!ReadTime(from.remaining_ms(), &to.remaining)) return OutOfRange("remaining_ms");
  to.incarnation = Incarnation(from.incarnation());
  to.open_permits.assign(from.open_permits().begin(), from.open_permits().end());
  return Message(std::move(to));
}

Result<Message> Read(wire::LoadPermit& from) {
  Millis valid_for{0};
  if (!ReadTime(from.valid_for_ms(), &valid_for)) return OutOfRange("valid_for_ms");
  return Message(
      LoadPermit{from.permit_id(), RunnerId(std::move(*from.mutable_runner())), valid_for});
}

Result<Message> Read(wire::LoadPermitReturn& from) {
  return Message(LoadPermitReturn{from.permit_id(), RunnerId(std::move(*from.mutable_runner())),
                                  Incarnation(from.incarnation())});
}

Result<Message> Read(wire::DrainOrder& from) {
  Millis grace{0};
  if (!ReadTime(from.grace_ms(), &grace)) return OutOfRange("grace_ms");
  return Message(DrainOrder{std::move(*from.mutable_reason()), grace});
}

Result<Message> Read(wire::CrashNotice& from) {
  return Message(CrashNotice{InstanceId(std::move(*from.mutable_reporter())), from.from_router(),
                             Incarnation(from.incarnation()), from.sequence(),
                             DecodeCrashFindings(from.findings())});
}

Error Malformed(const std::string& problem) {
  return Error{ErrorKind::kInvalidArgument, "peer message " + problem,
               "check that only routers and agents of one version use this port"};
}

Result<Message> ReadBody(wire::Envelope& from) {
  switch (from.body_case()) {
    case wire::Envelope::kHello:
      return Read(*from.mutable_hello());
    case wire::Envelope::kHeartbeat:
      return Read(*from.mutable_heartbeat());
    case wire::Envelope::kCallStart:
      return Read(*from.mutable_call_start());
    case wire::Envelope::kCallCancel:
      return Read(*from.mutable_call_cancel());
    case wire::Envelope::kCallResume:
      return Read(*from.mutable_call_resume());
    case wire::Envelope::kCallFrame:
      return Read(*from.mutable_call_frame());
    case wire::Envelope::kCallOutcome:
      return Read(*from.mutable_call_outcome());
    case wire::Envelope::kCallAck:
      return Read(*from.mutable_call_ack());
    case wire::Envelope::kSlotGrant:
      return Read(*from.mutable_slot_grant());
    case wire::Envelope::kSlotReleased:
      return Read(*from.mutable_slot_released());
    case wire::Envelope::kConfigPull:
      return Read(*from.mutable_config_pull());
    case wire::Envelope::kConfigPush:
      return Read(*from.mutable_config_push());
    case wire::Envelope::kLoadPermitRequest:
      return Read(*from.mutable_load_permit_request());
    case wire::Envelope::kLoadPermit:
      return Read(*from.mutable_load_permit());
    case wire::Envelope::kLoadPermitReturn:
      return Read(*from.mutable_load_permit_return());
    case wire::Envelope::kDrainOrder:
      return Read(*from.mutable_drain_order());
    case wire::Envelope::kCrashNotice:
      return Read(*from.mutable_crash_notice());
    case wire::Envelope::BODY_NOT_SET:
      break;
  }
  return Malformed("has no known type");
}

}  // namespace

Result<std::string> EncodeMessage(const Message& message) {
  wire::Envelope envelope;
  std::visit([&envelope](const auto& body) { Fill(body, &envelope); }, message);
  const size_t size = envelope.ByteSizeLong();
  if (size > kMaxMessageBytes) {
    return Error{ErrorKind::kInvalidArgument,
                 "message of " + std::to_string(size) + " bytes is larger than 8 MB",
                 "send less in one message"};
  }
  std::string bytes;
  envelope.SerializeToString(&bytes);
  return bytes;
}

Result<Message> DecodeMessage(std::string_view bytes) {
  // The returned errors replace the lines that protobuf writes to standard error, which a faulty
  // peer could cause without limit.
  [[maybe_unused]] static auto* const kFormerHandler = google::protobuf::SetLogHandler(nullptr);
  if (bytes.size() > kMaxMessageBytes) return Malformed("is larger than 8 MB");
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Malformed("is not valid protobuf");
  }
  return ReadBody(envelope);
}

}  // namespace shallot
