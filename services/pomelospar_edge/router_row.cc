#include "services/pomelospar_edge/router_row.h"

#include <nlohmann/json.hpp>

namespace pomelospar::edge {
namespace {

dispatch::StoreEpoch EpochOf(const nlohmann::json& json) {
  const auto epoch = json.find("epoch");
  if (epoch == json.end() || !epoch->is_number_unsigned()) return std::nullopt;
  return epoch->get<std::uint64_t>();
}

}  // namespace

std::string EncodeRouterRow(const RouterRow& row) {
  nlohmann::json json = {{"address", row.address}, {"domain", row.domain}};
  if (row.epoch) json["epoch"] = *row.epoch;
  if (row.newest_policy > 0) json["policy"] = row.newest_policy;
  return json.dump();
}

std::optional<RouterRow> DecodeRouterRow(std::string_view value) {
  const auto json = nlohmann::json::parse(value, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto address = json.find("address");
  const auto domain = json.find("domain");
  if (address == json.end() || !address->is_string()) return std::nullopt;
  if (domain == json.end() || !domain->is_string()) return std::nullopt;
  RouterRow row = {.address = address->get<std::string>(), .domain = domain->get<std::string>()};
  row.epoch = EpochOf(json);
  const auto policy = json.find("policy");
  if (policy != json.end() && policy->is_number_unsigned()) {
    row.newest_policy = policy->get<std::uint64_t>();
  }
  return row;
}

std::string EncodeEpochRow(dispatch::StoreEpoch epoch) {
  nlohmann::json json = nlohmann::json::object();
  if (epoch) json["epoch"] = *epoch;
  return json.dump();
}

dispatch::StoreEpoch DecodeEpochRow(std::string_view value) {
  const auto json = nlohmann::json::parse(value, nullptr, false);
  return json.is_object() ? EpochOf(json) : std::nullopt;
}

}  // namespace pomelospar::edge
