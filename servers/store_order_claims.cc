#include "servers/store_order_claims.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include "core/hashing.h"
#include "servers/order_record.h"

namespace shallot {
namespace {

constexpr uint64_t kBuckets = 256;
constexpr Millis kInitialRetryDelay{50};
constexpr Millis kMaxClaimRetryDelay{400};
constexpr Millis kMaxRecordRetryDelay{10'000};

Error Superseded() {
  return {ErrorKind::kConflict, "the order is recorded under another claim", "do not run it again"};
}

ClaimReply Reply(ClaimState state, const std::string& message) {
  ClaimReply reply;
  reply.state = state;
  reply.message = message;
  return reply;
}

}  // namespace

StoreKey OrderKey(const IdempotencyKey& key) {
  std::string encoded;
  for (const char c : key.value()) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = std::isalnum(byte) != 0 || c == '-' || c == '_';
    encoded += plain ? std::string(1, c) : fmt::format("%{:02X}", byte);
  }
  return StoreKey(fmt::format("orders/{:02x}/{}", StableHash(key.value()) % kBuckets, encoded));
}

/// A claim that has no reply yet.
struct StoreOrderClaims::PendingClaim {
  StoreKey key;
  IdempotencyKey idempotency_key;
  OrderRecord record;
  ClaimCallback done;
  SteadyTime deadline;
  /// Version that the claim replaces; 0 for a new order.
  StoreVersion expected;
  /// True once a write was sent whose effect is unknown.
  bool unresolved = false;
  Backoff backoff;
};

/// The answer of an order or the release of its claim, to be written over the claim.
struct StoreOrderClaims::PendingRecord {
  StoreKey key;
  ClaimId claim;
  OrderState state = OrderState::kDone;
  OrderAnswer answer;
  uint64_t body_length = 0;
  uint64_t body_hash = 0;
  DoneCallback done;
  bool in_flight = false;
  Backoff backoff;
};

StoreOrderClaims::StoreOrderClaims(const Clock* clock, PlatformStore* store,
                                   MetricsRegistry* metrics, uint64_t seed)
    : clock_(clock), store_(store, metrics), seed_(seed) {}

StoreOrderClaims::~StoreOrderClaims() = default;

void StoreOrderClaims::Claim(const IdempotencyKey& key, uint64_t request_hash, const ClaimId& claim,
                             const RunnerId& runner, ClaimCallback done) {
  OrderRecord record;
  record.claim = claim;
  record.runner = runner;
  record.request_hash = request_hash;
  const auto pending = std::make_shared<PendingClaim>(PendingClaim{
      OrderKey(key), key, std::move(record), std::move(done), clock_->SteadyNow() + kClaimTimeout,
      StoreVersion(0), false, Backoff(kInitialRetryDelay, kMaxClaimRetryDelay, ++seed_)});
  WriteClaim(pending);
}

void StoreOrderClaims::WriteClaim(const PendingClaimPtr& pending) {
  const ClaimReply granted = Reply(ClaimState::kGranted, "");
  store_.CompareAndSwap(pending->key, pending->expected, FormatOrderRecord(pending->record),
                        order_window_,
                        [this, pending, granted](const Result<StoreVersion>& written) {
                          if (IsOk(written)) return Finish(pending, granted);
                          const ErrorKind kind = ErrorOf(written).kind;
                          if (kind == ErrorKind::kConflict) return ReadClaim(pending);
                          if (kind == ErrorKind::kUnavailable) return RetryClaim(pending);
                          pending->unresolved = true;
                          ReadClaim(pending);
                        });
}

void StoreOrderClaims::ReadClaim(const PendingClaimPtr& pending) {
  store_.Get(pending->key, [this, pending](const Result<VersionedValue>& value) {
    if (!IsOk(value)) return RetryClaim(pending);
    OnClaimRead(pending, ValueOf(value));
  });
}

void StoreOrderClaims::OnClaimRead(const PendingClaimPtr& pending, const VersionedValue& value) {
  // The write whose answer was lost may still take effect. Writing again with the same expected
  // version settles the claim, because at most one of the two writes can succeed.
  if (value.version == pending->expected) return RetryClaim(pending);
  if (value.version == StoreVersion(0)) {
    pending->expected = StoreVersion(0);
    return RetryClaim(pending);
  }
  const Result<OrderRecord> parsed = ParseOrderRecord(value.value);
  if (!IsOk(parsed)) {
    return Finish(pending, Reply(ClaimState::kUnavailable, FormatError(ErrorOf(parsed))));
  }
  const OrderRecord& record = ValueOf(parsed);
  if (record.claim == pending->record.claim) {
    const bool claimed = record.state == OrderState::kClaimed;
    return Finish(pending, Reply(claimed ? ClaimState::kGranted : ClaimState::kUnavailable, ""));
  }
  if (record.request_hash != pending->record.request_hash) {
    return Finish(pending, Reply(ClaimState::kKeyReused, "the key belongs to another request"));
  }
  if (record.state == OrderState::kNotRun) {
    pending->expected = value.version;
    return WriteClaim(pending);
  }
  ClaimReply reply;
  reply.state = record.state == OrderState::kDone ? ClaimState::kAnswered : ClaimState::kInProgress;
  reply.holder = record.runner;
  reply.claim = record.claim;
  reply.answer = record.answer;
  if (record.body_length > record.answer.body.size()) {
    reply.message = fmt::format("the answer was too long to be recorded: {} bytes, hash {:016x}",
                                record.body_length, record.body_hash);
  }
  Finish(pending, reply);
}

void StoreOrderClaims::RetryClaim(const PendingClaimPtr& pending) {
  const SteadyTime now = clock_->SteadyNow();
  if (now < pending->deadline) {
    pending->backoff.RecordFailure(now);
    retries_.push_back(pending);
    return;
  }
  if (!pending->unresolved) {
    return Finish(pending, Reply(ClaimState::kUnavailable, "the platform store does not answer"));
  }
  Finish(pending, Reply(ClaimState::kUnresolved, "the answer of the platform store was lost"));
  // The order will not run under this claim. Releasing the claim lets the caller try again.
  RecordNotRun(pending->idempotency_key, pending->record.claim, [](const Status&) {});
}

void StoreOrderClaims::Finish(const PendingClaimPtr& pending, const ClaimReply& reply) {
  const ClaimCallback done = std::move(pending->done);
  pending->done = nullptr;
  if (done) done(reply);
}

void StoreOrderClaims::RecordAnswer(const IdempotencyKey& key, const ClaimId& claim,
                                    const OrderAnswer& answer, DoneCallback done) {
  PendingRecord record{OrderKey(key),
                       claim,
                       OrderState::kDone,
                       answer,
                       answer.body.size(),
                       StableHash(answer.body),
                       std::move(done),
                       false,
                       Backoff(kInitialRetryDelay, kMaxRecordRetryDelay, ++seed_)};
  if (record.answer.body.size() > kMaxRecordedBody) record.answer.body.clear();
  AddRecord(std::make_shared<PendingRecord>(std::move(record)));
}

void StoreOrderClaims::RecordNotRun(const IdempotencyKey& key, const ClaimId& claim,
                                    DoneCallback done) {
  AddRecord(std::make_shared<PendingRecord>(
      PendingRecord{OrderKey(key), claim, OrderState::kNotRun, OrderAnswer{}, 0, 0, std::move(done),
                    false, Backoff(kInitialRetryDelay, kMaxRecordRetryDelay, ++seed_)}));
}

void StoreOrderClaims::AddRecord(const PendingRecordPtr& record) {
  records_.push_back(record);
  ReadRecord(record);
}

void StoreOrderClaims::ReadRecord(const PendingRecordPtr& record) {
  record->in_flight = true;
  store_.Get(record->key, [this, record](const Result<VersionedValue>& value) {
    if (!IsOk(value)) return RetryRecord(record);
    WriteRecord(record, ValueOf(value));
  });
}

void StoreOrderClaims::WriteRecord(const PendingRecordPtr& record, const VersionedValue& value) {
  if (value.version == StoreVersion(0)) return FinishRecord(record, Superseded());
  const Result<OrderRecord> parsed = ParseOrderRecord(value.value);
  if (!IsOk(parsed)) return FinishRecord(record, ErrorOf(parsed));
  OrderRecord next = ValueOf(parsed);
  if (next.claim != record->claim) return FinishRecord(record, Superseded());
  if (next.state == record->state) return FinishRecord(record, OkStatus());
  if (next.state != OrderState::kClaimed) return FinishRecord(record, Superseded());
  next.state = record->state;
  next.answer = record->answer;
  next.body_length = record->body_length;
  next.body_hash = record->body_hash;
  store_.CompareAndSwap(record->key, value.version, FormatOrderRecord(next), order_window_,
                        [this, record](const Result<StoreVersion>& written) {
                          if (IsOk(written)) return FinishRecord(record, OkStatus());
                          RetryRecord(record);
                        });
}

void StoreOrderClaims::RetryRecord(const PendingRecordPtr& record) {
  record->in_flight = false;
  record->backoff.RecordFailure(clock_->SteadyNow());
}

void StoreOrderClaims::FinishRecord(const PendingRecordPtr& record, const Status& status) {
  std::erase(records_, record);
  record->done(status);
}

void StoreOrderClaims::OnTick() {
  const SteadyTime now = clock_->SteadyNow();
  std::vector<PendingClaimPtr> due;
  for (const PendingClaimPtr& pending : retries_) {
    if (pending->backoff.Ready(now)) due.push_back(pending);
  }
  std::erase_if(retries_,
                [&](const PendingClaimPtr& pending) { return pending->backoff.Ready(now); });
  for (const PendingClaimPtr& pending : due) WriteClaim(pending);
  const std::vector<PendingRecordPtr> records = records_;
  for (const PendingRecordPtr& record : records) {
    if (!record->in_flight && record->backoff.Ready(now)) ReadRecord(record);
  }
}

}  // namespace shallot
