#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REQUEST_SESSION_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REQUEST_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/dispatch/admission.h"
#include "libraries/dispatch/placement.h"
#include "libraries/http/server_exchange.h"
#include "libraries/http/upstream_pool.h"
#include "platform/request_headers.h"
#include "services/pomelospar_edge/event_splitter.h"
#include "services/pomelospar_edge/held_bytes.h"
#include "services/pomelospar_edge/reservation.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// How one try at a runner ended.
enum class AttemptEnd {
  /// The caller has the runner's whole response.
  kDelivered,
  /// No byte was sent.
  kNotSent,
  /// The runner stated that it did not run the request.
  kNotExecuted,
  /// No usable response; the request may have run.
  kNoResponse,
  /// The runner answered with an error of its own, which is kept for the caller.
  kErrorResponse,
  /// A stream broke after the caller had part of it.
  kBrokenStream,
};

/// The life of one request at its router: admission, wait for a runner, tries, response.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
 public:
  RequestSession(RouterState& state, http::UpstreamPool& pool, http::ServerExchange& exchange);

  /// Serves the request to its end.
  boost::asio::awaitable<void> Run();

 private:
  struct Refusal {
    unsigned status = 503;
    std::string_view reason;
    /// Zero for none.
    core::Duration retry_after{};
  };
  enum class Step { kTryAgain, kEnd };

  // Admission.
  std::optional<Refusal> Admit();
  std::optional<Refusal> Authenticate();
  bool KeyIsStillValid() const;
  bool CallerMayBeGone() const;
  void NoteDemand();
  void StartDeadline();
  void OnDeadline();
  void OnCallerGone();

  // Placement, in request_placement.cc.
  boost::asio::awaitable<bool> WaitForRunner();
  bool TryPlace();
  bool PlaceEngine(const dispatch::EngineLimits& limits);
  bool PlaceService();
  std::vector<Runner*> Candidates() const;
  std::vector<dispatch::EngineOption> DescribeEngines(const dispatch::EngineLimits& limits,
                                                      const std::vector<Runner*>& candidates) const;
  double UnseenAt(const Runner& runner) const;
  void PreferCommonEngine(const std::vector<Runner*>& candidates,
                          std::vector<dispatch::EngineOption>& options) const;
  Refusal NoRoom() const;

  // One try, in runner_attempt.cc.
  boost::asio::awaitable<AttemptEnd> Attempt();
  boost::asio::awaitable<AttemptEnd> Exchange(http::UpstreamConnection& connection);
  boost::asio::awaitable<core::Result<http::ResponseHead>> ReadOwnHead(
      http::UpstreamConnection& connection);
  boost::asio::awaitable<AttemptEnd> TakeResponse(http::UpstreamConnection& connection,
                                                  http::ResponseHead head);
  boost::asio::awaitable<AttemptEnd> RelayWhole(http::UpstreamConnection& connection,
                                                http::ResponseHead head);
  boost::asio::awaitable<AttemptEnd> RelayEvents(http::UpstreamConnection& connection,
                                                 http::ResponseHead head);
  boost::asio::awaitable<bool> ForwardEvents(const http::ResponseHead& head,
                                             std::string_view events);
  boost::asio::awaitable<bool> Discard(http::UpstreamConnection& connection);
  bool HoldsRest();
  AttemptEnd EndOversized(http::UpstreamConnection& connection, std::string_view what);
  void OnFirstEvent();
  std::uint64_t Fingerprint() const;
  bool IsCrashSuspect() const;
  void OnLoss(const core::Error& error);

  // What follows a try.
  boost::asio::awaitable<Step> AfterAttempt(AttemptEnd end);
  bool MayTryAgain(AttemptEnd end);
  boost::asio::awaitable<void> EndWithout(AttemptEnd end);
  boost::asio::awaitable<void> EndAtDeadline();
  boost::asio::awaitable<void> Refuse(Refusal refusal);
  boost::asio::awaitable<void> Fail(unsigned status, std::string_view reason);

  core::Duration TimeLeft() const;
  double Draw(std::uint64_t purpose) const;
  void LogEnd(unsigned status, std::string_view outcome, std::string_view reason);

  RouterState& state;
  http::UpstreamPool& pool;
  http::ServerExchange& exchange;
  adapter::RequestFacts facts;
  core::TimePoint received;
  core::TimePoint deadline;

  // Keeps what `route` and `workspace` point to.
  std::shared_ptr<const dispatch::Policy> policy;
  const dispatch::Route* route = nullptr;
  std::string workspace;
  const dispatch::UpstreamPolicy* upstream = nullptr;
  dispatch::Standing standing;
  double share_tokens = 0.0;

  std::shared_ptr<boost::asio::steady_timer> deadline_timer;
  std::shared_ptr<boost::asio::steady_timer> wait_timer;
  std::shared_ptr<Reservation> reservation;
  double predicted_ms = 0.0;
  double queue_ms = 0.0;
  double cached_tokens = 0.0;
  double queue_limit_ms = 0.0;
  dispatch::EngineObstacles obstacles;
  bool deadline_passed = false;
  bool caller_gone = false;

  /// Runners that were tried for this request.
  std::vector<std::string> tried;
  unsigned sends = 0;
  unsigned unsent_tries = 0;
  /// A runner may have begun to work on the request.
  bool may_have_run = false;
  /// The same without the latest send.
  bool may_have_run_before = false;
  bool stream_started = false;
  EventSplitter splitter;
  HeldBytes held;
  std::optional<http::HttpResponse> error_response;
  std::string failure;
  http::UpstreamConnection* active_connection = nullptr;
  core::TimePoint sent_at;
  std::optional<core::Duration> runner_idle_timeout;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REQUEST_SESSION_H_
