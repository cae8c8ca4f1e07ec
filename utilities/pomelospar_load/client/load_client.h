#ifndef POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_CLIENT_LOAD_CLIENT_H_
#define POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_CLIENT_LOAD_CLIENT_H_

#include <functional>

#include "utilities/pomelospar_load/plan/load_plan.h"
#include "utilities/pomelospar_load/plan/load_report.h"

namespace pomelospar::load {

/// Called once for each attempt and for each request that was not sent, on the thread that calls
/// `RunLoad`.
using Observer = std::function<void(const Observation&)>;

/// Runs the plan with unencrypted HTTP/1.1 on the calling thread. Returns when the duration is over
/// and all requests have ended, or when the drain time is over. Attempts still in progress at the
/// end of the drain time are passed to `observer` as incomplete. Arrivals of sources with a rate do
/// not wait for responses, and latencies count from the planned time, so that a slow router cannot
/// hide its delays. The plan must have passed `Validate`.
void RunLoad(const LoadPlan& plan, const Observer& observer);

}  // namespace pomelospar::load

#endif  // POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_CLIENT_LOAD_CLIENT_H_
