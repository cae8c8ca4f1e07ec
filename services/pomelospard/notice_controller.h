#ifndef POMELOSPAR_SERVICES_POMELOSPARD_NOTICE_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_NOTICE_CONTROLLER_H_

#include "services/pomelospard/router_state.h"

/// Publishes facts to all live routers and merges the facts that they publish.
namespace pomelospar::daemon {

/// Publishes a fact on all live routers. Logs a warning if the notice table refuses it, as it does
/// when it is full.
void PublishFact(RouterState& state, const notices::Fact& fact, core::Duration lifetime);

/// Withdraws a fact on all live routers.
void WithdrawFact(RouterState& state, const notices::Fact& fact, core::Duration lifetime);

void HandleNoticeBatch(RouterState& state, const wire::NoticeBatch& batch);
void HandleNoticeRequest(RouterState& state, const core::RouterIdentity& sender);

/// Exchanges all notices with a peer whose notice digest differs from this router's.
void ReconcileNotices(RouterState& state, const core::RouterIdentity& peer);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_NOTICE_CONTROLLER_H_
