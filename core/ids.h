#ifndef CORE_IDS_H_
#define CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace shallot {

/// Strongly typed string identifier: identifiers with different tags do not convert to each other.
template <class Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  /// The identifier as text.
  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const StrongId&) const = default;  // NOLINT(modernize-use-nullptr)

 private:
  std::string value_;
};

/// Strongly typed number: numbers with different tags do not convert to each other.
template <class Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(uint64_t value) : value_(value) {}

  constexpr uint64_t value() const { return value_; }
  constexpr StrongNumber Next() const { return StrongNumber(value_ + 1); }
  constexpr auto operator<=>(const StrongNumber&) const = default;  // NOLINT(modernize-use-nullptr)

 private:
  uint64_t value_ = 0;
};

/// One process of the system (router or agent).
using InstanceId = StrongId<struct InstanceIdTag>;
/// One backend server with its engine or plain service.
using RunnerId = StrongId<struct RunnerIdTag>;
/// A named group of runners that serve the same catalogue or service.
using BackendName = StrongId<struct BackendNameTag>;
/// A catalogue entry: a base model or an adapter.
using EntryId = StrongId<struct EntryIdTag>;
using FailureDomain = StrongId<struct FailureDomainTag>;
using Region = StrongId<struct RegionTag>;
/// One call from a caller; unique over all routers and restarts.
using CallId = StrongId<struct CallIdTag>;
/// Request id that the caller chose; echoed in the response and logged.
using RequestId = StrongId<struct RequestIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
using StoreKey = StrongId<struct StoreKeyTag>;
/// Something that calls have in common and that may crash the runner which begins to answer them,
/// such as a part of their prompts, an adapter or a model. The text is "KIND:NAME".
using CallTrait = StrongId<struct CallTraitTag>;
/// Author of a configuration change.
using OperatorName = StrongId<struct OperatorNameTag>;

/// Identifies one run of a process; a restart draws a new value.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Version of a value in the platform store; 0 means absent.
using StoreVersion = StrongNumber<struct StoreVersionTag>;
/// Revision of the fleet configuration; increases monotonically.
using ConfigRevision = StrongNumber<struct ConfigRevisionTag>;
using ShardId = StrongNumber<struct ShardIdTag>;
/// Generation of a slot; increases each time the slot moves.
using Generation = StrongNumber<struct GenerationTag>;
/// Fencing number of an order to an engine.
using FencingNumber = StrongNumber<struct FencingNumberTag>;
/// Number of an attempt of a call; the first is 1.
using Attempt = StrongNumber<struct AttemptTag>;
/// Memory size in bytes.
using Bytes = StrongNumber<struct BytesTag>;

}  // namespace shallot

template <class Tag>
struct std::hash<shallot::StrongId<Tag>> {
  size_t operator()(const shallot::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

template <class Tag>
struct std::hash<shallot::StrongNumber<Tag>> {
  size_t operator()(const shallot::StrongNumber<Tag>& number) const noexcept {
    return std::hash<uint64_t>()(number.value());
  }
};

#endif  // CORE_IDS_H_
