#ifndef POMELOSPAR_SERVICES_POMELOSPARD_LEDGER_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_LEDGER_CONTROLLER_H_

#include "libraries/scheduling/fairness_bound.h"
#include "services/pomelospard/router_state.h"

/// Replicates the service ledger: single counters within the failure domain, sums between domains.
namespace pomelospar::daemon {

/// Merges the counters of a router of this failure domain; those of other routers are ignored.
void HandleServiceReport(RouterState& state, const core::RouterIdentity& sender,
                         const wire::ServiceReport& report);
/// Merges sums of another domain.
void HandleDomainReport(RouterState& state, const core::RouterIdentity& sender,
                        const wire::DomainReport& report);
/// Sends the whole ledger to a router of this failure domain, and the domain sums to any other.
void HandleLedgerRequest(RouterState& state, const core::RouterIdentity& sender);
void HandleLedgerRows(RouterState& state, const core::RouterIdentity& sender,
                      const wire::LedgerRows& rows);

/// Sends what it may have missed to a router that joined or is reachable again after a partition:
/// this router's own rows if it is of the same failure domain, else the sums of this router's
/// domain. Also asks it for its ledger if this router still needs one.
void SendLedgerTo(RouterState& state, const core::RouterIdentity& router);

/// Sends the reports that are due, asks a peer for its ledger after the start, and folds the
/// counters of incarnations that have gone silent.
void TickLedger(RouterState& state);

/// Whether membership knows the router as one of this router's failure domain. Its counters are
/// then replicated here row by row.
bool IsOfOwnDomain(const RouterState& state, const core::RouterIdentity& router);

/// Whether this router may allocate slots. False in the first 3 s after its start while it has live
/// peers but the ledger of none of them: an empty ledger would show all workspaces as equally
/// served.
bool MayAllocate(const RouterState& state);

/// Returns the inputs of the fairness bound for the configuration in force and the current report
/// periods.
scheduling::FairnessInputs FairnessInputsOf(const RouterState& state);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_LEDGER_CONTROLLER_H_
