#ifndef POMELOSPAR_SERVICES_POMELOSPARD_RUNNER_CONTROLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_RUNNER_CONTROLLER_H_

#include <string>
#include <string_view>
#include <vector>

#include "libraries/core/result.h"
#include "libraries/platform/platform_client.h"
#include "services/pomelospard/router_state.h"

/// Which runners exist and may take work: configuration, instance list, operators and the runners
/// themselves.
namespace pomelospar::daemon {

/// Whether new work may be sent to the runner.
bool IsUsable(const RouterState& state, const runners::RunnerEntry& runner);

/// Merges an answer of the instance list, and gives its routers to membership as seeds.
void HandleInstances(RouterState& state, const platform::InstanceChanges& changes);

/// What a runner said of itself in a response or load report.
void RecordRunnerStatus(RouterState& state, core::RunnerId id, std::string_view incarnation,
                        bool leaving);

/// The runner does not accept connections; it gets no work until `MarkRunnerUp`.
void MarkRunnerDown(RouterState& state, core::RunnerId id);
void MarkRunnerUp(RouterState& state, core::RunnerId id);
bool IsMarkedDown(const RouterState& state, const runners::RunnerEntry& runner);

/// An operator takes a runner out of service or puts it back, on all routers. Errors: `kNotFound`.
core::Result<void> DrainRunner(RouterState& state, std::string_view address);
core::Result<void> UndrainRunner(RouterState& state, std::string_view address);

/// Publishes drains again before they end. To be called every minute or so; does nothing while a
/// drain has half of its lifetime left.
void RenewDrains(RouterState& state);

/// The runners whose load this router polls: those of the shards that it allocates, and those that
/// are marked down in its domain.
std::vector<runners::RunnerEntry> RunnersToPoll(const RouterState& state);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_RUNNER_CONTROLLER_H_
