#ifndef POMELOSPAR_LIBRARIES_SCHEDULING_SHARD_MAP_H_
#define POMELOSPAR_LIBRARIES_SCHEDULING_SHARD_MAP_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "libraries/core/identifiers.h"

namespace pomelospar::scheduling {

/// Target for the mean number of runners per shard. With a single allocator for all runners of an
/// upstream in a failure domain, its control traffic would exceed 3 KB/s at 13.6 requests per
/// second. Shards of 5 runners serve 2.6 requests per second.
inline constexpr std::size_t kRunnersPerShard = 5;

/// The runners of one shard. A shard may have no runners.
struct ShardRunners {
  core::ShardIdentity shard;
  std::vector<core::RunnerId> runners;
};

/// Divides the runners of an upstream in one failure domain into ceil(n / `kRunnersPerShard`)
/// shards by rendezvous hashing, so that a runner that joins or leaves moves few others.
std::vector<ShardRunners> AssignShards(core::UpstreamId upstream, core::DomainId domain,
                                       std::span<const core::RunnerId> runners);

/// Returns the routers of a shard's failure domain in rendezvous order. The first live one is the
/// shard's allocator.
std::vector<core::RouterIdentity> AllocatorOrder(const core::ShardIdentity& shard,
                                                 std::span<const core::RouterIdentity> routers);

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_SHARD_MAP_H_
