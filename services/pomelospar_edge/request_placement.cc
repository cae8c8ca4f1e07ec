// The parts of RequestSession that choose a runner.

#include <algorithm>
#include <optional>
#include <utility>

#include "libraries/core/identifiers.h"
#include "libraries/core/milliseconds.h"
#include "services/pomelospar_edge/domain_traffic.h"
#include "services/pomelospar_edge/request_session.h"

namespace pomelospar::edge {
namespace {

using core::ToMilliseconds;

// A runner that has at least this share of the shared prompt parts in its cache saves most of the
// prefill.
constexpr double kCachedShare = 0.9;
// Share of the slots and the queue that this router uses at a runner of another failure domain,
// whose load was reported up to half a second ago. The routers of that failure domain use the rest.
constexpr double kStaleLoadUsableShare = 0.85;
// Mean of the estimated unreported work. In a large fleet the work of other routers is reported
// 0.13 to 0.25 s late on average, and an engine under load prefills during a part of that time.
constexpr double kMeanUnreportedWorkMs = 50.0;

// A request to which so many starts at cold runners were refused uses warm runners only, if there
// are any: each refused start costs a round trip.
constexpr unsigned kMaxWithheldColdStarts = 3;
// Time for which a router does not ask for another start at a runner after one was withheld. Many
// routers share a few starts per second, so asking more often would hardly help.
constexpr core::Duration kColdStartPause = std::chrono::milliseconds(250);

}  // namespace

std::vector<Runner*> RequestSession::Candidates() const {
  std::vector<Runner*> candidates;
  const auto found = this->state.runners_by_upstream.find(this->upstream->name);
  if (found == this->state.runners_by_upstream.end()) return candidates;
  const auto now = this->state.clock.now();
  candidates.reserve(found->second.size());
  std::vector<Runner*> cold;
  for (const auto& runner : found->second) {
    if (!AcceptsNewRequests(this->state, *runner) || !runner->health.IsUsable(now) ||
        !dispatch::MaySend(runner->notices, now, runner->own.active)) {
      continue;
    }
    if (std::find(this->tried.begin(), this->tried.end(), runner->record.id) != this->tried.end()) {
      continue;
    }
    if (!IsCold(this->state, *runner)) {
      candidates.push_back(runner.get());
    } else if (now >= runner->cold.next_request_at) {
      cold.push_back(runner.get());
    }
  }
  if (this->withheld_cold_starts < kMaxWithheldColdStarts || candidates.empty()) {
    candidates.insert(candidates.end(), cold.begin(), cold.end());
  }
  return candidates;
}

core::Duration RequestSession::TimeUntilRested() const {
  const auto found = this->state.runners_by_upstream.find(this->upstream->name);
  if (found == this->state.runners_by_upstream.end()) return core::Duration::zero();
  const auto now = this->state.clock.now();
  std::optional<core::TimePoint> earliest;
  for (const auto& runner : found->second) {
    if (!AcceptsNewRequests(this->state, *runner)) continue;
    if (!dispatch::IsResting(runner->notices, now)) return core::Duration::zero();
    earliest = std::min(earliest.value_or(core::TimePoint::max()), runner->notices.rest_until);
  }
  return earliest ? *earliest - now : core::Duration::zero();
}

bool RequestSession::AllRunnersEvacuated() const {
  if (this->state.evacuations.domains.empty()) return false;
  const auto found = this->state.runners_by_upstream.find(this->upstream->name);
  return found != this->state.runners_by_upstream.end() &&
         std::all_of(found->second.begin(), found->second.end(),
                     [this](const auto& runner) { return IsEvacuated(this->state, *runner); });
}

bool RequestSession::TryPlace() {
  return this->upstream->engine ? this->PlaceEngine(*this->upstream->engine) : this->PlaceService();
}

double RequestSession::EstimateUnreportedWorkMs(const Runner& runner) const {
  if (!this->state.is_large_fleet) return 0.0;
  const double draw = core::UnitFraction(core::CombineHashes(runner.key, this->attempt_hash));
  return dispatch::UnreportedWorkMs(kMeanUnreportedWorkMs, 1.0 - draw);
}

std::vector<dispatch::EngineOption> RequestSession::DescribeEngines(
    const dispatch::EngineLimits& limits, const std::vector<Runner*>& candidates) const {
  const auto now = this->state.clock.now();
  const double slot_share = dispatch::MaxSlotFraction(this->admission_context);
  std::vector<dispatch::EngineOption> options;
  options.reserve(candidates.size());
  const auto cached_tokens = this->state.prefix_index->CachedTokens(this->prefix_hashes);
  for (const auto* runner : candidates) {
    const bool other_domain = runner->record.domain != this->state.settings.domain;
    options.push_back({.load = FleetLoad(this->state, *runner, now),
                       .slowdown = runner->health.slowdown(now),
                       .failure_rate = runner->health.failure_rate(now),
                       .cached_tokens = cached_tokens[runner->prefixes.cache()],
                       .memory_capacity = limits.memory_tokens,
                       .slots = static_cast<double>(runner->record.slots) * slot_share,
                       .usable_fraction =
                           other_domain && this->state.is_large_fleet ? kStaleLoadUsableShare : 1.0,
                       .unreported_work_ms = this->EstimateUnreportedWorkMs(*runner),
                       .other_domain = other_domain});
  }
  return options;
}

// If no runner has the prompt's shared parts in its cache, prefers the runner that all routers
// choose for these parts by rendezvous hashing. Prompts that arrive at several routers at the same
// time are then sent to the same runner.
void RequestSession::PreferRendezvousEngine(const std::vector<Runner*>& candidates,
                                            std::vector<dispatch::EngineOption>& options) const {
  const auto& prompt = this->facts.prompt;
  const auto key = dispatch::SharedPrefixKey(prompt.parts);
  if (key == 0) return;
  const double shared = prompt.input_tokens - prompt.parts.back().tokens;
  const bool cached_somewhere =
      std::any_of(options.begin(), options.end(), [&](const dispatch::EngineOption& option) {
        return option.cached_tokens >= shared * kCachedShare;
      });
  if (cached_somewhere) return;
  // By the home-first rule each failure domain keeps its own copy, because all prompts with these
  // parts would otherwise leave all domains but one.
  const auto& own_domain = this->state.settings.domain;
  const bool home_first = this->state.settings.cross_domain_ms_per_mib.has_value();
  const auto preference = [&](const Runner* runner) {
    return std::pair(home_first && runner->record.domain == own_domain,
                     core::CombineHashes(key, runner->key));
  };
  const auto common = std::max_element(candidates.begin(), candidates.end(),
                                       [&](const Runner* left, const Runner* right) {
                                         return preference(left) < preference(right);
                                       });
  options[static_cast<std::size_t>(common - candidates.begin())].expected_cached_tokens = shared;
}

dispatch::EngineRequest RequestSession::DescribeRequest(
    std::span<const dispatch::EngineOption> options) {
  const auto& prompt = this->facts.prompt;
  const auto& speed = this->state.engine_speed;
  const double uncached_tokens = dispatch::FewestUncachedTokens(options, prompt.input_tokens);
  const double prefill_ms = dispatch::PrefillMs(speed, uncached_tokens, prompt.input_tokens, 0.0);
  auto& recent_work = this->state.recent_work[this->upstream->name];
  if (!std::exchange(this->is_work_recorded, true)) {
    recent_work.AddPrompt(this->route->objective, prefill_ms);
  }
  return {.prompt_tokens = prompt.input_tokens,
          .output_tokens = dispatch::ExpectedOutputTokens(prompt),
          .queue_limit_ms = dispatch::QueueWaitLimitMs(
              speed, ToMilliseconds(recent_work.LimitingObjective()), prefill_ms,
              recent_work.TypicalPrefillMs(), this->admission_context),
          .leaving = this->DescribeLeaving()};
}

dispatch::LeavingTerms RequestSession::DescribeLeaving() {
  const auto& price = this->state.settings.cross_domain_ms_per_mib;
  if (!price) return {};
  const auto now = this->state.clock.now();
  auto& share = this->state.leaving[this->upstream->name].share;
  dispatch::LeavingTerms terms;
  terms.price_ms =
      dispatch::LeavingPriceMs(price, static_cast<double>(this->exchange.request().body.size()));
  // Engines are compared by their first event, other services by their whole response.
  if (this->route->streaming || !this->upstream->engine) {
    terms.objective_ms =
        std::max(ToMilliseconds(this->route->objective - (now - this->received)), 0.0);
  }
  // The same draw at each call, so that waiting longer does not make the request leave by chance.
  terms.may_leave = this->Draw(core::HashName("leave")) < share.At(now);
  return terms;
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

bool RequestSession::PlaceEngine(const dispatch::EngineLimits& limits) {
  const auto candidates = this->Candidates();
  if (candidates.empty()) return false;
  this->admission_context.share_use =
      ShareUse(this->state, this->workspace, this->use.uncounted_tokens());
  if (this->TimeUntilWithinShare() > core::Duration::zero()) return false;
  auto options = this->DescribeEngines(limits, candidates);
  this->PreferRendezvousEngine(candidates, options);
  const auto request = this->DescribeRequest(options);
  this->queue_limit_ms = request.queue_limit_ms;
  const auto& speed = this->state.engine_speed;
  auto placement = dispatch::PlaceAtEngine(speed, options, request);
  if (!placement) return false;
  this->CountLeaving(placement->domain);
  this->cache_source.reset();
  if (const auto copy =
          dispatch::PlanCacheCopy(speed, options, placement->option, request.prompt_tokens,
                                  limits.cache_copy_tokens_per_ms)) {
    this->cache_source = candidates[copy->source]->shared_from_this();
    this->cache_source_started_unix_ms = this->cache_source->record.started_unix_ms;
    placement->prefill_tokens = std::max(placement->prefill_tokens - copy->tokens, 1.0);
    placement->first_event_ms -= copy->saved_ms;
  }
  this->proposal =
      dispatch::ProposePlacement(options[placement->option], placement->prefill_tokens);
  this->predicted_ms = placement->first_event_ms;
  this->queue_ms = placement->queue_ms;
  this->cached_tokens = request.prompt_tokens - placement->prefill_tokens;
  this->ReserveEngine(*candidates[placement->option], request, placement->prefill_tokens);
  return true;
}

dispatch::EngineRejections RequestSession::CountRejections() {
  if (!this->upstream->engine) return {};
  const auto options = this->DescribeEngines(*this->upstream->engine, this->Candidates());
  return dispatch::CountEngineRejections(this->state.engine_speed, options,
                                         this->DescribeRequest(options));
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
  // A service without an engine may get this many times as many requests as it has slots; it queues
  // those beyond its slots.
  constexpr double kQueueFactor = 2.0;
  const auto candidates = this->Candidates();
  const auto now = this->state.clock.now();
  std::vector<dispatch::ServiceOption> options;
  options.reserve(candidates.size());
  for (const auto* runner : candidates) {
    options.push_back({.active = FleetLoad(this->state, *runner, now).active,
                       .slots = static_cast<double>(runner->record.slots),
                       .latency_ms = std::max(runner->health.latency_ms(), 1.0),
                       .failure_rate = runner->health.failure_rate(now),
                       .other_domain = runner->record.domain != this->state.settings.domain});
  }
  const auto chosen = dispatch::PlaceAtService(options, kQueueFactor, this->DescribeLeaving());
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
