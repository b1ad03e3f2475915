#ifndef SERVERS_STORE_ORDER_CLAIMS_H_
#define SERVERS_STORE_ORDER_CLAIMS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "servers/backoff.h"
#include "servers/counted_store.h"
#include "servers/order_claims.h"
#include "servers/platform_store.h"

namespace shallot {

/// Bodies of recorded answers above this size are recorded as length and hash only; the store
/// holds values of up to 1 MB and the record is Base64 text.
constexpr size_t kMaxRecordedBody = 256U << 10U;

/// Key of an order in the platform store: `orders/BUCKET/KEY`, with the key percent-encoded.
StoreKey OrderKey(const IdempotencyKey& key);

/// Claims of orders by compare-and-swap on `orders/BUCKET/KEY`. A claim is settled within
/// `kClaimLimit`; recorded answers are retried until they are written or superseded.
class StoreOrderClaims final : public OrderClaims {
 public:
  /// Time after which a claim whose outcome is not known is reported as kUnresolved.
  static constexpr Millis kClaimLimit{2000};

  StoreOrderClaims(const Clock* clock, PlatformStore* store, MetricsRegistry* metrics,
                   uint64_t seed);
  ~StoreOrderClaims() override;

  /// Time for which an order stays claimed or answered; from the fleet configuration.
  void SetWindow(Millis window) { window_ = window; }
  /// Retries what failed. Call at least every 100 ms, on the thread that calls the rest.
  void OnTick();
  /// Records that are not yet written.
  size_t pending_records() const { return records_.size(); }

  void Claim(const IdempotencyKey& key, uint64_t request_hash, const ClaimId& claim,
             const RunnerId& runner, ClaimCallback done) override;
  void RecordAnswer(const IdempotencyKey& key, const ClaimId& claim, const OrderAnswer& answer,
                    DoneCallback done) override;
  void RecordNotRun(const IdempotencyKey& key, const ClaimId& claim, DoneCallback done) override;

 private:
  struct Pending;
  struct Record;
  using PendingPtr = std::shared_ptr<Pending>;
  using RecordPtr = std::shared_ptr<Record>;

  void WriteClaim(const PendingPtr& pending);
  void ReadClaim(const PendingPtr& pending);
  void OnClaimRead(const PendingPtr& pending, const VersionedValue& value);
  void RetryClaim(const PendingPtr& pending);
  void Finish(const PendingPtr& pending, const ClaimReply& reply);
  void AddRecord(const RecordPtr& record);
  void ReadRecord(const RecordPtr& record);
  void WriteRecord(const RecordPtr& record, const VersionedValue& value);
  void RetryRecord(const RecordPtr& record);
  void FinishRecord(const RecordPtr& record, const Status& status);

  const Clock* clock_;
  CountedStore store_;
  uint64_t seed_;
  Millis window_{24 * 3'600'000};
  std::vector<PendingPtr> retries_;
  std::vector<RecordPtr> records_;
};

}  // namespace shallot

#endif  // SERVERS_STORE_ORDER_CLAIMS_H_
