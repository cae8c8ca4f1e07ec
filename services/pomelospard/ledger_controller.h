#ifndef POMELOSPAR_SERVICES_POMELOSPARD_LEDGER_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_LEDGER_CONTROLLER_H_

#include "libraries/scheduling/fairness_bound.h"
#include "services/pomelospard/router_state.h"

/// Replication of the service ledger: counters within the failure domain, sums between domains.
namespace pomelospar::daemon {

/// Merges counters of a router of the own domain; those of other routers are ignored.
void HandleServiceReport(RouterState& state, const core::RouterIdentity& sender,
                         const wire::ServiceReport& report);
/// Merges sums of another domain.
void HandleDomainReport(RouterState& state, const core::RouterIdentity& sender,
                        const wire::DomainReport& report);
/// Answers with the whole ledger to a router of the own domain, else with domain sums.
void HandleLedgerRequest(RouterState& state, const core::RouterIdentity& sender);
void HandleLedgerRows(RouterState& state, const core::RouterIdentity& sender,
                      const wire::LedgerRows& rows);

/// Sends a member that joined, or that a partition had hidden, what it may have missed: the own
/// rows if it is of the own domain, else the sums of the own domain. Asks it for its ledger if this
/// router waits for one.
void SendLedgerTo(RouterState& state, const core::RouterIdentity& router);

/// Sends the reports that are due, asks for the ledger of a peer after the start, and folds silent
/// incarnations.
void TickLedger(RouterState& state);

/// Whether membership knows the router as one of the own domain. Its counters are then replicated
/// here row by row.
bool IsOfOwnDomain(const RouterState& state, const core::RouterIdentity& router);

/// False while a router with live peers has neither the state of one of them nor 3 s of age: its
/// empty ledger would take all workspaces for equal.
bool MayAllocate(const RouterState& state);

/// Inputs of the bound for the configuration in force and the periods of the reports.
scheduling::FairnessInputs FairnessInputsOf(const RouterState& state);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_LEDGER_CONTROLLER_H_
