#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ENGINE_COORDINATOR_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ENGINE_COORDINATOR_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "libraries/dispatch/cold_runners.h"
#include "libraries/dispatch/engine_coordination.h"
#include "services/pomelospar_edge/peer_exchange.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// Proposes placements to the coordinators of engines, and is the coordinator of some of them (see
/// libraries/dispatch/engine_coordination.h). Only large fleets use it for warm engines. It is a
/// hint there like the reports: a request whose proposal is not answered is sent all the same. At
/// cold runners, and for trials of requests that crash runners, it is binding in each fleet:
/// without a grant nothing is sent.
class EngineCoordinator {
 public:
  /// Sets `RouterState::confirm_placement`, `confirm_cold_start`, `confirm_crash_trial` and
  /// `on_load_subtracted`.
  /// `router_state` and `peer_exchange` must outlive this object.
  EngineCoordinator(RouterState& router_state, PeerExchange& peer_exchange);
  EngineCoordinator(const EngineCoordinator&) = delete;
  EngineCoordinator& operator=(const EngineCoordinator&) = delete;

 private:
  struct PendingProposal {
    explicit PendingProposal(boost::asio::io_context& io) : timer(io) {}
    /// Expires when the reply is no longer awaited; cancelled when it arrives.
    boost::asio::steady_timer timer;
    std::optional<dispatch::PlacementReply> reply;
  };

  /// Name of the router that coordinates the runner's engine; empty if its failure domain has no
  /// live router.
  std::string CoordinatorOf(const Runner& runner) const;
  /// Returns false if the engine is busier than the proposal assumes; its load is then known.
  boost::asio::awaitable<bool> Confirm(std::shared_ptr<Runner> runner,
                                       dispatch::PlacementProposal proposal);
  /// Asks the coordinator; returns nothing if it is not known, or silent.
  boost::asio::awaitable<std::optional<dispatch::PlacementReply>> Ask(
      const std::string& coordinator, dispatch::PlacementProposal proposal,
      dispatch::EngineLoad own);
  /// Returns true if the subject's coordinator grants a trial of it. Of two parts of a fleet that
  /// are cut off from each other, each has a coordinator.
  boost::asio::awaitable<bool> ConfirmCrashTrial(std::uint64_t subject);
  /// Returns true if the runner's coordinator grants the start of a request.
  boost::asio::awaitable<bool> ConfirmColdStart(std::shared_ptr<Runner> runner,
                                                dispatch::PlacementProposal proposal);
  /// Grants a start at a cold runner if this router is its coordinator.
  bool TryGrantColdStart(const Runner& runner);
  bool TryGrantCrashTrial(std::uint64_t subject);
  void OnPartialReport(dispatch::PeerReport report);
  void Decide(dispatch::PeerReport report);
  void Reply(const std::string& sender, const dispatch::PlacementReply& reply);
  void OnReply(const dispatch::PlacementReply& reply);
  /// Tells the coordinator soon that this router's load on the runner became smaller.
  void ReportSoon(const Runner& runner);
  void ReportChangedLoads();

  RouterState& state;
  PeerExchange& peers;
  std::uint64_t last_proposal = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingProposal>> pending;
  /// Coordinators that did not reply, and until when they are not asked.
  std::unordered_map<std::string, core::TimePoint> unresponsive_until;
  /// Keys of the runners whose load became smaller and was not reported since.
  std::unordered_set<std::uint64_t> changed;
  boost::asio::steady_timer report_timer;
  metrics::Counter accepted;
  metrics::Counter rejected;
  metrics::Counter unanswered;
  /// Starts that this router granted, by the key of the cold runner.
  std::unordered_map<std::uint64_t, dispatch::ColdStarts> cold_starts;
  metrics::Counter cold_granted;
  metrics::Counter cold_withheld;
  metrics::Counter cold_unanswered;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_ENGINE_COORDINATOR_H_
