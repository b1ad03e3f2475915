#ifndef MAIN_STANDIN_ENGINE_MEMORY_H_
#define MAIN_STANDIN_ENGINE_MEMORY_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "main/standin/role.h"

namespace shallot::standin {

/// What an engine holds in accelerator memory, host memory and on disk. Thread-safe.
class EngineMemory {
 public:
  EngineMemory(const Options& options, Faults* faults) : options_(options), faults_(faults) {}

  /// Orders with a JSON body; each waits until it is carried out.
  Reply Load(const std::string& body);
  Reply Unload(const std::string& body);
  Reply SetRole(const std::string& body);
  Reply Inventory();
  bool IsLoaded(const std::string& entry);
  /// Loads, and violations: `loaded_twice` (an order for an entry that was loaded or loading),
  /// `memory_above_capacity` and `fenced` (outdated fencing number).
  std::map<std::string, uint64_t> Counts();

 private:
  struct Item {
    std::string kind;
    std::string version;
    uint64_t size = 0;
    std::string presence;
    /// Rises with each use; the lowest leaves a full tier first.
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
  bool TakeFencing(uint64_t fencing);
  /// Reserves memory and marks the entry as loading; a status other than 200 refuses.
  Reply BeginLoad(const LoadOrder& order, std::string* source);
  int Transfer(const LoadOrder& order, const std::string& source);
  int ReadRemote(const LoadOrder& order) const;
  uint64_t Used(const std::string& tier) const;
  uint64_t UsedByAccelerator() const;
  void KeepInLowerTiers(const std::string& entry);
  void ShrinkTier(const std::string& tier, uint64_t limit, const std::string& next_tier);

  const Options options_;
  Faults* faults_;
  std::mutex mutex_;
  std::map<std::string, Item> items_;
  uint64_t highest_fencing_ = 0;
  uint64_t uses_ = 0;
  std::map<std::string, uint64_t> counts_ = {
      {"loads", 0}, {"loaded_twice", 0}, {"memory_above_capacity", 0}, {"fenced", 0}};
};

}  // namespace shallot::standin

#endif  // MAIN_STANDIN_ENGINE_MEMORY_H_
