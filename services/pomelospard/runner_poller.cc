#include "services/pomelospard/runner_poller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/http/upstream_connection.h"
#include "services/pomelospard/poll_period.h"
#include "services/pomelospard/runner_controller.h"
#include "services/pomelospard/sleep.h"

namespace pomelospar::daemon {
namespace {

namespace asio = boost::asio;
using std::chrono::seconds;

// Timeout of a load report. A runner that exceeds it once is not marked down yet, because a busy
// engine answers late.
constexpr core::Duration kLoadTimeout = seconds(1);
constexpr unsigned kFailedPollsForDown = 3;
constexpr std::size_t kLoadBytes = 16UL * 1024;

}  // namespace

RunnerPoller::RunnerPoller(asio::io_context& io, RouterState& state)
    : io(io), state(state), connections(io, http::HttpClientOptions()) {}

asio::awaitable<void> RunnerPoller::Run() {
  while (true) {
    for (auto& runner : RunnersToPoll(this->state)) {
      asio::co_spawn(this->io, this->Poll(std::move(runner)), asio::detached);
    }
    co_await Sleep(WithJitter(this->state.random, this->state.settings.poll.load));
  }
}

asio::awaitable<void> RunnerPoller::Poll(runners::RunnerEntry runner) {
  const bool answers = co_await this->Check(runner);
  if (answers) {
    this->failed_polls.erase(runner.id);
    MarkRunnerUp(this->state, runner.id);
    co_return;
  }
  const auto failures = ++this->failed_polls[runner.id];
  if (failures >= kFailedPollsForDown || IsMarkedDown(this->state, runner)) {
    MarkRunnerDown(this->state, runner.id);
  }
}

asio::awaitable<bool> RunnerPoller::Check(const runners::RunnerEntry& runner) {
  const auto* upstream =
      configuration::FindById(this->state.configuration->upstreams, runner.upstream);
  if (upstream == nullptr || upstream->kind != configuration::UpstreamKind::kModelEngine) {
    const auto connection = co_await http::UpstreamConnection::Open(runner.address, kLoadTimeout);
    co_return connection.has_value();
  }
  http::HttpRequest request;
  request.method = "GET";
  request.target = "/load";
  const auto response =
      co_await this->connections.Fetch(runner.address, request, kLoadTimeout, kLoadBytes);
  if (!response) {
    if (core::Is(response.error(), core::ErrorKind::kUnavailable)) {
      // The port is closed: no need to wait for more failures.
      this->failed_polls[runner.id] = kFailedPollsForDown;
    }
    co_return false;
  }
  const auto report = nlohmann::json::parse(response.value().body, nullptr, false);
  if (report.is_object()) {
    const auto incarnation = report.value("incarnation", nlohmann::json());
    const auto text = incarnation.is_string() ? incarnation.get<std::string>() : std::string();
    const auto leaving = report.value("leaving", nlohmann::json());
    RecordRunnerStatus(this->state, runner.id, text, leaving.is_boolean() && leaving.get<bool>());
  }
  co_return true;
}

}  // namespace pomelospar::daemon
