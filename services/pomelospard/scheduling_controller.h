#ifndef POMELOSPAR_SERVICES_POMELOSPARD_SCHEDULING_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_SCHEDULING_CONTROLLER_H_

#include "services/pomelospard/router_state.h"

/// Waits for slots at the entry router, and slot allocation for the shards of this router.
namespace pomelospar::daemon {

/// Queues a request. `callback` runs later, never inside this call.
scheduling::PushResult EnqueueRequest(RouterState& state, const scheduling::QueuedRequest& request,
                                      SlotCallback callback);

/// Puts a request back at the head of its queue, after a slot that turned out to be unusable.
void RequeueRequest(RouterState& state, const scheduling::QueuedRequest& request,
                    SlotCallback callback);

/// Forgets a waiting request; its callback is not called. False if it does not wait any more.
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
/// A runner of another domain could not be reached: its domain is avoided for a while, because a
/// partition between domains cuts off all of its runners. The allocators of that domain judge the
/// runner for themselves.
void AvoidDomain(RouterState& state, core::DomainId domain);

/// A router died: its demand and grants end.
void ForgetRouter(RouterState& state, const core::RouterIdentity& router);

/// Takes shares, limits and class weights from the configuration that is now in force.
void ConfigureScheduling(RouterState& state);

/// Expired requests, plans, allocator timers. To be called every few milliseconds while requests
/// wait, and about every 50 ms otherwise.
void TickScheduling(RouterState& state);

/// Whether requests wait here, or an allocator of this router has demand or grants, so that
/// `TickScheduling` is due every few milliseconds.
bool HasSchedulingWork(const RouterState& state);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_SCHEDULING_CONTROLLER_H_
