#ifndef POMELOSPAR_SERVICES_POMELOSPARD_SCHEDULING_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_SCHEDULING_CONTROLLER_H_

#include "services/pomelospard/blackboard.h"

/// Waits for slots at the entry router, and slot allocation for the shards of this router.
namespace pomelospar::daemon {

/// Queues a request. `callback` runs later, never inside this call.
scheduling::PushResult EnqueueRequest(Blackboard& board, const scheduling::QueuedRequest& request,
                                      SlotCallback callback);

/// Puts a request back at the head of its queue, after a slot that turned out to be unusable.
void RequeueRequest(Blackboard& board, const scheduling::QueuedRequest& request,
                    SlotCallback callback);

/// Forgets a waiting request; its callback is not called. False if it does not wait any more.
bool CancelRequest(Blackboard& board, std::uint64_t id);

/// Charges cost units for the request that runs on a grant.
void ChargeService(Blackboard& board, std::uint64_t grant, core::WorkspaceId workspace,
                   double cost);

/// Ends a grant and tells its allocator.
void ReleaseSlot(Blackboard& board, std::uint64_t grant, core::WorkspaceId workspace,
                 wire::ReleaseReason reason);

void HandleDemand(Blackboard& board, const core::RouterIdentity& sender,
                  const wire::Demand& demand);
void HandleRelease(Blackboard& board, const core::RouterIdentity& sender,
                   const wire::Release& release);
void HandleGrant(Blackboard& board, const core::RouterIdentity& sender, const wire::Grant& grant);
void HandleDemandAck(Blackboard& board, const core::RouterIdentity& sender,
                     const wire::DemandAck& acknowledgement);
/// A runner of another domain could not be reached: its domain is avoided for a while, because a
/// partition between domains cuts off all of its runners. The allocators of that domain judge the
/// runner for themselves.
void AvoidDomain(Blackboard& board, core::DomainId domain);

/// A router died: its demand and grants end.
void ForgetRouter(Blackboard& board, const core::RouterIdentity& router);

/// Takes shares, limits and class weights from the configuration that is now in force.
void ConfigureScheduling(Blackboard& board);

/// Expired requests, plans, allocator timers. To be called every few milliseconds while requests
/// wait, and about every 50 ms otherwise.
void TickScheduling(Blackboard& board);

/// Whether requests wait here, or an allocator of this router has demand or grants, so that
/// `TickScheduling` is due every few milliseconds.
bool HasSchedulingWork(const Blackboard& board);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_SCHEDULING_CONTROLLER_H_
