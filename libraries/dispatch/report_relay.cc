#include "libraries/dispatch/report_relay.h"

#include <algorithm>
#include <map>

namespace pomelospar::dispatch {
namespace {

struct DomainCandidates {
  std::vector<std::size_t> live;
  std::vector<std::size_t> all;
};

}  // namespace

std::vector<std::size_t> ChooseRelays(std::span<const RelayCandidate> candidates,
                                      std::uint64_t turn) {
  std::map<std::string_view, DomainCandidates> domains;
  for (std::size_t position = 0; position < candidates.size(); ++position) {
    auto& domain = domains[candidates[position].domain];
    domain.all.push_back(position);
    if (candidates[position].live) domain.live.push_back(position);
  }
  std::vector<std::size_t> chosen;
  chosen.reserve(domains.size());
  for (const auto& [name, domain] : domains) {
    const auto& eligible = domain.live.empty() ? domain.all : domain.live;
    chosen.push_back(eligible[turn % eligible.size()]);
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace pomelospar::dispatch
