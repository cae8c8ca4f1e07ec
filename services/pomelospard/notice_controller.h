#ifndef POMELOSPAR_SERVICES_POMELOSPARD_NOTICE_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_NOTICE_CONTROLLER_H_

#include "services/pomelospard/router_state.h"

/// Publishes facts to all live routers and takes over those of others.
namespace pomelospar::daemon {

/// States a fact and sends it to all live routers. Logs and counts a refusal of the full notice
/// table.
void PublishFact(RouterState& state, const notices::Fact& fact, core::Duration lifetime);

/// Ends a fact on all live routers.
void WithdrawFact(RouterState& state, const notices::Fact& fact, core::Duration lifetime);

void HandleNoticeBatch(RouterState& state, const wire::NoticeBatch& batch);
void HandleNoticeRequest(RouterState& state, const core::RouterIdentity& sender);

/// The digests of this router and a peer differ: exchanges all notices with it.
void ReconcileNotices(RouterState& state, const core::RouterIdentity& peer);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_NOTICE_CONTROLLER_H_
