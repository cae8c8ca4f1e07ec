#include "libraries/configuration/normalise.h"

#include <algorithm>
#include <vector>

namespace pomelospar::configuration {
namespace {

template <typename T>
void SortByName(std::vector<T>& items) {
  std::sort(items.begin(), items.end(),
            [](const T& left, const T& right) { return left.name < right.name; });
}

void NormaliseRunners(Upstream& upstream) {
  for (auto& runner : upstream.runners) {
    runner.id = core::IdOf<core::RunnerId>(runner.address);
    runner.domain_id = core::IdOf<core::DomainId>(runner.domain);
  }
  std::sort(upstream.runners.begin(), upstream.runners.end(),
            [](const Runner& left, const Runner& right) { return left.address < right.address; });
}

}  // namespace

void Normalise(Configuration& configuration) {
  for (auto& item : configuration.classes) {
    item.id = core::IdOf<core::ClassId>(item.name);
  }
  for (auto& upstream : configuration.upstreams) {
    upstream.id = core::IdOf<core::UpstreamId>(upstream.name);
    NormaliseRunners(upstream);
  }
  for (auto& workspace : configuration.workspaces) {
    workspace.id = core::IdOf<core::WorkspaceId>(workspace.name);
  }
  SortByName(configuration.classes);
  SortByName(configuration.upstreams);
  SortByName(configuration.workspaces);
  SortByName(configuration.routes);
}

}  // namespace pomelospar::configuration
