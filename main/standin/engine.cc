#include <nlohmann/json.hpp>

#include "main/standin/engine_calls.h"
#include "main/standin/engine_memory.h"
#include "main/standin/role.h"

namespace shallot::standin {
namespace {

/// Stand-in for a model engine.
class Engine final : public Role {
 public:
  Engine(const Options& options, Faults* faults)
      : memory_(options, faults), calls_(options, faults) {}

  std::optional<Reply> Handle(Exchange& exchange) override {
    const std::string& path = exchange.path();
    if (path == "/v1/completions" || path == "/v1/chat/completions") return Complete(exchange);
    if (const auto call = exchange.PathAfter("/streams/")) return HandleStream(exchange, *call);
    if (const auto call = exchange.PathAfter("/admin/kv/")) return HandleKv(exchange, *call);
    if (path == "/admin/load") return memory_.Load(exchange.body());
    if (path == "/admin/unload") return memory_.Unload(exchange.body());
    if (path == "/admin/role") return memory_.SetRole(exchange.body());
    if (path == "/admin/inventory") return memory_.Inventory();
    if (path == "/admin/load-report") return calls_.LoadReport();
    if (path == "/admin/cache-events") return calls_.CacheEvents(exchange.QueryNumber("since"));
    if (path == "/executed") return calls_.Executed();
    if (path == "/stats") return Stats();
    return MessageReply(404, "no such path");
  }

 private:
  std::optional<Reply> Complete(Exchange& exchange) {
    const std::string entry = exchange.Header("X-Entry");
    if (!memory_.IsLoaded(entry)) return MessageReply(404, "\"" + entry + "\" is not loaded");
    return calls_.Run(exchange, entry);
  }

  std::optional<Reply> HandleStream(Exchange& exchange, const std::string& call) {
    if (exchange.method() == "DELETE") return calls_.Cancel(call);
    return calls_.StreamAnswer(exchange, call);
  }

  Reply HandleKv(Exchange& exchange, const std::string& call) {
    if (exchange.method() == "PUT") return calls_.ImportKv(call, exchange.body());
    return calls_.ExportKv(call);
  }

  Reply Stats() {
    auto counts = memory_.Counts();
    counts["executed"] = calls_.ExecutedCount();
    return Reply{200, nlohmann::json(counts).dump()};
  }

  EngineMemory memory_;
  EngineCalls calls_;
};

}  // namespace

std::unique_ptr<Role> MakeEngine(const Options& options, Faults* faults) {
  return std::make_unique<Engine>(options, faults);
}

}  // namespace shallot::standin
