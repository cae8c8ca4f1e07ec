#ifndef POMELOSPAR_SERVICES_POMELOSPARD_MEMBERSHIP_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_MEMBERSHIP_CONTROLLER_H_

#include <functional>

#include "services/pomelospard/router_state.h"

/// Applies the results of the member table: sends its messages and reacts to its events.
namespace pomelospar::daemon {

/// Callbacks for the peer events that the configuration synchronisation needs.
struct PeerHooks {
  /// A peer has a newer configuration generation than this router.
  std::function<void(const core::RouterIdentity& peer, std::uint64_t generation)> on_generation;
  /// A peer died.
  std::function<void(const core::RouterIdentity& peer)> on_gone;
};

/// Sends the messages and handles the events that the member table returned.
void ApplyMembership(RouterState& state, membership::Output output, const PeerHooks& hooks);

/// Updates the generation and the notice digest that probes carry, and runs the timers of the
/// member table.
void TickMembership(RouterState& state, const PeerHooks& hooks);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_MEMBERSHIP_CONTROLLER_H_
