#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "drivers/proto_codec.h"

/// Decodes the input as a message between processes. An accepted message must be unchanged after it
/// is encoded and decoded again.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto message = shallot::DecodeMessage(bytes);
  if (!shallot::IsOk(message)) return 0;
  const auto encoded = shallot::EncodeMessage(shallot::ValueOf(message));
  if (!shallot::IsOk(encoded)) std::abort();
  const auto again = shallot::DecodeMessage(shallot::ValueOf(encoded));
  if (!shallot::IsOk(again) || !(shallot::ValueOf(again) == shallot::ValueOf(message)))
    std::abort();
  return 0;
}
