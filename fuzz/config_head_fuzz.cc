#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "servers/config_head.h"

/// Parses the input as the stored value of config/head. An accepted head must be unchanged after it
/// is formatted and parsed again, its snapshot must not be newer than its revision, and building
/// the document from it must not crash.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto head = shallot::ParseConfigHead(text);
  if (!shallot::IsOk(head)) return 0;
  const shallot::ConfigHead& parsed = shallot::ValueOf(head);
  const auto again = shallot::ParseConfigHead(shallot::FormatConfigHead(parsed));
  if (!shallot::IsOk(again) || !(shallot::ValueOf(again) == parsed)) std::abort();
  if (parsed.revision < parsed.snapshot) std::abort();
  (void)shallot::BuildDocument(parsed, shallot::EmptySnapshot(), parsed.revision);
  return 0;
}
