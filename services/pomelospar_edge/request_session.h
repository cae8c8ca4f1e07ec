#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REQUEST_SESSION_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REQUEST_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/dispatch/admission.h"
#include "libraries/dispatch/placement.h"
#include "libraries/dispatch/share_window.h"
#include "libraries/http/server_exchange.h"
#include "libraries/http/upstream_pool.h"
#include "platform/request_headers.h"
#include "services/pomelospar_edge/event_splitter.h"
#include "services/pomelospar_edge/held_bytes.h"
#include "services/pomelospar_edge/placement_decision.h"
#include "services/pomelospar_edge/refusal.h"
#include "services/pomelospar_edge/reservation.h"
#include "services/pomelospar_edge/response_match.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// How one attempt at a runner ended.
enum class AttemptEnd {
  /// The request has ended and is logged: its response was sent or could not be sent to the caller,
  /// or its stream was aborted because the runner resumed it at a wrong event.
  kDelivered,
  /// No byte of the request was sent.
  kNotSent,
  /// The runner stated that it did not execute the request.
  kNotExecuted,
  /// There was no usable response; the runner may have executed the request.
  kNoResponse,
  /// The runner answered with a status of 500 or above, which is kept for the caller.
  kErrorResponse,
  /// The stream broke after a part of it was sent to the caller.
  kBrokenStream,
};

/// Handles one request of a caller: admission, placement at a runner, attempts, response.
class RequestSession : public std::enable_shared_from_this<RequestSession> {
 public:
  RequestSession(RouterState& state, http::UpstreamPool& pool, http::ServerExchange& exchange);

  /// Returns when the request has ended: answered, refused, failed or left by its caller.
  boost::asio::awaitable<void> Run();
  /// Ends the request at once, with an answer, because the process is about to exit.
  void EndForStop();

 private:
  enum class Step { kRetry, kEnd };

  // Admission.
  std::optional<Refusal> Admit();
  std::optional<Refusal> Authenticate();
  bool KeyIsStillValid() const;
  bool CallerMayBeGone() const;
  /// Counts the request in its upstream's retry limit and in its workspace's demand.
  void RecordDemand();
  void StartDeadline();
  bool MaySendDuringStop() const;
  void OnDeadline();
  void OnCallerGone();

  // Placement, in request_placement.cc.
  /// Returns false if the request has ended without a runner.
  boost::asio::awaitable<bool> WaitForRunner();
  /// Returns when a runner was chosen, at `until`, or when the request has to end.
  boost::asio::awaitable<void> WaitInQueue(core::TimePoint until);
  /// Chooses a runner and sets `reservation`; returns false if no runner has room.
  bool TryPlace();
  /// What the choice of a runner considers of this request now.
  PlacementQuery Query() const;
  /// The upstream's records in the router's state.
  PlacementRecords Records();
  /// Returns the time until the workspace's share admits the request to an engine.
  core::Duration TimeUntilWithinShare();
  bool PlaceEngine();
  /// Numbers of engines by the limit that closes them to this request, for the log.
  dispatch::EngineRejections CountRejections();
  /// Counts the request in the runner's load.
  void ReserveEngine(Runner& runner, const dispatch::EngineRequest& request, double prefill_tokens);
  /// Returns false if the coordinator of the engine knows that it is busier than assumed, or if the
  /// runner is cold and its coordinator withholds the start.
  boost::asio::awaitable<bool> ConfirmPlacement();
  /// Counts a confirmed placement in the runner's cached prefixes and in the workspace's use.
  void RecordPlacement();
  bool PlaceService();
  /// Counts the first placement of the request in the share of requests that leave.
  void CountLeaving(const dispatch::DomainChoice& choice);
  bool AllRunnersEvacuated() const;

  // One attempt, in runner_attempt.cc.
  boost::asio::awaitable<AttemptEnd> Attempt();
  boost::asio::awaitable<AttemptEnd> Exchange(http::UpstreamConnection& connection);
  /// True if the source of the planned cache copy can still be used.
  bool MayCopyFromCacheSource() const;
  boost::asio::awaitable<core::Result<http::ResponseHead>> ReadMatchingHead(
      http::UpstreamConnection& connection);
  PendingSend DescribeSend(const http::UpstreamConnection& connection) const;
  /// Records what the runner says about itself in the response to this request.
  void RecordNotices(const adapter::ResponseFacts& response, unsigned status);
  boost::asio::awaitable<AttemptEnd> HandleResponse(http::UpstreamConnection& connection,
                                                    http::ResponseHead head);
  /// Takes a runner out of use whose entry names the address of another one.
  void OnMisdirected(const adapter::ResponseFacts& response);
  boost::asio::awaitable<AttemptEnd> RelayCompleteResponse(http::UpstreamConnection& connection,
                                                           http::ResponseHead head);
  boost::asio::awaitable<AttemptEnd> RelayEvents(http::UpstreamConnection& connection,
                                                 http::ResponseHead head);
  boost::asio::awaitable<bool> ForwardEvents(const http::ResponseHead& head,
                                             std::string_view events);
  boost::asio::awaitable<bool> Discard(http::UpstreamConnection& connection);
  /// Reserves memory for the incomplete event; returns false if the event or the total is too
  /// large.
  bool ReservePartialEvent();
  /// Ends an attempt whose response is too large.
  AttemptEnd RejectOversizedResponse(http::UpstreamConnection& connection, std::string_view what);
  void OnFirstEvent();
  /// Returns true if runners have crashed under the request or under a part of its prompt, so that
  /// it must not be sent.
  bool IsRefusedAsSuspect() const;
  /// If the latest attempt was interrupted, and runners crashed under this request before, returns
  /// when it is known whether the runner crashed again. A retry at once would take another runner
  /// down before the crash counts.
  boost::asio::awaitable<void> AwaitCrashProbe();
  Refusal SuspectRefusal();
  /// Call when reading a response has failed: counts a failure of the runner, and checks if the
  /// runner crashed when it closed the connection.
  void OnReadFailure(const core::Error& error);

  // After an attempt.
  boost::asio::awaitable<Step> AfterAttempt(AttemptEnd end);
  bool MayRetry(AttemptEnd end);
  /// Ends a request that is not retried, with the best response there is.
  boost::asio::awaitable<void> EndUnserved(AttemptEnd end);
  boost::asio::awaitable<void> EndAtDeadline();
  boost::asio::awaitable<void> Refuse(Refusal refusal);
  boost::asio::awaitable<void> Fail(unsigned status, std::string_view reason);

  core::Duration TimeLeft() const;
  void LogEnd(unsigned status, std::string_view outcome, std::string_view reason);

  RouterState& state;
  http::UpstreamPool& pool;
  http::ServerExchange& exchange;
  adapter::RequestFacts facts;
  std::uint64_t attempt_hash = 0;
  /// See `dispatch::SubjectsOf`. Set on admission.
  std::vector<std::uint64_t> subjects;
  /// See `dispatch::PrefixHashes`. Computed once, because they are looked up for each engine.
  std::vector<std::uint64_t> prefix_hashes;
  core::TimePoint received;
  core::TimePoint deadline;

  // The configuration at the start of the request; keeps `route` and `upstream` valid.
  std::shared_ptr<const dispatch::Policy> policy;
  const dispatch::Route* route = nullptr;
  std::string workspace;
  const dispatch::UpstreamPolicy* upstream = nullptr;
  dispatch::AdmissionContext admission_context;
  dispatch::RequestUse use{0.0};

  std::shared_ptr<boost::asio::steady_timer> deadline_timer;
  std::shared_ptr<boost::asio::steady_timer> wait_timer;
  std::shared_ptr<Reservation> reservation;
  /// True after the prompt has been recorded in the upstream's recent work.
  bool is_work_recorded = false;
  /// True after the request was counted in the share of requests that leave the failure domain.
  bool is_leaving_counted = false;
  dispatch::PlacementProposal proposal;
  unsigned proposals = 0;
  /// Starts at cold runners that were asked for and not granted.
  unsigned withheld_cold_starts = 0;
  /// Until then the latest placement may be sent to a cold runner, because its coordinator granted
  /// the start.
  core::TimePoint cold_start_until{};
  double predicted_ms = 0.0;
  double queue_ms = 0.0;
  double cached_tokens = 0.0;
  /// The runner from whose prefix cache the chosen one copies, and the run in which it had the
  /// prefix; null if it does not copy.
  std::shared_ptr<Runner> cache_source;
  std::int64_t cache_source_started_unix_ms = 0;
  double queue_limit_ms = 0.0;
  dispatch::EngineRejections engine_rejections;
  /// True after the request was told to end, at its deadline or for a stop.
  bool deadline_passed = false;
  bool ended_for_stop = false;
  bool caller_gone = false;

  /// Identifiers of the runners that were tried; they are not chosen again for this request.
  std::vector<std::string> tried;
  /// Bytes of the response body that the latest attempt received.
  std::size_t received_bytes = 0;
  /// Connections that were acquired for this request. None is used for a second attempt: the runner
  /// may repeat its response to the first one there, with the same attempt identifier.
  std::vector<std::uint64_t> used_connections;
  /// Attempts in which at least one byte was sent.
  unsigned sends = 0;
  /// Attempts in which no byte was sent.
  unsigned unsent_attempts = 0;
  /// True if a runner may have begun to execute the request.
  bool may_have_run = false;
  /// `may_have_run` before the latest send.
  bool may_have_run_before = false;
  /// True after the head of the response stream was sent to the caller.
  bool stream_started = false;
  EventSplitter splitter;
  HeldBytes held;
  /// A runner's error response, sent to the caller if the request is not retried.
  std::optional<http::HttpResponse> error_response;
  /// Why the latest attempt failed, for the log.
  std::string failure;
  http::UpstreamConnection* active_connection = nullptr;
  core::TimePoint sent_at;
  /// The crash that is being confirmed, if the latest attempt was interrupted.
  std::optional<std::uint64_t> interrupted_crash;
  std::optional<core::Duration> runner_idle_timeout;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REQUEST_SESSION_H_
