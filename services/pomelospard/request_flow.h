#ifndef POMELOSPAR_SERVICES_POMELOSPARD_REQUEST_FLOW_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_REQUEST_FLOW_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "libraries/admission/request_body.h"
#include "libraries/admission/resolve.h"
#include "libraries/claims/claim_store.h"
#include "libraries/http/server_exchange.h"
#include "libraries/http/upstream_pool.h"
#include "services/pomelospard/router_error.h"
#include "services/pomelospard/router_state.h"
#include "services/pomelospard/upstream_attempt.h"

namespace pomelospar::daemon {

/// The objects that serving a request needs.
struct RequestServices {
  RouterState& state;
  http::UpstreamPool& pool;
  claims::ClaimStore& claims;
};

/// Serves one request at its entry router: admission, claim, wait for a slot, attempts at runners,
/// response.
class RequestFlow {
 public:
  RequestFlow(RequestServices& services, http::ServerExchange& exchange);
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  /// Returns when the request has been responded to, or its caller has disconnected.
  boost::asio::awaitable<void> Run();

 private:
  // Period of checks for a crash verdict, which takes up to 500 ms until the reports of other
  // routers have arrived.
  static constexpr core::Duration kVerdictPoll = std::chrono::milliseconds(50);

  enum class NextStep { kDone, kRetry };

  // Each returns the error to respond with, or nothing if the request is admitted.
  std::optional<RouterError> Admit();
  std::optional<RouterError> CheckQuarantine() const;
  boost::asio::awaitable<bool> BeginClaim();
  boost::asio::awaitable<bool> WaitForVerdict();
  bool OtherSuspectRuns() const;

  boost::asio::awaitable<std::optional<GrantedSlot>> WaitForSlot(bool requeue);
  boost::asio::awaitable<NextStep> UseSlot(const GrantedSlot& slot);
  boost::asio::awaitable<AttemptResult> Attempt(const GrantedSlot& slot,
                                                const runners::RunnerEntry& runner);
  boost::asio::awaitable<NextStep> HandleAttemptResult(const GrantedSlot& slot,
                                                       const runners::RunnerEntry& runner,
                                                       AttemptResult result);
  boost::asio::awaitable<NextStep> HandleFailedAttempt(const AttemptResult& result);
  boost::asio::awaitable<bool> IsRunnerUnreachable(const std::string& address);
  boost::asio::awaitable<void> ReportCrash(const GrantedSlot& slot);
  boost::asio::awaitable<NextStep> FinishAnswered(AttemptResult result);

  // Responds with an error of this router, or closes the connection if a response has started, and
  // concludes the request.
  boost::asio::awaitable<void> RespondWithError(RouterError error);
  boost::asio::awaitable<void> Fail(unsigned status, std::string_view code, std::string message);
  void Conclude(unsigned status, admission::Outcome outcome);
  void SettleClaim(admission::Outcome outcome, std::optional<claims::RecordedAnswer> answer);
  void OnDisconnect();
  void RecordStep(std::string text);
  AttemptInput MakeInput(const runners::RunnerEntry& runner) const;
  AttemptHooks MakeHooks(const GrantedSlot& slot, const runners::RunnerEntry& runner);
  scheduling::QueuedRequest MakeQueued();
  double SecondsSince(core::TimePoint start) const;

  RequestServices& services;
  RouterState& state;
  http::ServerExchange& exchange;

  std::uint64_t number;
  std::string id;
  core::TimePoint received;
  // Keeps the objects alive that `resolution` points to.
  std::shared_ptr<const configuration::Configuration> configuration;
  admission::RequestBody body;
  admission::Resolution resolution;
  admission::Fingerprint fingerprint;
  std::string caller;
  double estimated_cost = 0.0;
  metrics::Series* series = nullptr;

  std::optional<claims::Claim> claim;
  scheduling::QueuedRequest queued;
  std::shared_ptr<boost::asio::steady_timer> slot_timer;
  ActiveConnection active;
  StreamProgress progress;
  unsigned attempts = 0;
  // Whether any attempt so far may have sent a byte of the request to a runner.
  bool any_byte_sent = false;
  bool concluded = false;
  // Cost units charged for the present attempt, and for all of them.
  double attempt_cost = 0.0;
  double total_cost = 0.0;
  core::TimePoint last_relay{};
};

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_REQUEST_FLOW_H_
