#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_CRASH_PROBE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_CRASH_PROBE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>

#include "libraries/core/clock.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// This time after its connections broke, a crashed process has also closed its listening socket.
inline constexpr core::Duration kCrashProbeDelay = std::chrono::milliseconds(20);
inline constexpr core::Duration kCrashProbeTimeout = std::chrono::milliseconds(200);

/// Returns when it is known whether the runner crashed, at the latest after the time of one probe.
/// `crash` is a key of `RouterState::interrupted_requests`.
boost::asio::awaitable<void> AwaitProbe(RouterState& state, std::uint64_t crash);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_CRASH_PROBE_H_
