#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_CRASH_PROBE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_CRASH_PROBE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>

#include "libraries/core/clock.h"
#include "libraries/dispatch/runner.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// This time after its connections broke, a crashed process has also closed its listening socket.
inline constexpr core::Duration kCrashProbeDelay = std::chrono::milliseconds(20);
inline constexpr core::Duration kCrashProbeTimeout = std::chrono::milliseconds(200);

/// After lost connections, records a crash of the runner with the requests that it interrupted, if
/// it accepts no new connection. A faulty runner that only broke off its responses still listens.
/// `crash` is a key of `RouterState::interrupted_requests`, which is removed then.
boost::asio::awaitable<void> ConfirmCrash(RouterState& state, std::uint64_t crash,
                                          dispatch::RunnerRecord runner);

/// Returns when it is known whether the runner crashed, at the latest after the time of one probe.
/// `crash` is a key of `RouterState::interrupted_requests`.
boost::asio::awaitable<void> AwaitProbe(RouterState& state, std::uint64_t crash);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_CRASH_PROBE_H_
