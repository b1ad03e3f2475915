#include "servers/gateway/call_traits.h"

#include "core/hashing.h"

namespace shallot::gateway {

namespace {

/// Hash of what a call has in common with its repeats.
uint64_t RequestHash(const CallRequest& call, const CallContent& content) {
  uint64_t hash = 0;
  const auto add = [&hash](std::string_view text) { hash = StableHash(text, hash); };
  add(content.method);
  add(call.host);
  add(content.target);
  add(call.caller_key);
  add(call.model.value());
  add(call.adapter.value());
  for (const PromptPart& part : call.prompt) add(part.id);
  add(content.body);
  return hash;
}

}  // namespace

std::vector<CallTrait> TraitsOf(const BackendName& backend, const CallRequest& call,
                                const CallContent& content) {
  std::vector<CallTrait> traits = {MakeRequestTrait(RequestHash(call, content))};
  // Two places are kept for the adapter and the model.
  constexpr size_t kLimit = kMaxTraitsPerCall - 2;
  for (size_t index = call.prompt.size(); index > 1 && traits.size() < kLimit; --index) {
    traits.push_back(MakeTrait("part:" + call.prompt[index - 2].id));
  }
  const std::vector<CallTrait> entry = TraitsOfEntry(backend, call.model, call.adapter);
  traits.insert(traits.end(), entry.begin(), entry.end());
  return traits;
}

std::vector<CallTrait> TraitsOfEntry(const BackendName& backend, const ModelName& model,
                                     const AdapterName& adapter) {
  std::vector<CallTrait> traits;
  const std::string path = backend.value() + "/" + model.value();
  if (!adapter.empty()) traits.push_back(MakeTrait("adapter:" + path + "/" + adapter.value()));
  if (!model.empty()) traits.push_back(MakeTrait("model:" + path));
  return traits;
}

}  // namespace shallot::gateway
