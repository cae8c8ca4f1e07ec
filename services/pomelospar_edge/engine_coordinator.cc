#include "services/pomelospar_edge/engine_coordinator.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <utility>
#include <vector>

namespace pomelospar::edge {
namespace {

using core::LogLevel;
using std::chrono::milliseconds;

// A coordinator replies in 1 to 3 ms unless its process is paused.
constexpr core::Duration kReplyTimeout = milliseconds(30);
// A coordinator that did not reply is not asked for this time.
constexpr core::Duration kUnresponsiveTime = milliseconds(500);
// Loads that become smaller within this time are reported together.
constexpr core::Duration kReportDelay = milliseconds(10);

metrics::Counter FindProposalCounter(RouterState& state, std::string_view outcome) {
  return state.metrics.FindCounter("pomelospar_placement_proposals_total",
                                   "Placements proposed to the coordinators of engines.",
                                   {{"outcome", outcome}});
}

metrics::Counter FindColdStartCounter(RouterState& state, std::string_view outcome) {
  return state.metrics.FindCounter("pomelospar_cold_starts_total",
                                   "Starts at cold runners that this router asked for.",
                                   {{"outcome", outcome}});
}

}  // namespace

EngineCoordinator::EngineCoordinator(RouterState& router_state, PeerExchange& peer_exchange)
    : state(router_state),
      peers(peer_exchange),
      report_timer(router_state.io),
      accepted(FindProposalCounter(router_state, "accepted")),
      rejected(FindProposalCounter(router_state, "rejected")),
      unanswered(FindProposalCounter(router_state, "unanswered")),
      cold_granted(FindColdStartCounter(router_state, "granted")),
      cold_withheld(FindColdStartCounter(router_state, "withheld")),
      cold_unanswered(FindColdStartCounter(router_state, "unanswered")) {
  this->state.confirm_cold_start = [this](std::shared_ptr<Runner> runner,
                                          dispatch::PlacementProposal proposal) {
    return this->ConfirmColdStart(std::move(runner), proposal);
  };
  this->state.confirm_crash_trial = [this](std::uint64_t subject) {
    return this->ConfirmCrashTrial(subject);
  };
  this->state.confirm_placement = [this](std::shared_ptr<Runner> runner,
                                         dispatch::PlacementProposal proposal) {
    return this->Confirm(std::move(runner), proposal);
  };
  this->state.on_load_subtracted = [this](const Runner& runner) { this->ReportSoon(runner); };
  this->peers.on_partial_report = [this](dispatch::PeerReport report) {
    this->OnPartialReport(std::move(report));
  };
}

std::string EngineCoordinator::CoordinatorOf(const Runner& runner) const {
  const auto& settings = this->state.settings;
  auto live_routers = this->state.peers.RoutersOf(runner.record.domain);
  if (settings.domain == runner.record.domain) live_routers.emplace_back(settings.ip);
  return std::string(
      dispatch::ChooseCoordinator(runner.key, live_routers).value_or(std::string_view()));
}

boost::asio::awaitable<std::optional<dispatch::PlacementReply>> EngineCoordinator::Ask(
    const std::string& coordinator, dispatch::PlacementProposal proposal,
    dispatch::EngineLoad own) {
  const auto unresponsive = this->unresponsive_until.find(coordinator);
  if (unresponsive != this->unresponsive_until.end()) {
    if (this->state.clock.now() < unresponsive->second) co_return std::nullopt;
    this->unresponsive_until.erase(unresponsive);
  }
  proposal.id = ++this->last_proposal;
  dispatch::PeerReport report;
  if (!proposal.is_crash_trial) report.runners[proposal.engine] = own;
  report.proposal = proposal;
  if (!this->peers.SendPartial(coordinator, std::move(report))) co_return std::nullopt;
  const auto waiting = std::make_shared<PendingProposal>(this->state.io);
  this->pending.emplace(proposal.id, waiting);
  waiting->timer.expires_after(kReplyTimeout);
  co_await waiting->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  // After a pause of this process the reply may be in the socket; one turn of the event loop reads
  // it.
  if (!waiting->reply) {
    co_await boost::asio::post(this->state.io, boost::asio::use_awaitable);
  }
  this->pending.erase(proposal.id);
  if (!waiting->reply) {
    this->unresponsive_until[coordinator] = this->state.clock.now() + kUnresponsiveTime;
    this->state.log.Write(LogLevel::kInfo, "coordinator_silent", {{"coordinator", coordinator}});
  }
  co_return waiting->reply;
}

boost::asio::awaitable<bool> EngineCoordinator::Confirm(std::shared_ptr<Runner> runner,
                                                        dispatch::PlacementProposal proposal) {
  if (!this->state.is_large_fleet) co_return true;
  const auto coordinator = this->CoordinatorOf(*runner);
  if (coordinator.empty() || coordinator == this->state.settings.ip) co_return true;
  proposal.engine = runner->key;
  const auto reply = co_await this->Ask(coordinator, proposal, runner->own);
  if (!reply) {
    this->unanswered.Add();
    co_return true;
  }
  runner->load_of_others = {reply->others, this->state.clock.now()};
  (reply->is_accepted ? this->accepted : this->rejected).Add();
  co_return reply->is_accepted;
}

boost::asio::awaitable<bool> EngineCoordinator::ConfirmColdStart(
    std::shared_ptr<Runner> runner, dispatch::PlacementProposal proposal) {
  const auto coordinator = this->CoordinatorOf(*runner);
  bool is_granted = false;
  if (coordinator == this->state.settings.ip) {
    is_granted = this->TryGrantColdStart(*runner);
  } else if (!coordinator.empty()) {
    proposal.engine = runner->key;
    proposal.is_cold_start = true;
    const auto reply = co_await this->Ask(coordinator, proposal, runner->own);
    if (!reply) {
      this->cold_unanswered.Add();
      co_return false;
    }
    runner->load_of_others = {reply->others, this->state.clock.now()};
    is_granted = reply->is_accepted;
  }
  (is_granted ? this->cold_granted : this->cold_withheld).Add();
  co_return is_granted;
}

boost::asio::awaitable<bool> EngineCoordinator::ConfirmCrashTrial(std::uint64_t subject) {
  auto live_routers = this->state.peers.Routers();
  live_routers.emplace_back(this->state.settings.ip);
  const std::string coordinator(*dispatch::ChooseCoordinator(subject, live_routers));
  auto& suspects = this->state.suspects;
  bool is_granted = false;
  if (coordinator == this->state.settings.ip) {
    is_granted = this->TryGrantCrashTrial(subject);
  } else {
    const dispatch::PlacementProposal proposal = {.engine = subject, .is_crash_trial = true};
    const dispatch::EngineLoad no_load;
    const auto reply = co_await this->Ask(coordinator, proposal, no_load);
    is_granted = reply && reply->is_accepted;
    if (is_granted) suspects.BeginTrial(this->state.clock.now(), subject);
  }
  if (is_granted && this->state.record_crash_trials) {
    const bool is_recorded = co_await this->state.record_crash_trials();
    // The other routers know of the trial by reports, so that it is lost only with all of them.
    is_granted = is_recorded || this->state.peers.size() > 0;
  }
  if (!is_granted) suspects.DeferTrial(this->state.clock.now(), subject);
  co_return is_granted;
}

// A router that has just started does not know the others, of which one may be the coordinator.
bool EngineCoordinator::TryGrantCrashTrial(std::uint64_t subject) {
  if (!HasDiscoveredPeers(this->state)) return false;
  return this->state.suspects.TryGrantTrial(this->state.clock.now(), subject);
}

bool EngineCoordinator::TryGrantColdStart(const Runner& runner) {
  const auto now = this->state.clock.now();
  // The key is read together with the rows of the routers. Before that, this router takes itself
  // for the only one.
  if (!this->peers.has_key()) return false;
  if (!this->state.policy || this->CoordinatorOf(runner) != this->state.settings.ip) return false;
  if (!dispatch::MayGrantColdStarts(this->peers.LiveInDomain(), this->peers.ListedInDomain(),
                                    now - this->state.started_at)) {
    return false;
  }
  const auto upstream = this->state.policy->upstreams.find(runner.record.upstream);
  if (upstream == this->state.policy->upstreams.end()) return false;
  const auto& settings = this->state.settings;
  const auto rate = dispatch::ColdStartRate(upstream->second.cold_starts_per_second,
                                            settings.cold_overshoot, settings.cold_slack);
  std::erase_if(this->cold_starts, [now](const auto& entry) { return entry.second.IsIdle(now); });
  return this->cold_starts[runner.key].TryGrant(now, rate);
}

void EngineCoordinator::OnPartialReport(dispatch::PeerReport report) {
  if (report.reply) {
    this->OnReply(*report.reply);
  } else if (report.proposal) {
    this->Decide(std::move(report));
  } else {
    this->state.peers.Apply(std::move(report), this->state.clock.now());
  }
}

void EngineCoordinator::Decide(dispatch::PeerReport report) {
  const auto& proposal = *report.proposal;
  dispatch::PlacementReply reply = {.id = proposal.id};
  if (proposal.is_crash_trial) {
    reply.is_accepted = this->TryGrantCrashTrial(proposal.engine);
    this->Reply(report.sender, reply);
    return;
  }
  reply.others = this->state.peers.LoadWithout(report.sender, proposal.engine);
  const auto runner = this->state.runners_by_key.find(proposal.engine);
  if (runner != this->state.runners_by_key.end()) reply.others += runner->second->own;
  auto load = reply.others;
  // The sender's load includes the request.
  load += report.runners[proposal.engine];
  load -= {.prefill_tokens = proposal.prefill_tokens, .active = 1.0};
  reply.is_accepted = dispatch::IsAcceptable(proposal, load);
  if (proposal.is_cold_start && reply.is_accepted) {
    reply.is_accepted =
        runner != this->state.runners_by_key.end() && this->TryGrantColdStart(*runner->second);
  }
  const auto sender = report.sender;
  if (reply.is_accepted) this->state.peers.Apply(std::move(report), this->state.clock.now());
  this->Reply(sender, reply);
}

void EngineCoordinator::Reply(const std::string& sender, const dispatch::PlacementReply& reply) {
  dispatch::PeerReport report;
  report.reply = reply;
  this->peers.SendPartial(sender, std::move(report));
}

void EngineCoordinator::OnReply(const dispatch::PlacementReply& reply) {
  const auto found = this->pending.find(reply.id);
  if (found == this->pending.end()) return;
  found->second->reply = reply;
  found->second->timer.cancel();
}

void EngineCoordinator::ReportSoon(const Runner& runner) {
  if (!this->state.is_large_fleet) return;
  const bool is_scheduled = !this->changed.empty();
  this->changed.insert(runner.key);
  if (is_scheduled) return;
  this->report_timer.expires_after(kReportDelay);
  this->report_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) this->ReportChangedLoads();
  });
}

void EngineCoordinator::ReportChangedLoads() {
  std::map<std::string, dispatch::PeerReport> reports;
  for (const auto key : std::exchange(this->changed, {})) {
    const auto found = this->state.runners_by_key.find(key);
    if (found == this->state.runners_by_key.end()) continue;
    const auto coordinator = this->CoordinatorOf(*found->second);
    if (coordinator.empty() || coordinator == this->state.settings.ip) continue;
    reports[coordinator].runners[key] = found->second->own;
  }
  for (auto& [coordinator, report] : reports) {
    this->peers.SendPartial(coordinator, std::move(report));
  }
}

}  // namespace pomelospar::edge
