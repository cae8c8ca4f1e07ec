#ifndef POMELOSPAR_TESTS_LIBRARIES_SCHEDULING_FLEET_IDENTIFIERS_H_
#define POMELOSPAR_TESTS_LIBRARIES_SCHEDULING_FLEET_IDENTIFIERS_H_

#include <chrono>
#include <cstddef>

#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::scheduling {

/// Identifiers of the simulated fleet. The simulation numbers domains, workspaces and runners from
/// zero.
inline constexpr core::UpstreamId kUpstream{1};
inline constexpr core::ClassId kClass{1};

inline core::DomainId DomainOf(std::size_t domain) { return core::DomainId{domain + 1}; }
inline core::WorkspaceId WorkspaceOf(std::size_t workspace) {
  return core::WorkspaceId{workspace + 1};
}
inline core::RunnerId RunnerOf(std::size_t runner) { return core::RunnerId{runner + 1}; }

inline core::ShardIdentity ShardOf(const wire::Shard& shard) {
  return {core::UpstreamId{shard.upstream()}, core::DomainId{shard.domain()}, shard.index()};
}

inline core::Duration Seconds(double seconds) {
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_TESTS_LIBRARIES_SCHEDULING_FLEET_IDENTIFIERS_H_
