#ifndef POMELOSPAR_LIBRARIES_SCHEDULING_SHARD_MAP_H_
#define POMELOSPAR_LIBRARIES_SCHEDULING_SHARD_MAP_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "libraries/core/identifiers.h"

namespace pomelospar::scheduling {

/// Runners per shard on average. One allocator for each pool would exceed the 3 KB/s of control
/// traffic at 13.6 requests a second; shards of 5 runners give 2.6 requests a second.
inline constexpr std::size_t kRunnersPerShard = 5;

/// The runners of one shard, which may be empty.
struct ShardRunners {
  core::ShardIdentity shard;
  std::vector<core::RunnerId> runners;
};

/// Divides the runners of an upstream in one failure domain into ceil(n / 5) shards by rendezvous
/// hashing, so that a runner that joins or leaves moves few others.
std::vector<ShardRunners> AssignShards(core::UpstreamId upstream, core::DomainId domain,
                                       std::span<const core::RunnerId> runners);

/// Rendezvous order of the routers of a shard's domain; the first live one is its allocator.
std::vector<core::RouterIdentity> AllocatorOrder(const core::ShardIdentity& shard,
                                                 std::span<const core::RouterIdentity> routers);

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_SHARD_MAP_H_
