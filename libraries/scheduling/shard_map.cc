#include "libraries/scheduling/shard_map.h"

#include <algorithm>
#include <utility>

namespace pomelospar::scheduling {

std::vector<ShardRunners> AssignShards(core::UpstreamId upstream, core::DomainId domain,
                                       std::span<const core::RunnerId> runners) {
  const auto count = (runners.size() + kRunnersPerShard - 1) / kRunnersPerShard;
  std::vector<ShardRunners> shards(count);
  std::vector<std::uint64_t> hashes(count);
  for (std::size_t index = 0; index < count; ++index) {
    shards[index].shard = {upstream, domain, static_cast<std::uint32_t>(index)};
    hashes[index] = core::HashOf(shards[index].shard);
  }
  for (const auto runner : runners) {
    std::size_t best = 0;
    std::uint64_t best_score = 0;
    for (std::size_t index = 0; index < count; ++index) {
      const auto score = core::CombineHashes(hashes[index], core::Raw(runner));
      if (index == 0 || score > best_score) {
        best = index;
        best_score = score;
      }
    }
    shards[best].runners.push_back(runner);
  }
  return shards;
}

std::vector<core::RouterIdentity> AllocatorOrder(const core::ShardIdentity& shard,
                                                 std::span<const core::RouterIdentity> routers) {
  std::vector<std::pair<std::uint64_t, const core::RouterIdentity*>> scored;
  scored.reserve(routers.size());
  const auto shard_hash = core::HashOf(shard);
  for (const auto& router : routers) {
    scored.emplace_back(core::CombineHashes(shard_hash, core::HashOf(router)), &router);
  }
  std::ranges::sort(scored, [](const auto& left, const auto& right) {
    return left.first != right.first ? left.first > right.first : *left.second < *right.second;
  });
  std::vector<core::RouterIdentity> order;
  order.reserve(scored.size());
  for (const auto& entry : scored) {
    order.push_back(*entry.second);
  }
  return order;
}

}  // namespace pomelospar::scheduling
