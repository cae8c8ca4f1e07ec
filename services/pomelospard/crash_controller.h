#ifndef POMELOSPAR_SERVICES_POMELOSPARD_CRASH_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_CRASH_CONTROLLER_H_

#include <string_view>

#include "services/pomelospard/router_state.h"

/// Requests that crash runners: reports, verdicts and quarantine over the fleet.
namespace pomelospar::daemon {

/// The runner process died while the request ran on it; reports all requests of this router that
/// ran there, once for each crash.
void ReportRunnerCrash(RouterState& state, core::RunnerId runner,
                       const admission::Fingerprint& fingerprint);

/// The request was answered completely.
void RecordSuccess(RouterState& state, const admission::Fingerprint& fingerprint);

/// Ends the quarantine of a request at an operator's demand, on all routers.
void ClearQuarantine(RouterState& state, const admission::Fingerprint& fingerprint);

/// A notice about a suspicion or quarantine is new or was withdrawn.
void HandleCrashNotice(RouterState& state, const wire::Notice& notice);

/// Starts and ends quarantines that are due.
void TickCrashes(RouterState& state);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_CRASH_CONTROLLER_H_
