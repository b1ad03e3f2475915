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

/// Maximum size in bytes of a recorded answer body. Longer bodies are recorded as length and hash
/// only, because the store holds values of up to 1 MB and the record is Base64 text.
constexpr size_t kMaxRecordedBody = 256U << 10U;

/// Key of an order in the platform store: `orders/BUCKET/KEY`, with the key percent-encoded.
StoreKey OrderKey(const IdempotencyKey& key);

/// Claims orders by compare-and-swap on `orders/BUCKET/KEY`. A claim gets its reply within
/// `kClaimTimeout`; recorded answers are retried until they are written or superseded.
class StoreOrderClaims final : public OrderClaims {
 public:
  /// Time after which a claim whose outcome is unknown is reported as kUnresolved.
  static constexpr Millis kClaimTimeout{2000};

  StoreOrderClaims(const Clock* clock, PlatformStore* store, MetricsRegistry* metrics,
                   uint64_t seed);
  ~StoreOrderClaims() override;

  /// Sets how long the claim or answer of an order is kept; from the fleet configuration.
  void SetOrderWindow(Millis window) { order_window_ = window; }
  /// Retries failed operations. Call at least every 100 ms, on the thread that calls the other
  /// methods.
  void OnTick();
  /// Number of records that are not yet written.
  size_t pending_records() const { return records_.size(); }

  void Claim(const IdempotencyKey& key, uint64_t request_hash, const ClaimId& claim,
             const RunnerId& runner, ClaimCallback done) override;
  void RecordAnswer(const IdempotencyKey& key, const ClaimId& claim, const OrderAnswer& answer,
                    DoneCallback done) override;
  void RecordNotRun(const IdempotencyKey& key, const ClaimId& claim, DoneCallback done) override;

 private:
  struct PendingClaim;
  struct PendingRecord;
  using PendingClaimPtr = std::shared_ptr<PendingClaim>;
  using PendingRecordPtr = std::shared_ptr<PendingRecord>;

  void WriteClaim(const PendingClaimPtr& pending);
  void ReadClaim(const PendingClaimPtr& pending);
  void OnClaimRead(const PendingClaimPtr& pending, const VersionedValue& value);
  void RetryClaim(const PendingClaimPtr& pending);
  void Finish(const PendingClaimPtr& pending, const ClaimReply& reply);
  void AddRecord(const PendingRecordPtr& record);
  void ReadRecord(const PendingRecordPtr& record);
  void WriteRecord(const PendingRecordPtr& record, const VersionedValue& value);
  void RetryRecord(const PendingRecordPtr& record);
  void FinishRecord(const PendingRecordPtr& record, const Status& status);

  const Clock* clock_;
  CountedStore store_;
  uint64_t seed_;
  Millis order_window_{24 * 3'600'000};
  std::vector<PendingClaimPtr> retries_;
  std::vector<PendingRecordPtr> records_;
};

}  // namespace shallot

#endif  // SERVERS_STORE_ORDER_CLAIMS_H_
