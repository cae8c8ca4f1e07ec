#include "libraries/dispatch/policy.h"

#include <algorithm>

namespace pomelospar::dispatch {

void IndexRoutes(Policy& policy) {
  policy.routes_by_host.clear();
  for (std::size_t index = 0; index < policy.routes.size(); ++index) {
    policy.routes_by_host[policy.routes[index].host].push_back(index);
  }
  for (auto& [host, indices] : policy.routes_by_host) {
    std::stable_sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
      return policy.routes[left].prefix.size() > policy.routes[right].prefix.size();
    });
  }
}

const Route* FindRoute(const Policy& policy, std::string_view host, std::string_view path) {
  const auto found = policy.routes_by_host.find(std::string(host.substr(0, host.find(':'))));
  if (found == policy.routes_by_host.end()) return nullptr;
  for (const auto index : found->second) {
    if (path.starts_with(policy.routes[index].prefix)) return &policy.routes[index];
  }
  return nullptr;
}

const Workspace* FindWorkspace(const Policy& policy, std::string_view key) {
  const auto found = policy.workspace_by_key.find(std::string(key));
  return found == policy.workspace_by_key.end() ? nullptr : &policy.workspaces[found->second];
}

std::string_view ChooseUpstream(const Route& route, double draw) {
  double total = 0.0;
  for (const auto& destination : route.destinations) total += destination.weight;
  double cumulative = 0.0;
  for (const auto& destination : route.destinations) {
    cumulative += destination.weight;
    if (destination.weight > 0.0 && draw * total < cumulative) return destination.upstream;
  }
  return route.destinations.empty() ? std::string_view() : route.destinations.back().upstream;
}

}  // namespace pomelospar::dispatch
