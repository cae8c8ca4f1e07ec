#include "services/pomelospar_edge/crash_probe.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pomelospar::edge {
namespace {

constexpr core::Duration kCrashProbePoll = std::chrono::milliseconds(5);

}  // namespace

boost::asio::awaitable<void> AwaitProbe(RouterState& state, std::uint64_t crash) {
  boost::asio::steady_timer timer(state.io);
  // A runner that breaks connections and still listens is probed again and again.
  const auto end = state.clock.now() + kCrashProbeDelay + kCrashProbeTimeout;
  while (state.interrupted_requests.contains(crash) && state.clock.now() < end) {
    timer.expires_after(kCrashProbePoll);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
}

}  // namespace pomelospar::edge
