#include "libraries/membership/rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pomelospar::membership {

std::vector<core::RouterIdentity> RendezvousOrder(std::uint64_t key,
                                                  std::span<const core::RouterIdentity> routers) {
  std::vector<std::pair<std::uint64_t, const core::RouterIdentity*>> scores;
  scores.reserve(routers.size());
  for (const auto& router : routers) {
    scores.emplace_back(core::CombineHashes(key, core::HashOf(router)), &router);
  }
  // Routers with equal scores are ordered by identity, so that all routers compute the same order.
  std::sort(scores.begin(), scores.end(), [](const auto& left, const auto& right) {
    return left.first != right.first
               ? left.first > right.first
               : std::tie(left.second->address, left.second->incarnation) <
                     std::tie(right.second->address, right.second->incarnation);
  });
  std::vector<core::RouterIdentity> order;
  order.reserve(scores.size());
  for (const auto& [score, router] : scores) {
    order.push_back(*router);
  }
  return order;
}

std::vector<core::RouterIdentity> RendezvousOrder(const core::ShardIdentity& shard,
                                                  std::span<const core::RouterIdentity> routers) {
  return RendezvousOrder(core::HashOf(shard), routers);
}

}  // namespace pomelospar::membership
