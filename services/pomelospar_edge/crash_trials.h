#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_CRASH_TRIALS_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_CRASH_TRIALS_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// Asks for a trial of each of a request's subjects that is in quarantine. Returns false if one is
/// refused, also if that happens during the question about another one. `attempt_id` is for the
/// log.
boost::asio::awaitable<bool> ConfirmTrials(RouterState& state, std::vector<std::uint64_t> subjects,
                                           std::string attempt_id);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_CRASH_TRIALS_H_
