#ifndef SERVERS_GATEWAY_CALL_TRAITS_H_
#define SERVERS_GATEWAY_CALL_TRAITS_H_

#include <string_view>
#include <vector>

#include "servers/crash_quarantine.h"
#include "servers/gateway/call_request.h"

namespace shallot::gateway {

/// What a call's repeats have in common with it, besides its CallRequest. Ids, deadlines,
/// connections and addresses differ between repeats.
struct CallContent {
  std::string_view method;
  /// Path and query.
  std::string_view target;
  std::string_view body;
};

/// The traits of a call, the most specific first: its request, the prompt parts from the last one
/// to the first, the adapter, the model, as "request:HASH", "part:ID", "adapter:BACKEND/MODEL/NAME"
/// and "model:BACKEND/MODEL". Without the prompt's last part, which belongs to this call alone.
std::vector<CallTrait> TraitsOf(const BackendName& backend, const CallRequest& call,
                                const CallContent& content);
/// The traits of all calls for an entry, and of its load: the adapter, if it is one, and the model.
std::vector<CallTrait> TraitsOfEntry(const BackendName& backend, const ModelName& model,
                                     const AdapterName& adapter);

}  // namespace shallot::gateway

#endif  // SERVERS_GATEWAY_CALL_TRAITS_H_
