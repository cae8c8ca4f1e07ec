#include "tests/stand_ins/platform_stand_in/instance_list.h"

#include <algorithm>
#include <array>

namespace pomelospar::stand_in {
namespace {

constexpr std::size_t kRememberedRemovals = 1000;

constexpr std::array<const char*, 5> kTextFields = {"address", "domain", "role", "status",
                                                    "incarnation"};

bool IsInstance(const nlohmann::json& instance) {
  if (!instance.is_object()) return false;
  return std::all_of(kTextFields.begin(), kTextFields.end(), [&](const char* name) {
    return instance.contains(name) && instance.at(name).is_string();
  });
}

}  // namespace

bool InstanceList::Change(const nlohmann::json& change, Time now) {
  if (!change.is_object()) return false;
  for (const auto& instance : change.value("set", nlohmann::json::array())) {
    if (!IsInstance(instance)) return false;
  }
  for (const auto& address : change.value("remove", nlohmann::json::array())) {
    if (!address.is_string()) return false;
  }
  this->pending.push_back({now + this->lag, change});
  return true;
}

void InstanceList::Apply(const nlohmann::json& change) {
  ++this->version;
  for (auto instance : change.value("set", nlohmann::json::array())) {
    if (!instance.contains("slots")) instance["slots"] = 1;
    const auto address = instance.at("address").get<std::string>();
    std::erase_if(this->removals, [&](const auto& removal) { return removal.first == address; });
    this->instances[address] = {std::move(instance), this->version};
  }
  for (const auto& removed : change.value("remove", nlohmann::json::array())) {
    const auto address = removed.get<std::string>();
    if (this->instances.erase(address) == 0) continue;
    this->removals.emplace_back(address, this->version);
  }
  while (this->removals.size() > kRememberedRemovals) {
    this->forgotten_removals_until = this->removals.front().second;
    this->removals.pop_front();
  }
}

nlohmann::json InstanceList::Since(std::uint64_t since, Time now) {
  while (!this->pending.empty() && this->pending.front().visible_from <= now) {
    this->Apply(this->pending.front().change);
    this->pending.pop_front();
  }
  const bool complete =
      since == 0 || since > this->version || since < this->forgotten_removals_until;
  nlohmann::json changed = nlohmann::json::array();
  for (const auto& [address, entry] : this->instances) {
    if (complete || entry.version > since) changed.push_back(entry.instance);
  }
  nlohmann::json removed = nlohmann::json::array();
  for (const auto& [address, removal_version] : this->removals) {
    if (!complete && removal_version > since) removed.push_back(address);
  }
  return {{"version", this->version},
          {"complete", complete},
          {"changed", std::move(changed)},
          {"removed", std::move(removed)}};
}

}  // namespace pomelospar::stand_in
