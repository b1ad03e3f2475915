#include "servers/fleet_config.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>
#include <utility>

#include "core/hashing.h"
#include "core/settings.h"

namespace shallot {
namespace {

constexpr uint64_t kMegabyte = 1U << 20U;
constexpr Millis kDay{24 * 3'600'000};
constexpr uint64_t kMaxReplicas = 1000;
constexpr uint64_t kMaxSizeMb = 1U << 24U;

struct DefaultSizes {
  uint64_t model_mb = 0;
  uint64_t model_kv_mb = 0;
  uint64_t adapter_mb = 0;
};

Error KeyError(const std::string& source, const std::string& section, const std::string& key,
               const std::string& problem, const std::string& remedy) {
  return Error{ErrorKind::kInvalidArgument,
               source + ": section [" + section + "], key \"" + key + "\": " + problem, remedy};
}

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) words.push_back(word);
  return words;
}

bool ParseSize(const std::string& word, uint64_t* megabytes) {
  const char* end = word.data() + word.size();
  const auto [parsed_end, error] = std::from_chars(word.data(), end, *megabytes);
  return error == std::errc() && parsed_end == end && *megabytes <= kMaxSizeMb;
}

/// Reads the keys of an entry policy that the section sets; the other fields keep their values.
void ReadEntryPolicy(SectionReader* reader, EntryPolicy* policy) {
  policy->min_replicas = reader->GetUint("min_replicas", policy->min_replicas, 0, kMaxReplicas);
  policy->max_replicas = reader->GetUint("max_replicas", policy->max_replicas, 1, kMaxReplicas);
  policy->cold_weight = reader->GetDouble("cold_weight", policy->cold_weight, 0, 1e6);
  policy->idle_weight = reader->GetDouble("idle_weight", policy->idle_weight, 0, 1e6);
  policy->keep_alive_min =
      reader->GetMillis("keep_alive_min_ms", policy->keep_alive_min, Millis(0), 7 * kDay);
  policy->keep_alive_max =
      reader->GetMillis("keep_alive_max_ms", policy->keep_alive_max, Millis(0), 7 * kDay);
}

void CheckEntryPolicy(SectionReader* reader, const EntryPolicy& policy) {
  if (policy.min_replicas > policy.max_replicas) {
    reader->Fail("min_replicas", "is above max_replicas", "lower it or raise max_replicas");
  }
  if (policy.keep_alive_min > policy.keep_alive_max) {
    reader->Fail("keep_alive_min_ms", "is above keep_alive_max_ms",
                 "lower it or raise keep_alive_max_ms");
  }
}

void ReadClassPolicy(SectionReader* reader, ClassPolicy* policy) {
  policy->deadline = reader->GetMillis("deadline_ms", policy->deadline, Millis(1), 7 * kDay);
  policy->queue_bound = reader->GetUint("queue_bound", policy->queue_bound, 1, 1'000'000);
  policy->objective = reader->GetDouble("objective", policy->objective, 0, 1);
}

/// Builds a FleetConfig from the sections of a document; reports the first error.
class ConfigParser {
 public:
  ConfigParser(const IniDocument& document, FleetConfig* config)
      : document_(document), config_(config) {}

  Status Run() {
    ReadFleet();
    ReadDefaults();
    for (const IniSection& section : document_.sections) ReadSection(section);
    CheckAdapters();
    CheckRoutes();
    for (const IniSection& section : document_.sections) ReadException(section);
    return status_;
  }

 private:
  void KeepFirstError(const Status& status) {
    if (IsOk(status_)) status_ = status;
  }

  void FailSection(const std::string& section, const std::string& problem,
                   const std::string& remedy) {
    KeepFirstError(Error{ErrorKind::kInvalidArgument,
                         document_.source + ": section [" + section + "] " + problem, remedy});
  }

  void ReadFleet() {
    SectionReader reader(document_, "fleet");
    config_->fleet_name = reader.GetString("name");
    config_->shard_count = reader.GetUint("shards", config_->shard_count, 1, 1024);
    KeepFirstError(reader.Finish());
  }

  void ReadDefaults() {
    SectionReader reader(document_, "defaults", true);
    ReadEntryPolicy(&reader, &defaults_);
    CheckEntryPolicy(&reader, defaults_);
    config_->retry_ratio = reader.GetDouble("retry_ratio", config_->retry_ratio, 0, 1);
    config_->order_window =
        reader.GetMillis("order_window_ms", config_->order_window, Millis(1000), 30 * kDay);
    config_->drain_grace =
        reader.GetMillis("drain_grace_ms", config_->drain_grace, Millis(0), kDay);
    config_->weight_loads_per_second =
        reader.GetDouble("weight_loads_per_second", config_->weight_loads_per_second, 0.001, 1e6);
    config_->weight_loads_in_flight =
        reader.GetUint("weight_loads_in_flight", config_->weight_loads_in_flight, 1, 1'000'000);
    config_->adapter_loads_in_flight =
        reader.GetUint("adapter_loads_in_flight", config_->adapter_loads_in_flight, 1, 1'000'000);
    sizes_.model_mb = reader.GetUint("model_size_mb", 0, 0, kMaxSizeMb);
    sizes_.model_kv_mb = reader.GetUint("model_kv_mb", 0, 0, kMaxSizeMb);
    sizes_.adapter_mb = reader.GetUint("adapter_size_mb", 0, 0, kMaxSizeMb);
    KeepFirstError(reader.Finish());
  }

  void ReadSection(const IniSection& section) {
    const std::vector<std::string> words = SplitWords(section.name);
    const std::string kind = words.empty() ? "" : words[0];
    if (kind == "fleet" || kind == "defaults") return CheckWords(section, words, 1, kind);
    if (kind == "exception") return CheckWords(section, words, 2, "exception NAME");
    if (kind == "class") return ReadClass(section, words);
    if (kind == "models") return ReadModels(section, words);
    if (kind == "adapters") return ReadAdapters(section, words);
    if (kind == "service") return ReadService(section, words);
    if (kind == "route") return ReadRoute(section, words);
    FailSection(section.name, "is unknown",
                "use fleet, defaults, class, models, adapters, service, route or exception");
  }

  void CheckWords(const IniSection& section, const std::vector<std::string>& words, size_t count,
                  const std::string& form) {
    if (words.size() == count) return;
    FailSection(section.name, "has a malformed name", "write it as [" + form + "]");
  }

  void ReadClass(const IniSection& section, const std::vector<std::string>& words) {
    CallClass call_class = CallClass::kPremium;
    if (words.size() != 2 || !ParseCallClass(words[1], &call_class)) {
      return FailSection(section.name, "names no class",
                         "use [class NAME] with premium, status, interactive, manuscript or batch");
    }
    SectionReader reader(document_, section.name);
    ReadClassPolicy(&reader, &config_->classes[static_cast<size_t>(call_class)]);
    KeepFirstError(reader.Finish());
  }

  void ReadModels(const IniSection& section, const std::vector<std::string>& words) {
    if (words.size() != 2) return CheckWords(section, words, 2, "models BACKEND");
    for (const auto& [name, line] : section.values) {
      std::vector<uint64_t> sizes = {sizes_.model_mb, sizes_.model_kv_mb};
      CatalogEntry entry;
      if (!ReadLine(section.name, name, line, "VERSION WEIGHTS_MB KV_MB", &entry, &sizes)) return;
      entry.kind = LoadKind::kModel;
      entry.base = entry.id;
      entry.backend = BackendName(words[1]);
      entry.kv_cache = Bytes(sizes[1] * kMegabyte);
      AddEntry(section.name, entry);
    }
  }

  void ReadAdapters(const IniSection& section, const std::vector<std::string>& words) {
    if (words.size() != 2) return CheckWords(section, words, 2, "adapters BASE");
    for (const auto& [name, line] : section.values) {
      std::vector<uint64_t> sizes = {sizes_.adapter_mb};
      CatalogEntry entry;
      if (!ReadLine(section.name, name, line, "VERSION SIZE_MB", &entry, &sizes)) return;
      entry.kind = LoadKind::kAdapter;
      entry.base = EntryId(words[1]);
      AddEntry(section.name, entry);
    }
  }

  /// Reads "VERSION SIZE..."; omitted trailing sizes keep their defaults.
  bool ReadLine(const std::string& section, const std::string& name, const std::string& line,
                const std::string& form, CatalogEntry* entry, std::vector<uint64_t>* sizes) {
    const std::vector<std::string> words = SplitWords(line);
    bool valid = !words.empty() && words.size() <= sizes->size() + 1;
    for (size_t i = 1; valid && i < words.size(); ++i) {
      valid = ParseSize(words[i], &(*sizes)[i - 1]);
    }
    if (!valid) {
      KeepFirstError(KeyError(document_.source, section, name, "\"" + line + "\" is not valid",
                              "write \"" + name + " = " + form + "\" with whole megabytes"));
      return false;
    }
    if ((*sizes)[0] == 0) {
      KeepFirstError(
          KeyError(document_.source, section, name, "has no size",
                   "write \"" + name + " = " + form + "\" or set the size in [defaults]"));
      return false;
    }
    entry->id = EntryId(name);
    entry->version = words[0];
    entry->size = Bytes((*sizes)[0] * kMegabyte);
    return true;
  }

  void AddEntry(const std::string& section, CatalogEntry entry) {
    entry.policy = defaults_;
    const std::string name = entry.id.value();
    if (config_->entries.emplace(entry.id, std::move(entry)).second) return;
    KeepFirstError(KeyError(document_.source, section, name, "names an entry that exists already",
                            "give each model and adapter a name of its own"));
  }

  void CheckAdapters() {
    for (auto& [id, entry] : config_->entries) {
      if (entry.kind != LoadKind::kAdapter) continue;
      const auto base = config_->entries.find(entry.base);
      if (base == config_->entries.end() || base->second.kind != LoadKind::kModel) {
        return FailSection("adapters " + entry.base.value(), "names no model",
                           "add \"" + entry.base.value() + "\" to a [models BACKEND] section");
      }
      entry.backend = base->second.backend;
    }
  }

  void ReadService(const IniSection& section, const std::vector<std::string>& words) {
    if (words.size() != 2) return CheckWords(section, words, 2, "service BACKEND");
    SectionReader reader(document_, section.name);
    reader.GetString("description", "");
    KeepFirstError(reader.Finish());
    config_->services.emplace_back(words[1]);
  }

  void ReadRoute(const IniSection& section, const std::vector<std::string>& words) {
    if (words.size() != 3) return CheckWords(section, words, 3, "route SERVICE NAME");
    SectionReader reader(document_, section.name);
    ServiceRoute route;
    route.service = BackendName(words[1]);
    route.method =
        reader.GetChoice("method", "*", {"*", "GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"});
    route.path_prefix = reader.GetString("path", "/");
    if (route.path_prefix.empty() || route.path_prefix[0] != '/') {
      reader.Fail("path", "\"" + route.path_prefix + "\" is not valid", "start it with \"/\"");
    }
    route.repeatable = reader.GetBool("repeatable", true);
    ParseCallClass(reader.GetChoice("class", "status",
                                    {"premium", "status", "interactive", "manuscript", "batch"}),
                   &route.call_class);
    KeepFirstError(reader.Finish());
    config_->routes.push_back(std::move(route));
  }

  void CheckRoutes() {
    for (const ServiceRoute& route : config_->routes) {
      const auto& services = config_->services;
      if (std::find(services.begin(), services.end(), route.service) != services.end()) continue;
      return FailSection("route " + route.service.value() + " ...", "names no service",
                         "add a section [service " + route.service.value() + "]");
    }
  }

  void ReadException(const IniSection& section) {
    const std::vector<std::string> words = SplitWords(section.name);
    if (words.size() != 2 || words[0] != "exception") return;
    SectionReader reader(document_, section.name);
    ConfigException exception;
    exception.name = words[1];
    exception.target = reader.GetString("target");
    exception.reason = reader.GetString("reason");
    exception.author = OperatorName(reader.GetString("author", ""));
    exception.time = reader.GetString("time", "");
    exception.values = section.values;
    for (const char* key : {"target", "reason", "author", "time"}) exception.values.erase(key);
    ApplyException(&reader, exception);
    KeepFirstError(reader.Finish());
    config_->exceptions.push_back(std::move(exception));
  }

  void ApplyException(SectionReader* reader, const ConfigException& exception) {
    const std::vector<std::string> words = SplitWords(exception.target);
    const std::string kind = words.size() == 2 ? words[0] : "";
    for (const auto& [key, value] : exception.values) {
      if (overridden_.emplace(exception.target, key).second) continue;
      reader->Fail(key, "is overridden by two exceptions for \"" + exception.target + "\"",
                   "remove it from one of them");
    }
    if (exception.values.empty()) {
      reader->Fail("target", "has no key to override", "add a key or remove the exception");
    }
    CallClass call_class = CallClass::kPremium;
    if (kind == "class" && ParseCallClass(words[1], &call_class)) {
      return ReadClassPolicy(reader, &config_->classes[static_cast<size_t>(call_class)]);
    }
    const auto entry =
        kind == "entry" ? config_->entries.find(EntryId(words[1])) : config_->entries.end();
    if (entry == config_->entries.end()) {
      return reader->Fail("target", "\"" + exception.target + "\" does not exist",
                          "use \"entry NAME\" or \"class NAME\" with a known name");
    }
    ReadEntryPolicy(reader, &entry->second.policy);
    CheckEntryPolicy(reader, entry->second.policy);
  }

  const IniDocument& document_;
  FleetConfig* config_;
  EntryPolicy defaults_;
  DefaultSizes sizes_;
  std::set<std::pair<std::string, std::string>> overridden_;
  Status status_ = OkStatus();
};

/// True when `prefix` matches whole path segments of `path`; the query string is ignored.
bool PathMatches(const std::string& prefix, const std::string& path) {
  const std::string bare = path.substr(0, path.find('?'));
  if (!bare.starts_with(prefix)) return false;
  return prefix.back() == '/' || bare.size() == prefix.size() || bare[prefix.size()] == '/';
}

}  // namespace

const CatalogEntry* FleetConfig::FindEntry(const EntryId& id) const {
  const auto it = entries.find(id);
  return it == entries.end() ? nullptr : &it->second;
}

const ServiceRoute* FleetConfig::FindRoute(const BackendName& service, const std::string& method,
                                           const std::string& path) const {
  const ServiceRoute* best = nullptr;
  const auto rank = [](const ServiceRoute& route) {
    return std::make_pair(route.path_prefix.size(), route.method != "*");
  };
  for (const ServiceRoute& route : routes) {
    if (route.service != service) continue;
    if (route.method != "*" && route.method != method) continue;
    if (!PathMatches(route.path_prefix, path)) continue;
    if (best == nullptr || rank(route) > rank(*best)) best = &route;
  }
  return best;
}

ShardId ShardOf(const EntryId& base, uint64_t shard_count) {
  return ShardId(StableHash(base.value()) % shard_count);
}

Result<FleetConfig> ParseFleetConfig(const std::string& text, const std::string& source,
                                     ConfigRevision revision) {
  const Result<IniDocument> document = ParseIni(text, source);
  if (!IsOk(document)) return ErrorOf(document);
  FleetConfig config;
  config.revision = revision;
  const Status status = ConfigParser(ValueOf(document), &config).Run();
  if (!IsOk(status)) return ErrorOf(status);
  return config;
}

}  // namespace shallot
