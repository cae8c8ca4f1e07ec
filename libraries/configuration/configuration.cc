#include "libraries/configuration/configuration.h"

#include <algorithm>

namespace pomelospar::configuration {
namespace {

bool Allows(const Route& route, std::string_view method) {
  return route.methods.empty() ||
         std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

}  // namespace

const Route* FindRoute(const Configuration& configuration, std::string_view method,
                       std::string_view path) {
  const Route* best = nullptr;
  for (const auto& route : configuration.routes) {
    const bool longer = best == nullptr || route.path_prefix.size() > best->path_prefix.size();
    if (longer && path.starts_with(route.path_prefix) && Allows(route, method)) {
      best = &route;
    }
  }
  return best;
}

const Upstream* FindUpstreamOfModel(const Configuration& configuration, std::string_view model) {
  for (const auto& upstream : configuration.upstreams) {
    if (upstream.kind == UpstreamKind::kModelEngine && upstream.model == model) {
      return &upstream;
    }
  }
  return nullptr;
}

}  // namespace pomelospar::configuration
