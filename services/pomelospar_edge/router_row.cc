#include "services/pomelospar_edge/router_row.h"

#include <nlohmann/json.hpp>

namespace pomelospar::edge {

std::optional<RouterRow> DecodeRouterRow(std::string_view value) {
  const auto json = nlohmann::json::parse(value, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto address = json.find("address");
  const auto domain = json.find("domain");
  if (address == json.end() || !address->is_string()) return std::nullopt;
  if (domain == json.end() || !domain->is_string()) return std::nullopt;
  return RouterRow{address->get<std::string>(), domain->get<std::string>()};
}

}  // namespace pomelospar::edge
