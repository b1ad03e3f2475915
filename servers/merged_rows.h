#ifndef SERVERS_MERGED_ROWS_H_
#define SERVERS_MERGED_ROWS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shallot {

/// Merges the rows that several gateways list under `list`, so that an operator sees each finding
/// once however many gateways share it. Rows that agree in all fields of `key` become one: it has
/// the largest value of each other field, and in "gateways" the names of those that list it.
/// Anything that is not such a row is skipped.
nlohmann::json MergeGatewayRows(const std::vector<nlohmann::json>& replies, const std::string& list,
                                const std::vector<std::string>& key);

}  // namespace shallot

#endif  // SERVERS_MERGED_ROWS_H_
