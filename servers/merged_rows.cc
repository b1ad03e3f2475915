#include "servers/merged_rows.h"

#include <map>

namespace shallot {

nlohmann::json MergeGatewayRows(const std::vector<nlohmann::json>& replies, const std::string& list,
                                const std::vector<std::string>& key) {
  using Json = nlohmann::json;
  std::map<Json, Json> merged;
  for (const Json& reply : replies) {
    if (!reply.is_object() || !reply.contains(list)) continue;
    for (const Json& row : reply.at(list)) {
      if (!row.is_object()) continue;
      Json identity = Json::array();
      for (const std::string& field : key) identity.push_back(row.value(field, Json()));
      Json& kept = merged[identity];
      for (const auto& [field, value] : row.items()) {
        if (!kept.contains(field) || kept.at(field) < value) kept[field] = value;
      }
      kept["gateways"].push_back(reply.value("gateway", Json()));
    }
  }
  Json rows = Json::array();
  for (auto& [identity, row] : merged) rows.push_back(std::move(row));
  return rows;
}

}  // namespace shallot
