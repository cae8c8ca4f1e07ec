#ifndef POMELOSPAR_LIBRARIES_MEMBERSHIP_RENDEZVOUS_H_
#define POMELOSPAR_LIBRARIES_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <span>
#include <vector>

#include "libraries/core/identifiers.h"

namespace pomelospar::membership {

/// Returns the routers in order of their rendezvous hash (highest random weight) for the key,
/// highest first. All routers have the same weight. Adding or removing a router does not change the
/// order of the others, so routers with slightly different member lists agree on most keys.
std::vector<core::RouterIdentity> RendezvousOrder(std::uint64_t key,
                                                  std::span<const core::RouterIdentity> routers);

/// Returns the routers in the order in which they are candidates for the slot allocator of a shard.
std::vector<core::RouterIdentity> RendezvousOrder(const core::ShardIdentity& shard,
                                                  std::span<const core::RouterIdentity> routers);

}  // namespace pomelospar::membership

#endif  // POMELOSPAR_LIBRARIES_MEMBERSHIP_RENDEZVOUS_H_
