#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_STATE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_STATE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/core/buffered_log.h"
#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/dispatch/admission.h"
#include "libraries/dispatch/crash_suspects.h"
#include "libraries/dispatch/engine_model.h"
#include "libraries/dispatch/peer_view.h"
#include "libraries/dispatch/policy.h"
#include "libraries/dispatch/prefix_record.h"
#include "libraries/dispatch/processor_load.h"
#include "libraries/dispatch/retry_allowance.h"
#include "libraries/dispatch/runner.h"
#include "libraries/dispatch/runner_health.h"
#include "libraries/dispatch/share_window.h"
#include "libraries/metrics/metrics_registry.h"
#include "platform/settings.h"
#include "services/pomelospar_edge/held_bytes.h"
#include "services/pomelospar_edge/wait_queue.h"

namespace pomelospar::edge {

/// A runner as this router knows it. Requests in progress keep it alive after it has left the
/// directory.
struct Runner : std::enable_shared_from_this<Runner> {
  dispatch::RunnerRecord record;
  /// Hash of the identifier, its name in messages between routers.
  std::uint64_t key = 0;
  /// Work of this router there.
  dispatch::EngineLoad own;
  dispatch::RunnerHealth health;
  dispatch::PrefixRecord prefixes;
  /// Its entry is missing; it is gone at this time unless the entry comes back.
  std::optional<core::TimePoint> removal_due;
};

/// Demand of a workspace at this router.
struct WorkspaceWindow {
  explicit WorkspaceWindow(core::Duration window) : asked(window), served(window) {}
  dispatch::SlidingSum asked;
  dispatch::SlidingSum served;
};

/// State of the router that its controllers read and write on the I/O thread.
struct RouterState {
  RouterState(boost::asio::io_context& io_context, core::Clock runtime_clock,
              adapter::InstanceSettings instance, core::BufferedLog& decision_log)
      : io(io_context),
        clock(std::move(runtime_clock)),
        settings(std::move(instance)),
        log(decision_log) {}

  boost::asio::io_context& io;
  core::Clock clock;
  adapter::InstanceSettings settings;
  core::BufferedLog& log;
  metrics::MetricsRegistry metrics;
  std::uint64_t incarnation = core::RandomNonZero();

  /// The configuration in force; null until one was read.
  std::shared_ptr<const dispatch::Policy> policy;
  /// Time since boot at which `policy` was last known to be the newest.
  core::Duration policy_proven_at{};

  /// By identifier.
  std::map<std::string, std::shared_ptr<Runner>> runners;
  /// The same runners by their key.
  std::unordered_map<std::uint64_t, std::shared_ptr<Runner>> runners_by_key;
  /// The same runners by the name of their upstream.
  std::unordered_map<std::string, std::vector<std::shared_ptr<Runner>>> runners_by_upstream;
  /// Prompt tokens sent to engines since the last report to the other routers.
  double unreported_tokens = 0.0;
  /// Called when much was sent since the last report.
  std::function<void()> on_much_unreported;
  /// Prompts placed since the last report to the routers of the own failure domain.
  std::vector<dispatch::PrefixRead> recent_reads;
  /// The directory of runners was read at least once.
  bool runners_known = false;

  dispatch::EngineSpeed engine_speed;
  dispatch::PeerView peers;
  /// The fleet is so large that routers of other failure domains report less often.
  bool is_large = false;
  /// By workspace name.
  std::unordered_map<std::string, WorkspaceWindow> workspaces;
  /// Tokens that each workspace may receive in the share window before it is beyond its share.
  double share_level = 0.0;
  /// By upstream name.
  std::unordered_map<std::string, dispatch::RetryAllowance> retries;
  /// By upstream name: the prompts of this router's callers.
  std::unordered_map<std::string, dispatch::TypicalReading> typical_reading;
  /// By route name: the longest patience of a caller. A caller with clearly less was here before.
  std::unordered_map<std::string, core::Duration> full_patience;
  dispatch::CrashSuspects suspects;
  HeldBytesTotal held_bytes;
  WaitQueue waiting;
  /// The waiting requests will be tried in this turn.
  bool room_came_free = false;
  dispatch::ProcessorLoad processor;
  bool stopping = false;
};

/// Fills `runners_by_upstream` after a change of `runners`.
void IndexRunners(RouterState& state);

/// True if the newest configuration was confirmed within `limit`.
bool PolicyIsFresh(const RouterState& state, core::Duration limit);

/// The runner's work of all routers, as far as known.
dispatch::EngineLoad FleetLoad(const RouterState& state, const Runner& runner);

/// Notes that the runner reads these parts, so that prompts that share them are sent there too.
void NoteRead(Runner& runner, const dispatch::EngineLimits& limits,
              const dispatch::EngineLoad& load, std::span<const dispatch::PromptPart> parts);

/// True if new work may be sent to the runner.
bool TakesNewWork(const Runner& runner);

/// Tokens for which a request counts in the shares of workspaces.
double ShareTokens(const dispatch::Prompt& prompt);

/// Window in which this router compares workspaces. A part of the operator's, so that a workspace
/// which had the engines to itself does not wait for the whole window when others come.
core::Duration ShareWindow(const RouterState& state);

WorkspaceWindow& WindowOf(RouterState& state, const std::string& workspace);

/// What the workspace has received in the window at all routers, with `tokens` more, over its
/// max-min share; 0 while all demand can be met.
double ShareUse(RouterState& state, const std::string& workspace, double tokens);

/// Computes `share_level` from the demand at all routers.
void UpdateShareLevel(RouterState& state);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ROUTER_STATE_H_
