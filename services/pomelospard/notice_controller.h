#ifndef POMELOSPAR_SERVICES_POMELOSPARD_NOTICE_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_NOTICE_CONTROLLER_H_

#include "services/pomelospard/blackboard.h"

/// Publishes facts to all live routers and takes over those of others.
namespace pomelospar::daemon {

/// States a fact and sends it to all live routers. Logs and counts a refusal of the full board.
void PublishFact(Blackboard& board, const notices::Fact& fact, core::Duration lifetime);

/// Ends a fact on all live routers.
void WithdrawFact(Blackboard& board, const notices::Fact& fact, core::Duration lifetime);

void HandleNoticeBatch(Blackboard& board, const wire::NoticeBatch& batch);
void HandleNoticeRequest(Blackboard& board, const core::RouterIdentity& sender);

/// The digests of this router and a peer differ: exchanges all notices with it.
void ReconcileNotices(Blackboard& board, const core::RouterIdentity& peer);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_NOTICE_CONTROLLER_H_
