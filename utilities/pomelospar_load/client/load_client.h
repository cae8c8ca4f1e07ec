#ifndef POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_CLIENT_LOAD_CLIENT_H_
#define POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_CLIENT_LOAD_CLIENT_H_

#include <functional>

#include "utilities/pomelospar_load/plan/load_plan.h"
#include "utilities/pomelospar_load/plan/load_report.h"

namespace pomelospar::load {

/// Called once for each attempt, on the thread that runs the load.
using Observer = std::function<void(const Observation&)>;

/// Runs the plan with plain HTTP/1.1 over TCP on the calling thread until its duration is over and
/// all requests have ended or the drain time is over; what is still open then is observed as
/// unknown. Arrivals do not wait for answers, and each latency counts from the planned time, so a
/// slow router cannot hide its delays. The plan must be valid.
void RunLoad(const LoadPlan& plan, const Observer& observer);

}  // namespace pomelospar::load

#endif  // POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_CLIENT_LOAD_CLIENT_H_
