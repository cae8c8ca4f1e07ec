#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_ROW_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_ROW_H_

#include <optional>
#include <string>
#include <string_view>

namespace pomelospar::edge {

/// Entry of one router in the fleet's table.
struct RouterRow {
  std::string address;
  std::string domain;
};

/// Returns nothing if the value is not such an entry, whatever wrote it.
std::optional<RouterRow> DecodeRouterRow(std::string_view value);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_ROW_H_
