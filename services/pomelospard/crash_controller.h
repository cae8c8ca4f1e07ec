#ifndef POMELOSPAR_SERVICES_POMELOSPARD_CRASH_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_CRASH_CONTROLLER_H_

#include <string_view>

#include "services/pomelospard/router_state.h"

/// Handles requests that crash runners: crash reports, suspicions and quarantines across the fleet.
namespace pomelospar::daemon {

/// Reports that a runner process died while the request ran on it. All requests of this router that
/// ran there become suspects, once for each crash.
void ReportRunnerCrash(RouterState& state, core::RunnerId runner,
                       const admission::Fingerprint& fingerprint);

/// Withdraws the suspicions against a request that was answered completely.
void RecordSuccess(RouterState& state, const admission::Fingerprint& fingerprint);

/// Ends the quarantine of a request on all routers, as an operator asked.
void ClearQuarantine(RouterState& state, const admission::Fingerprint& fingerprint);

/// Handles a new or withdrawn notice about a suspicion or a quarantine.
void HandleCrashNotice(RouterState& state, const wire::Notice& notice);

/// Starts and ends the quarantines that are due.
void TickCrashes(RouterState& state);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_CRASH_CONTROLLER_H_
