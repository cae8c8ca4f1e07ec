#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_STATE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_STATE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/core/buffered_log.h"
#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/dispatch/admission.h"
#include "libraries/dispatch/cold_runners.h"
#include "libraries/dispatch/crash_suspects.h"
#include "libraries/dispatch/departed_runners.h"
#include "libraries/dispatch/domain_choice.h"
#include "libraries/dispatch/engine_model.h"
#include "libraries/dispatch/evacuations.h"
#include "libraries/dispatch/peer_view.h"
#include "libraries/dispatch/planned_stop.h"
#include "libraries/dispatch/policy.h"
#include "libraries/dispatch/prefix_index.h"
#include "libraries/dispatch/prefix_record.h"
#include "libraries/dispatch/processor_load.h"
#include "libraries/dispatch/recent_work.h"
#include "libraries/dispatch/retry_allowance.h"
#include "libraries/dispatch/runner.h"
#include "libraries/dispatch/runner_health.h"
#include "libraries/dispatch/runner_notices.h"
#include "libraries/dispatch/share_window.h"
#include "libraries/metrics/metrics_registry.h"
#include "platform/settings.h"
#include "services/pomelospar_edge/held_bytes.h"
#include "services/pomelospar_edge/wait_queue.h"

namespace pomelospar::edge {

/// Load that the other routers put on a runner, as the coordinator of its engine told it.
struct LoadOfOthers {
  dispatch::EngineLoad load;
  core::TimePoint known_at{};
};

/// A runner as this router knows it. Requests in progress keep the object alive after the runner's
/// entry has left the directory.
struct Runner : std::enable_shared_from_this<Runner> {
  explicit Runner(std::shared_ptr<dispatch::PrefixIndex> prefix_index)
      : prefixes(std::move(prefix_index)) {}

  dispatch::RunnerRecord record;
  /// Hash of the runner's identifier; reports between routers name the runner by it.
  std::uint64_t key = 0;
  /// Load that this router's own requests put on the runner.
  dispatch::EngineLoad own;
  LoadOfOthers load_of_others;
  dispatch::RunnerHealth health;
  dispatch::RunnerNotices notices;
  dispatch::ColdState cold;
  /// Version of the runner's row in the store; 0 before this router has read it.
  std::uint64_t entry_version = 0;
  /// Prompt prefixes that the runner's engine probably has in its cache.
  dispatch::PrefixRecord prefixes;
  /// Set while the runner's entry is missing after an outage of the store: the runner is removed at
  /// this time unless its entry comes back.
  std::optional<core::TimePoint> removal_due;
  /// True while other routers may still report that the entry went missing in an outage of the
  /// store which this router has not noticed.
  bool awaits_outage_report = false;
  /// Set if the store has come back from an older copy with the entry of a run that was known to
  /// leave: it gets no new requests before this time unless the entry is written again.
  std::optional<core::TimePoint> unconfirmed_until;
};

/// Tokens of one workspace at this router, summed over a sliding window.
struct WorkspaceWindow {
  explicit WorkspaceWindow(core::Duration window) : asked(window), served(window) {}
  /// Tokens of all its requests.
  dispatch::SlidingSum asked;
  /// Tokens of its requests that were placed at an engine.
  dispatch::SlidingSum served;
  /// Limits what this router sends to engines while demand exceeds the capacity.
  dispatch::ShareAllowance allowance;
  /// Refused requests since the start, those of callers that came back after a refusal apart.
  std::uint64_t refused_first = 0;
  std::uint64_t refused_returning = 0;
  /// Requests that were refused unexamined because this router had no processor time for them.
  std::uint64_t shed = 0;
};

/// A request that was in progress on a runner whose connection broke.
struct InterruptedRequest {
  std::string attempt_id;
  /// See `dispatch::SubjectsOf`.
  std::vector<std::uint64_t> subjects;
  core::TimePoint sent_at;
  core::TimePoint broken_at;
};

/// Evacuations that the store lacks since it has come back from an older copy.
struct KeptEvacuations {
  std::set<std::string, std::less<>> domains;
  core::TimePoint until{};
};

/// Requests of one upstream that leave this router's failure domain.
struct DomainLeaving {
  dispatch::LeavingShare share;
  /// The regime that was logged last.
  bool some_leave = false;
};

/// State that the parts of the router share. It is read and written on the I/O thread only.
struct RouterState {
  RouterState(boost::asio::io_context& io_context, core::Clock runtime_clock,
              adapter::InstanceSettings instance, core::BufferedLog& decision_log)
      : io(io_context),
        clock(std::move(runtime_clock)),
        settings(std::move(instance)),
        log(decision_log) {}

  boost::asio::io_context& io;
  core::Clock clock;
  /// When the process began to serve.
  core::TimePoint started_at{};
  adapter::InstanceSettings settings;
  core::BufferedLog& log;
  metrics::MetricsRegistry metrics;
  /// Random identifier of this process; a restarted router has another one.
  std::uint64_t incarnation = core::RandomNonZero();

  /// The configuration in force; null until the first one has been read.
  std::shared_ptr<const dispatch::Policy> policy;
  /// Failure domains that the operator has evacuated, as far as this router or another one knows.
  dispatch::Evacuations evacuations;
  KeptEvacuations kept_evacuations;
  /// True while the store, after its return from an older copy, lacks a newer configuration that
  /// another router has, or probably lacks one because no router that knows has told yet. Nothing
  /// is served by `policy` then.
  bool policy_is_older = false;
  /// Latest time since boot at which `policy` was known to be the newest configuration.
  core::Duration policy_confirmed_at{};
  /// Who showed that: "store", or the name of another router.
  std::string policy_confirmed_by;
  /// Moment of the store up to which this router has read the operator's table itself.
  dispatch::StorePosition policy_position;

  /// Prompt prefixes in the caches of all runners.
  std::shared_ptr<dispatch::PrefixIndex> prefix_index = std::make_shared<dispatch::PrefixIndex>();
  /// Known runners by their identifier.
  std::map<std::string, std::shared_ptr<Runner>> runners;
  /// The same runners by their key.
  std::unordered_map<std::uint64_t, std::shared_ptr<Runner>> runners_by_key;
  /// The same runners by the name of their upstream.
  std::unordered_map<std::string, std::vector<std::shared_ptr<Runner>>> runners_by_upstream;
  /// Prompt tokens that this router sent to engines to prefill since its last report to the other
  /// routers.
  double unreported_tokens = 0.0;
  /// Called after `unreported_tokens` has grown. Set by PeerExchange, which may send a report
  /// early.
  std::function<void()> on_unreported_tokens;
  /// Called after this router's load on a runner became smaller. Set by EngineCoordinator.
  std::function<void(const Runner&)> on_load_subtracted;
  /// Returns false if the runner's engine is busier than the proposal assumes, so that the request
  /// must be placed again. Set by EngineCoordinator.
  std::function<boost::asio::awaitable<bool>(std::shared_ptr<Runner>, dispatch::PlacementProposal)>
      confirm_placement;
  /// Returns true if the coordinator of the cold runner grants the start of a request there. Set by
  /// EngineCoordinator.
  std::function<boost::asio::awaitable<bool>(std::shared_ptr<Runner>, dispatch::PlacementProposal)>
      confirm_cold_start;
  /// Returns true if a trial of the subject, which is in quarantine, may be sent now. Set by
  /// EngineCoordinator.
  std::function<boost::asio::awaitable<bool>(std::uint64_t subject)> confirm_crash_trial;
  /// Writes the trials that have begun into the store; returns false if that fails. Set by
  /// SuspectArchive.
  std::function<boost::asio::awaitable<bool>()> record_crash_trials;
  /// Prompt prefixes sent to engines since the last report to the routers of this failure domain.
  std::vector<dispatch::SentPrefix> recent_prefixes;
  /// Runs whose entries have left the directory.
  dispatch::DepartedRunners departed;
  /// True after the directory of runners has been read once.
  bool runners_loaded = false;

  dispatch::EngineSpeed engine_speed;
  /// The latest reports of the other routers.
  dispatch::PeerView peers;
  /// True if the fleet has so many routers that reports are sent less often, and least often to
  /// other failure domains.
  bool is_large_fleet = false;
  /// By workspace name.
  std::unordered_map<std::string, WorkspaceWindow> workspaces;
  /// Max-min fair share: tokens that each workspace may receive in the share window. Infinite while
  /// all demand can be met; 0 if the configuration names no capacity.
  double share_level = 0.0;
  /// Tokens that the engines are assumed to serve in the share window.
  double share_capacity = 0.0;
  /// Limits of the retries, by upstream name.
  std::unordered_map<std::string, dispatch::RetryAllowance> retries;
  /// Prefill work of the recent prompts of this router's callers, by upstream name.
  std::unordered_map<std::string, dispatch::RecentWork> recent_work;
  /// By upstream name. Empty unless the settings have a price for leaving the failure domain.
  std::unordered_map<std::string, DomainLeaving> leaving;
  /// Longest time that a caller was willing to wait, by route name. A caller with clearly less
  /// time is treated as one that retries after a refusal.
  std::unordered_map<std::string, core::Duration> longest_caller_timeout;
  dispatch::CrashSuspects suspects;
  /// True while the record of what crashed runners before this router started is still to be read.
  /// Nothing is served until then.
  bool awaits_suspects = false;
  /// Requests that were interrupted by runners which may have crashed, while these are probed, by
  /// the identifier of the crash.
  std::unordered_map<std::uint64_t, std::vector<InterruptedRequest>> interrupted_requests;
  HeldBytesTotal held_bytes;
  /// Requests that wait for a runner, by upstream name.
  std::unordered_map<std::string, WaitQueue> waiting;
  /// True while a call of `TryWaiting` is posted to the event loop and has not run yet.
  bool placement_retry_posted = false;
  dispatch::ProcessorLoad processor;
  /// Set from the stop signal on.
  std::optional<dispatch::PlannedStop> stop;
};

/// Rebuilds `runners_by_upstream`. Call it after each change of `runners`.
void IndexRunners(RouterState& state);

/// Returns false shortly after the start, when the other routers may not be known yet.
bool HasDiscoveredPeers(const RouterState& state);

/// Returns true if the configuration in force was confirmed to be the newest within the last
/// `limit`.
bool PolicyIsFresh(const RouterState& state, core::Duration limit);

/// Returns the load that all routers put on the runner: this router's own and that of the others as
/// the engine's coordinator told it a moment ago, or else as they reported it.
dispatch::EngineLoad FleetLoad(const RouterState& state, const Runner& runner, core::TimePoint now);

/// Records that the runner prefills these prompt parts and keeps them in its prefix cache, so that
/// prompts with the same beginning are sent there too. `load` is the runner's load; it reduces the
/// memory that is left for the cache.
void RecordPrefix(Runner& runner, const dispatch::EngineLimits& limits,
                  const dispatch::EngineLoad& load, std::span<const dispatch::PromptPart> parts);

/// Returns true if the operator has evacuated the runner's failure domain.
bool IsEvacuated(const RouterState& state, const Runner& runner);

/// Returns true if the runner neither drains nor leaves nor is evacuated, as far as is known, so
/// that new requests may be sent to it.
bool AcceptsNewRequests(const RouterState& state, const Runner& runner);

/// Returns true if the runner tolerates only a few requests per second, so that each needs a grant
/// of its coordinator.
bool IsCold(const RouterState& state, const Runner& runner);

/// Records that the runner has probably just started. Does nothing if the runners of its upstream
/// are never cold.
void ObserveCold(RouterState& state, Runner& runner, std::string_view reason);
/// The same if it is known how long the runner stays cold.
void ObserveCold(RouterState& state, Runner& runner, core::Duration left, std::string_view reason);

/// Records that the runner is cold for `left` according to `source`: its entry or another router.
void TellCold(RouterState& state, Runner& runner, core::Duration left, std::string_view source);

/// Replaces the evacuations if `read` is newer. When an evacuation ends, the runners of its domain
/// count as cold, because they had no work and may have been restarted. `source` is "store" or the
/// name of the router that told it; what was read from the store is told to the others, so that
/// routers that start shortly after it know it too. An evacuation that is missing because the store
/// has come back from an older copy is kept for `dispatch::kOperatorRewriteTime`.
void AdoptEvacuations(RouterState& state, const dispatch::Evacuations& read,
                      std::string_view source);

/// Ends an evacuation that was kept if the operator has withdrawn it since.
void EndKeptEvacuation(RouterState& state, const std::string& domain);
/// Ends the evacuations that were kept and not written again in time. Call a few times a second.
void EndLapsedEvacuations(RouterState& state);

/// Records that the runner leaves. `source` is "response" or the name of the router that told it.
void MarkLeaving(RouterState& state, Runner& runner, std::string_view source);

/// Returns how many requests wait for a runner.
std::size_t CountWaiting(const RouterState& state);

/// Tries to place the requests that wait for a runner.
void TryWaiting(RouterState& state);

/// Returns the tokens that a request adds to its workspace's demand and use.
double ShareTokens(const dispatch::Prompt& prompt);

/// Returns the window over which this router compares the tokens of workspaces. It is a third of
/// the window in the settings: a workspace that had the engines to itself then does not wait for
/// the whole window when others begin to send.
core::Duration ShareWindow(const RouterState& state);

/// Returns what the window's workspace asked for and was served at this router.
dispatch::WorkspaceUsage UsageAt(const WorkspaceWindow& window, core::TimePoint now);

/// Returns the workspace's window and creates it on first use.
WorkspaceWindow& WindowOf(RouterState& state, const std::string& workspace);

/// Returns the tokens that the workspace has received in the window at all routers, plus `tokens`,
/// divided by `share_level`. Returns 0 while all demand can be met, and if the name is empty or no
/// capacity is known.
double ShareUse(RouterState& state, const std::string& workspace, double tokens);

/// The same with the workspace's window at this router. Changes no state.
double ShareUse(const RouterState& state, const std::string& workspace,
                const WorkspaceWindow& window, double tokens);

/// Returns the time until this router may send a request of the workspace to an engine; zero if it
/// may send one now. Each router may send the part of the workspace's share that corresponds to its
/// part of the workspace's demand.
core::Duration TimeUntilAllowed(RouterState& state, const std::string& workspace);
/// The same with the workspace's window at this router, whose allowance is refilled. Changes
/// nothing else.
core::Duration TimeUntilAllowed(const RouterState& state, const std::string& workspace,
                                WorkspaceWindow& window);

/// Counts a placed request in what its workspace was served, once.
void CountServed(RouterState& state, const std::string& workspace, dispatch::RequestUse& use);

/// Takes a refused request back from what its workspace was served.
void TakeBackServed(RouterState& state, const std::string& workspace, dispatch::RequestUse& use);

/// Computes `share_level` from the demand of all workspaces at all routers.
void UpdateShareLevel(RouterState& state);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_STATE_H_
