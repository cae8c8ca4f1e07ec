#ifndef POMELOSPAR_SERVICES_POMELOSPARD_RUNNER_POLLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_RUNNER_POLLER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>

#include "libraries/http/http_client.h"
#include "services/pomelospard/router_state.h"

namespace pomelospar::daemon {

/// Asks the runners of the shards that this router allocates for their load, incarnation and
/// whether they are leaving, and marks those that do not answer as down.
class RunnerPoller {
 public:
  RunnerPoller(boost::asio::io_context& io, RouterState& state);

  /// Polls until the event loop ends.
  boost::asio::awaitable<void> Run();

 private:
  boost::asio::awaitable<void> Poll(runners::RunnerEntry runner);
  boost::asio::awaitable<bool> Check(const runners::RunnerEntry& runner);

  boost::asio::io_context& io;
  RouterState& state;
  http::HttpClient connections;
  std::map<core::RunnerId, unsigned> failed_polls;
};

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_RUNNER_POLLER_H_
