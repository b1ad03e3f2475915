#include "servers/crash_traits.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace shallot {
namespace {

constexpr std::string_view kRequestPrefix = "request:";

}  // namespace

CallTrait MakeTrait(std::string text) {
  if (text.size() > kMaxTraitBytes) text.resize(kMaxTraitBytes);
  return CallTrait(std::move(text));
}

CallTrait MakeRequestTrait(uint64_t hash) {
  return CallTrait(fmt::format("{}{:016x}", kRequestPrefix, hash));
}

bool IsRequestTrait(const CallTrait& trait) { return trait.value().starts_with(kRequestPrefix); }

bool HasAllTraits(const std::vector<CallTrait>& traits, const TraitSet& wanted) {
  return std::all_of(wanted.begin(), wanted.end(), [&](const CallTrait& trait) {
    return std::find(traits.begin(), traits.end(), trait) != traits.end();
  });
}

std::string DescribeTraits(const TraitSet& traits) {
  std::string text;
  for (const CallTrait& trait : traits) text += (text.empty() ? "" : ",") + trait.value();
  return text;
}

}  // namespace shallot
