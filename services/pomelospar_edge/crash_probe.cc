#include "services/pomelospar_edge/crash_probe.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <set>
#include <span>

#include "libraries/http/upstream_connection.h"

namespace pomelospar::edge {
namespace {

namespace asio = boost::asio;
using core::LogLevel;

constexpr core::Duration kCrashProbePoll = std::chrono::milliseconds(5);

// Returns when the first of the requests that are the subject as a whole was sent; nothing if the
// subject is a part of a prompt.
std::optional<core::TimePoint> EarliestSend(std::span<const InterruptedRequest> requests,
                                            std::uint64_t subject) {
  std::optional<core::TimePoint> earliest;
  for (const auto& request : requests) {
    if (request.subjects.empty() || request.subjects.front() != subject) continue;
    earliest = std::min(earliest.value_or(request.sent_at), request.sent_at);
  }
  return earliest;
}

}  // namespace

asio::awaitable<void> ConfirmCrash(RouterState& state, std::uint64_t crash,
                                   dispatch::RunnerRecord runner) {
  asio::steady_timer timer(state.io, kCrashProbeDelay);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  const auto opened = co_await http::UpstreamConnection::Open(runner.address, kCrashProbeTimeout);
  const auto interrupted = state.interrupted_requests.extract(crash).mapped();
  if (opened) {
    state.log.Write(LogLevel::kInfo, "runner_still_listens",
                    {{"runner", runner.id}, {"requests", std::uint64_t{interrupted.size()}}});
    co_return;
  }
  if (const auto known = state.runners.find(runner.id); known != state.runners.end()) {
    ObserveCold(state, *known->second, "crashed");
  }
  dispatch::LocalCrash local = {.crash = crash, .at = state.clock.now()};
  std::set<std::uint64_t> subjects;
  for (const auto& request : interrupted) {
    subjects.insert(request.subjects.begin(), request.subjects.end());
    local.at = std::min(local.at, request.broken_at);
    state.log.Write(LogLevel::kWarning, "crash_suspect",
                    {{"request", request.attempt_id},
                     {"runner", runner.id},
                     {"crash", crash},
                     {"subjects", fmt::format("{:x}", fmt::join(request.subjects, ","))}});
  }
  for (const auto subject : subjects) {
    local.subjects.push_back({subject, EarliestSend(interrupted, subject)});
  }
  state.suspects.RecordLocalCrash(state.clock.now(), local);
  state.metrics
      .FindCounter("pomelospar_runner_crashes_total",
                   "Crashes of runners that interrupted requests of this router.", {})
      .Add();
}

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
