#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_ROW_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_ROW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/dispatch/store_position.h"

namespace pomelospar::edge {

/// Entry of one router in the fleet's table.
struct RouterRow {
  std::string address;
  std::string domain;
  /// See `dispatch::PolicyStatement`. Absent and 0 in rows of earlier releases.
  dispatch::StoreEpoch epoch;
  std::uint64_t newest_policy = 0;

  bool operator==(const RouterRow&) const = default;
};

std::string EncodeRouterRow(const RouterRow& row);

/// Returns nothing if the value is not such an entry, whatever wrote it.
std::optional<RouterRow> DecodeRouterRow(std::string_view value);

/// The row that names the latest epoch of the store in which a router knew whether the store lacks
/// a configuration; see `dispatch::PolicyKnowledge`.
std::string EncodeEpochRow(dispatch::StoreEpoch epoch);
/// Absent if the value is not such a row.
dispatch::StoreEpoch DecodeEpochRow(std::string_view value);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_ROW_H_
