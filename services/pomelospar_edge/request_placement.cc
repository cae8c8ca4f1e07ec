// The parts of RequestSession that choose a runner.

#include <utility>

#include "services/pomelospar_edge/domain_traffic.h"
#include "services/pomelospar_edge/request_session.h"

namespace pomelospar::edge {
namespace {

// Time for which a router does not ask for another start at a runner after one was withheld. Many
// routers share a few starts per second, so asking more often would hardly help.
constexpr core::Duration kColdStartPause = std::chrono::milliseconds(250);

}  // namespace

PlacementQuery RequestSession::Query() const {
  return {.route = this->route,
          .upstream = this->upstream,
          .prompt = &this->facts.prompt,
          .prefix_hashes = this->prefix_hashes,
          .attempt_hash = this->attempt_hash,
          .body_bytes = this->exchange.request().body.size(),
          .received = this->received,
          .admission = this->admission_context,
          .tried = this->tried,
          .withheld_cold_starts = this->withheld_cold_starts,
          .is_work_recorded = this->is_work_recorded};
}

PlacementRecords RequestSession::Records() {
  PlacementRecords records;
  const auto& name = this->upstream->name;
  if (this->upstream->engine) records.recent_work = &this->state.recent_work[name];
  if (this->state.settings.cross_domain_ms_per_mib) {
    records.leaving_share = &this->state.leaving[name].share;
  }
  return records;
}

bool RequestSession::TryPlace() {
  return this->upstream->engine ? this->PlaceEngine() : this->PlaceService();
}

void RequestSession::CountLeaving(const dispatch::DomainChoice& choice) {
  if (std::exchange(this->is_leaving_counted, true)) return;
  CountDomainChoice(this->state, this->upstream->name, choice);
}

core::Duration RequestSession::TimeUntilWithinShare() {
  const bool is_counted = this->use.uncounted_tokens() <= 0.0;
  if (!this->upstream->engine || is_counted) return core::Duration::zero();
  return TimeUntilAllowed(this->state, this->workspace);
}

bool RequestSession::PlaceEngine() {
  const auto candidates = FindCandidates(this->state, this->Query());
  if (candidates.empty()) return false;
  this->admission_context.share_use =
      ShareUse(this->state, this->workspace, this->use.uncounted_tokens());
  if (this->TimeUntilWithinShare() > core::Duration::zero()) return false;
  const auto choice = ChooseEngine(this->state, this->Query(), candidates, this->Records());
  this->is_work_recorded = true;
  this->queue_limit_ms = choice.request.queue_limit_ms;
  if (!choice.placement) return false;
  const auto& placement = *choice.placement;
  this->CountLeaving(placement.domain);
  this->cache_source.reset();
  if (choice.copy) {
    this->cache_source = candidates[choice.copy->source]->shared_from_this();
    this->cache_source_started_unix_ms = this->cache_source->record.started_unix_ms;
  }
  this->proposal =
      dispatch::ProposePlacement(choice.options[placement.option], placement.prefill_tokens);
  this->predicted_ms = placement.first_event_ms;
  this->queue_ms = placement.queue_ms;
  this->cached_tokens = choice.request.prompt_tokens - placement.prefill_tokens;
  this->ReserveEngine(*candidates[placement.option], choice.request, placement.prefill_tokens);
  return true;
}

dispatch::EngineRejections RequestSession::CountRejections() {
  if (!this->upstream->engine) return {};
  const auto query = this->Query();
  const auto options = DescribeEngines(this->state, query, FindCandidates(this->state, query));
  const auto request = DescribeEngineRequest(this->state, query, options, this->Records());
  this->is_work_recorded = true;
  return dispatch::CountEngineRejections(this->state.engine_speed, options, request);
}

void RequestSession::ReserveEngine(Runner& runner, const dispatch::EngineRequest& request,
                                   double prefill_tokens) {
  this->reservation = std::make_shared<Reservation>(
      this->state, runner.shared_from_this(),
      dispatch::EngineLoad{.prefill_tokens = prefill_tokens,
                           .active = 1.0,
                           .memory_tokens = request.prompt_tokens + request.output_tokens});
}

boost::asio::awaitable<bool> RequestSession::ConfirmPlacement() {
  // Under a load that changes this fast no engine stays as it was seen; the router then follows its
  // own view.
  constexpr unsigned kMaxProposals = 6;
  auto& runner = this->reservation->runner();
  this->cold_start_until = {};
  if (IsCold(this->state, runner)) {
    const auto asked_for = runner.shared_from_this();
    const auto asked_at = this->state.clock.now();
    const bool is_granted = co_await this->state.confirm_cold_start(asked_for, this->proposal);
    if (is_granted) {
      this->cold_start_until = asked_at + dispatch::kColdStartLifetime;
    } else {
      ++this->withheld_cold_starts;
      asked_for->cold.next_request_at = this->state.clock.now() + kColdStartPause;
    }
    co_return is_granted;
  }
  if (!this->upstream->engine || !this->state.confirm_placement) co_return true;
  if (this->proposals == kMaxProposals) co_return true;
  ++this->proposals;
  co_return co_await this->state.confirm_placement(this->reservation->runner().shared_from_this(),
                                                   this->proposal);
}

void RequestSession::RecordPlacement() {
  if (!this->upstream->engine) return;
  const auto now = this->state.clock.now();
  auto& runner = this->reservation->runner();
  const auto& parts = this->facts.prompt.parts;
  RecordPrefix(runner, *this->upstream->engine, FleetLoad(this->state, runner, now), parts);
  if (parts.size() > 1) {
    this->state.recent_prefixes.push_back({runner.key, {parts.begin(), parts.end() - 1}});
  }
  if (!this->workspace.empty()) {
    CountServed(this->state, this->workspace, this->use);
  }
  this->state.unreported_tokens += this->proposal.prefill_tokens;
  if (this->state.on_unreported_tokens) this->state.on_unreported_tokens();
}

bool RequestSession::PlaceService() {
  const auto query = this->Query();
  const auto candidates = FindCandidates(this->state, query);
  const auto chosen = ChooseService(this->state, query, candidates, this->Records()).chosen;
  if (!chosen) return false;
  this->CountLeaving(*chosen);
  // A coordinator does not know the load limits of plain services.
  constexpr double kNoLimit = 1e9;
  this->proposal = {.max_prefill_tokens = kNoLimit, .max_active = kNoLimit};
  this->reservation =
      std::make_shared<Reservation>(this->state, candidates[chosen->option]->shared_from_this(),
                                    dispatch::EngineLoad{.active = 1.0});
  return true;
}

}  // namespace pomelospar::edge
