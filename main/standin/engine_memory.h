#ifndef MAIN_STANDIN_ENGINE_MEMORY_H_
#define MAIN_STANDIN_ENGINE_MEMORY_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "main/standin/role.h"

namespace shallot::standin {

/// Models and adapters that an engine holds in accelerator memory, in host memory and on disk.
/// Thread-safe.
class EngineMemory {
 public:
  EngineMemory(const Options& options, Faults* faults) : options_(options), faults_(faults) {}

  /// Execute an order with a JSON body; each blocks until the order is complete.
  Reply Load(const std::string& body);
  Reply Unload(const std::string& body);
  Reply SetRole(const std::string& body);
  Reply Inventory();
  bool IsLoaded(const std::string& entry);
  /// Number of loads and of violations: `loaded_twice` (a load order for an entry that is loaded,
  /// loading or unloading), `memory_above_capacity` and `fenced` (an outdated fencing number).
  std::map<std::string, uint64_t> Counts();

 private:
  struct Item {
    std::string kind;
    std::string version;
    uint64_t size = 0;
    std::string presence;
    /// Sequence number of the last use; a full tier evicts the item with the lowest.
    uint64_t last_use = 0;
  };
  struct LoadOrder {
    std::string entry;
    std::string kind;
    std::string base;
    std::string version;
    uint64_t size = 0;
    uint64_t fencing = 0;
  };

  static bool Parse(const std::string& body, LoadOrder* order);
  /// Records the highest fencing number; returns false for an outdated one unless it is ignored.
  bool AcceptFencing(uint64_t fencing);
  /// Reserves memory and marks the entry as loading. Returns a status other than 200 when the order
  /// is refused; `source` receives the tier to load from and stays empty when nothing is to be
  /// done.
  Reply BeginLoad(const LoadOrder& order, std::string* source);
  int Transfer(const LoadOrder& order, const std::string& source);
  int ReadRemote(const LoadOrder& order) const;
  uint64_t UsedBytes(const std::string& tier) const;
  uint64_t UsedAcceleratorBytes() const;
  void DemoteToHostMemory(const std::string& entry);
  void ShrinkTier(const std::string& tier, uint64_t limit, const std::string& next_tier);

  const Options options_;
  Faults* faults_;
  std::mutex mutex_;
  std::map<std::string, Item> items_;
  uint64_t highest_fencing_ = 0;
  uint64_t use_count_ = 0;
  std::map<std::string, uint64_t> counts_ = {
      {"loads", 0}, {"loaded_twice", 0}, {"memory_above_capacity", 0}, {"fenced", 0}};
};

}  // namespace shallot::standin

#endif  // MAIN_STANDIN_ENGINE_MEMORY_H_
