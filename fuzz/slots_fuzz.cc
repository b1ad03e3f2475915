#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "servers/placement_codec.h"

/// Parses the input as the stored slots of a shard. Accepted slots must be unchanged after they are
/// formatted and parsed again.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto slots = shallot::ParseSlots(text);
  if (!shallot::IsOk(slots)) return 0;
  const auto again = shallot::ParseSlots(shallot::FormatSlots(shallot::ValueOf(slots)));
  if (!shallot::IsOk(again) || shallot::ValueOf(again) != shallot::ValueOf(slots)) std::abort();
  return 0;
}
