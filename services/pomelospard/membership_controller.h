#ifndef POMELOSPAR_SERVICES_POMELOSPARD_MEMBERSHIP_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_MEMBERSHIP_CONTROLLER_H_

#include <functional>

#include "services/pomelospard/blackboard.h"

/// Which routers are live, and what follows from a change.
namespace pomelospar::daemon {

/// Called when a peer shows a configuration generation above the own one.
using GenerationSeen = std::function<void(const core::RouterIdentity& peer, std::uint64_t)>;

/// Sends the messages and acts on the events of the member table.
void ApplyMembership(Blackboard& board, membership::Output output,
                     const GenerationSeen& on_generation);

/// Refreshes what probes tell about this router and runs the timers of the member table.
void TickMembership(Blackboard& board, const GenerationSeen& on_generation);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_MEMBERSHIP_CONTROLLER_H_
