#ifndef POMELOSPAR_SERVICES_POMELOSPARD_RUNNER_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_RUNNER_CONTROLLER_H_

#include <string>
#include <string_view>
#include <vector>

#include "libraries/core/result.h"
#include "libraries/platform/platform_client.h"
#include "services/pomelospard/router_state.h"

/// Tracks which runners exist and may take work, from the configuration, the instance list,
/// operators and the runners themselves.
namespace pomelospar::daemon {

/// Whether new work may be sent to the runner.
bool IsUsable(const RouterState& state, const runners::RunnerEntry& runner);

/// Merges a response of the instance list, and passes its routers to membership as seeds.
void HandleInstances(RouterState& state, const platform::InstanceChanges& changes);

/// Records what a runner reported about itself in a response or load report. An empty incarnation
/// means that it reported none.
void RecordRunnerStatus(RouterState& state, core::RunnerId id, std::string_view incarnation,
                        bool leaving);

/// Publishes that the runner does not accept connections. It gets no work until `MarkRunnerUp`, or
/// for 10 s if the mark is not renewed.
void MarkRunnerDown(RouterState& state, core::RunnerId id);
void MarkRunnerUp(RouterState& state, core::RunnerId id);
bool IsMarkedDown(const RouterState& state, const runners::RunnerEntry& runner);

/// Takes a runner out of service or returns it to service on all routers, as an operator asked.
/// Errors: `kNotFound`.
core::Result<void> DrainRunner(RouterState& state, std::string_view address);
core::Result<void> UndrainRunner(RouterState& state, std::string_view address);

/// Publishes drains again before they expire. Call it about every minute; it does nothing while a
/// drain has half of its lifetime left.
void RenewDrains(RouterState& state);

/// Returns the runners whose load this router polls: those of the shards that it allocates,
/// including runners that are marked down.
std::vector<runners::RunnerEntry> RunnersToPoll(const RouterState& state);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_RUNNER_CONTROLLER_H_
