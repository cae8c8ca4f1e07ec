// Where a request goes: the parts of RequestSession that choose a runner.

#include <algorithm>

#include "libraries/core/identifiers.h"
#include "libraries/core/milliseconds.h"
#include "services/pomelospar_edge/request_session.h"

namespace pomelospar::edge {
namespace {

using core::ToMilliseconds;

// A runner that keeps this share of the shared parts saves most of the reading.
constexpr double kKeptShare = 0.9;
// Share of the slots and the queue that is used of a runner whose load was reported up to half a
// second ago; the other routers there use the rest.
constexpr double kOldViewShare = 0.85;
// In a large fleet the work of other routers is known 0.13 to 0.25 s late on average, and an engine
// under load reads for a part of that time.
constexpr double kUnseenWorkMs = 50.0;

}  // namespace

std::vector<Runner*> RequestSession::Candidates() const {
  std::vector<Runner*> candidates;
  const auto found = this->state.runners_by_upstream.find(this->upstream->name);
  if (found == this->state.runners_by_upstream.end()) return candidates;
  const auto now = this->state.clock.now();
  candidates.reserve(found->second.size());
  for (const auto& runner : found->second) {
    if (!TakesNewWork(*runner) || !runner->health.IsUsable(now)) continue;
    if (std::find(this->tried.begin(), this->tried.end(), runner->record.id) != this->tried.end()) {
      continue;
    }
    candidates.push_back(runner.get());
  }
  return candidates;
}

bool RequestSession::TryPlace() {
  return this->upstream->engine ? this->PlaceEngine(*this->upstream->engine) : this->PlaceService();
}

double RequestSession::UnseenAt(const Runner& runner) const {
  if (!this->state.is_large) return 0.0;
  return dispatch::UnseenWorkMs(kUnseenWorkMs, 1.0 - this->Draw(runner.key));
}

std::vector<dispatch::EngineOption> RequestSession::DescribeEngines(
    const dispatch::EngineLimits& limits, const std::vector<Runner*>& candidates) const {
  const auto now = this->state.clock.now();
  const double slot_share = dispatch::SlotShare(this->standing);
  std::vector<dispatch::EngineOption> options;
  options.reserve(candidates.size());
  for (const auto* runner : candidates) {
    const bool other_domain = runner->record.domain != this->state.settings.domain;
    options.push_back({.load = FleetLoad(this->state, *runner),
                       .slowdown = runner->health.slowdown(now),
                       .failure_share = runner->health.failure_share(now),
                       .cached_tokens = runner->prefixes.CachedTokens(this->facts.prompt.parts),
                       .memory_capacity = limits.memory_tokens,
                       .slots = static_cast<double>(runner->record.slots) * slot_share,
                       .usable_share = other_domain && this->state.is_large ? kOldViewShare : 1.0,
                       .unseen_ms = this->UnseenAt(*runner),
                       .other_domain = other_domain});
  }
  return options;
}

// Prompts with the same shared parts that arrive at several routers at once meet at the runner that
// all routers agree on.
void RequestSession::PreferCommonEngine(const std::vector<Runner*>& candidates,
                                        std::vector<dispatch::EngineOption>& options) const {
  const auto& prompt = this->facts.prompt;
  const auto key = dispatch::SharedPrefixKey(prompt.parts);
  if (key == 0) return;
  const double shared = prompt.input_tokens - prompt.parts.back().tokens;
  const bool kept_somewhere =
      std::any_of(options.begin(), options.end(), [&](const dispatch::EngineOption& option) {
        return option.cached_tokens >= shared * kKeptShare;
      });
  if (kept_somewhere) return;
  const auto common = std::max_element(
      candidates.begin(), candidates.end(), [&](const Runner* left, const Runner* right) {
        return core::CombineHashes(key, left->key) < core::CombineHashes(key, right->key);
      });
  options[static_cast<std::size_t>(common - candidates.begin())].expected_tokens = shared;
}

bool RequestSession::PlaceEngine(const dispatch::EngineLimits& limits) {
  const auto candidates = this->Candidates();
  if (candidates.empty()) return false;
  const auto now = this->state.clock.now();
  const auto& prompt = this->facts.prompt;
  this->standing.share_use = ShareUse(this->state, this->workspace, this->share_tokens);
  auto options = this->DescribeEngines(limits, candidates);
  this->PreferCommonEngine(candidates, options);
  const auto& speed = this->state.engine_speed;
  const double reading = dispatch::ReadingMs(speed, prompt.input_tokens, prompt.input_tokens, 0.0);
  const dispatch::EngineRequest request = {
      .prompt_tokens = prompt.input_tokens,
      .output_tokens = dispatch::ExpectedOutputTokens(prompt),
      .queue_limit_ms = dispatch::AcceptedQueueMs(
          speed, ToMilliseconds(this->upstream->tightest_objective), reading,
          this->state.typical_reading[this->upstream->name].milliseconds(), this->standing)};
  const auto placement = dispatch::PlaceAtEngine(speed, options, request);
  this->queue_limit_ms = request.queue_limit_ms;
  if (!placement) {
    this->obstacles = dispatch::CountObstacles(speed, options, request);
    return false;
  }
  auto* runner = candidates[placement->option];
  this->predicted_ms = placement->first_event_ms;
  this->queue_ms = placement->queue_ms;
  this->cached_tokens = prompt.input_tokens - placement->unread_tokens;
  NoteRead(*runner, limits, options[placement->option].load, prompt.parts);
  if (prompt.parts.size() > 1) {
    this->state.recent_reads.push_back(
        {runner->key, {prompt.parts.begin(), prompt.parts.end() - 1}});
  }
  this->reservation = std::make_shared<Reservation>(
      this->state, runner->shared_from_this(),
      dispatch::EngineLoad{.unread_tokens = placement->unread_tokens,
                           .active = 1.0,
                           .memory_tokens = request.prompt_tokens + request.output_tokens});
  if (!this->workspace.empty()) {
    WindowOf(this->state, this->workspace).served.Add(now, this->share_tokens);
  }
  this->state.unreported_tokens += placement->unread_tokens;
  if (this->state.on_much_unreported) this->state.on_much_unreported();
  return true;
}

bool RequestSession::PlaceService() {
  // A plain service queues a few requests beyond its slots.
  constexpr double kQueueFactor = 2.0;
  const auto candidates = this->Candidates();
  const auto now = this->state.clock.now();
  std::vector<dispatch::ServiceOption> options;
  options.reserve(candidates.size());
  for (const auto* runner : candidates) {
    options.push_back({.active = FleetLoad(this->state, *runner).active,
                       .slots = static_cast<double>(runner->record.slots),
                       .latency_ms = std::max(runner->health.latency_ms(), 1.0),
                       .failure_share = runner->health.failure_share(now),
                       .other_domain = runner->record.domain != this->state.settings.domain});
  }
  const auto chosen = dispatch::PlaceAtService(options, kQueueFactor);
  if (!chosen) return false;
  this->reservation = std::make_shared<Reservation>(
      this->state, candidates[*chosen]->shared_from_this(), dispatch::EngineLoad{.active = 1.0});
  return true;
}

}  // namespace pomelospar::edge
