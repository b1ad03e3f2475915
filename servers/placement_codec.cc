#include "servers/placement_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace shallot {
namespace {

using Json = nlohmann::json;

/// Returns a non-negative integer; throws Json::exception for any other value. get<uint64_t>()
/// would convert negative numbers and fractions, with undefined behaviour for some of them.
uint64_t WholeNumber(const Json& json) { return json.get_ref<const Json::number_unsigned_t&>(); }

Error MalformedSlots(const std::string& problem) {
  return Error{ErrorKind::kInvalidArgument, "the stored placement is malformed: " + problem,
               "restore the value of the shard in the platform store"};
}

}  // namespace

StoreKey PlacementKey(ShardId shard) {
  return StoreKey("placement/" + std::to_string(shard.value()));
}

void SortSlots(std::vector<Slot>* slots) {
  std::sort(slots->begin(), slots->end(), [](const Slot& a, const Slot& b) {
    return std::tie(a.entry, a.runner) < std::tie(b.entry, b.runner);
  });
}

std::string FormatSlots(const std::vector<Slot>& slots) {
  // {"runner": [["entry", generation, releasing], ...], ...}
  Json json = Json::object();
  for (const Slot& slot : slots) {
    const int releasing = slot.state == SlotState::kReleasing ? 1 : 0;
    json[slot.runner.value()].push_back(
        Json::array({slot.entry.value(), slot.generation.value(), releasing}));
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::vector<Slot>> ParseSlots(const std::string& text) {
  std::vector<Slot> slots;
  if (text.empty()) return slots;
  try {
    const Json json = Json::parse(text);
    for (const auto& [runner, items] : json.items()) {
      for (const Json& item : items) {
        Slot slot;
        slot.runner = RunnerId(runner);
        slot.entry = EntryId(item.at(0).get<std::string>());
        slot.generation = Generation(WholeNumber(item.at(1)));
        const uint64_t releasing = WholeNumber(item.at(2));
        if (releasing > 1) return MalformedSlots("a slot has an unknown state");
        slot.state = releasing == 1 ? SlotState::kReleasing : SlotState::kActive;
        slots.push_back(std::move(slot));
      }
    }
  } catch (const Json::exception& error) {
    return MalformedSlots(error.what());
  }
  SortSlots(&slots);
  return slots;
}

}  // namespace shallot
