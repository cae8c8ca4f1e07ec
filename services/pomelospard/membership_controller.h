#ifndef POMELOSPAR_SERVICES_POMELOSPARD_MEMBERSHIP_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_MEMBERSHIP_CONTROLLER_H_

#include <functional>

#include "services/pomelospard/router_state.h"

/// Which routers are live, and what follows from a change.
namespace pomelospar::daemon {

/// What the synchronisation of the configuration wants to know of peers.
struct PeerHooks {
  /// A peer shows a configuration generation above the own one.
  std::function<void(const core::RouterIdentity& peer, std::uint64_t generation)> on_generation;
  /// A peer died.
  std::function<void(const core::RouterIdentity& peer)> on_gone;
};

/// Sends the messages and acts on the events of the member table.
void ApplyMembership(RouterState& state, membership::Output output, const PeerHooks& hooks);

/// Refreshes what probes tell about this router and runs the timers of the member table.
void TickMembership(RouterState& state, const PeerHooks& hooks);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_MEMBERSHIP_CONTROLLER_H_
