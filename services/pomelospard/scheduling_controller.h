#ifndef POMELOSPAR_SERVICES_POMELOSPARD_SCHEDULING_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_SCHEDULING_CONTROLLER_H_

#include "services/pomelospard/router_state.h"

/// Queues requests at their entry router until a slot is granted, and allocates the slots of this
/// router's shards.
namespace pomelospar::daemon {

/// Queues a request. `callback` runs later, never inside this call.
scheduling::PushResult EnqueueRequest(RouterState& state, const scheduling::QueuedRequest& request,
                                      SlotCallback callback);

/// Puts a request back at the head of its queue after its slot was unusable or its attempt failed.
void RequeueRequest(RouterState& state, const scheduling::QueuedRequest& request,
                    SlotCallback callback);

/// Removes a waiting request without calling its callback. Returns false if it no longer waits.
bool CancelRequest(RouterState& state, std::uint64_t id);

/// Charges cost units for the request that runs on a grant.
void ChargeService(RouterState& state, std::uint64_t grant, core::WorkspaceId workspace,
                   double cost);

/// Ends a grant and tells its allocator.
void ReleaseSlot(RouterState& state, std::uint64_t grant, core::WorkspaceId workspace,
                 wire::ReleaseReason reason);

void HandleDemand(RouterState& state, const core::RouterIdentity& sender,
                  const wire::Demand& demand);
void HandleRelease(RouterState& state, const core::RouterIdentity& sender,
                   const wire::Release& release);
void HandleGrant(RouterState& state, const core::RouterIdentity& sender, const wire::Grant& grant);
void HandleDemandAck(RouterState& state, const core::RouterIdentity& sender,
                     const wire::DemandAck& acknowledgement);
/// Sends no demand to another failure domain for 2 s after one of its runners was unreachable,
/// because a partition between domains cuts off all of its runners. The routers of that domain
/// decide for themselves whether the runner is down.
void AvoidDomain(RouterState& state, core::DomainId domain);

/// Drops the demand and the grants of a router that died.
void ForgetRouter(RouterState& state, const core::RouterIdentity& router);

/// Applies the shares and limits of the configuration in force; the next tick applies its class
/// weights.
void ConfigureScheduling(RouterState& state);

/// Ends expired requests, sends demand and runs the timers of the allocators. Call it every few
/// milliseconds while `HasSchedulingWork` returns true, and about every 20 ms otherwise.
void TickScheduling(RouterState& state);

/// Whether requests wait here, or an allocator of this router has demand or grants, so that
/// `TickScheduling` is due every few milliseconds.
bool HasSchedulingWork(const RouterState& state);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_SCHEDULING_CONTROLLER_H_
