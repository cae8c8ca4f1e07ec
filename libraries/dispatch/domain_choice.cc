#include "libraries/dispatch/domain_choice.h"

#include <algorithm>

namespace pomelospar::dispatch {

double LeavingPriceMs(std::optional<double> ms_per_mib, double bytes) {
  constexpr double kMebibyte = 1024.0 * 1024.0;
  return kDomainRoundTripMs + ms_per_mib.value_or(0.0) * bytes / kMebibyte;
}

double DomainCostMs(const LeavingTerms& terms, bool other_domain) {
  return other_domain ? terms.price_ms : 0.0;
}

std::string_view NameOf(LeavingReason reason) {
  switch (reason) {
    case LeavingReason::kNoRoom:
      return "no_room";
    case LeavingReason::kObjective:
      return "objective";
    case LeavingReason::kGain:
      return "gain";
    case LeavingReason::kNone:
      break;
  }
  return "none";
}

void DomainCandidates::Add(std::size_t option, bool other_domain, double cost, double forecast_ms) {
  auto& best = other_domain ? this->best_away : this->best_home;
  const double forecast = forecast_ms + (other_domain ? kDomainRoundTripMs : 0.0);
  if (other_domain) {
    // Only the runner that would get the request counts for another domain.
    if (cost < best.cost) best = {option, cost, forecast};
    return;
  }
  best.forecast_ms = std::min(best.forecast_ms, forecast);
  if (cost < best.cost) {
    best.option = option;
    best.cost = cost;
  }
}

std::optional<DomainChoice> ChooseDomain(const DomainCandidates& candidates,
                                         const LeavingTerms& terms) {
  if (candidates.empty()) return std::nullopt;
  const auto& home = candidates.home();
  const auto& away = candidates.away();
  if (!home.has_room()) return DomainChoice{away.option, LeavingReason::kNoRoom, true};
  DomainChoice choice = {.option = home.option};
  if (!away.has_room()) return choice;
  // The price is a part of the cost. Of two runners with the same cost, the first one is chosen.
  if (away.cost < home.cost || (away.cost == home.cost && away.option < home.option)) {
    choice.reason = LeavingReason::kGain;
  } else if (home.forecast_ms > terms.objective_ms && away.forecast_ms <= terms.objective_ms) {
    choice.reason = LeavingReason::kObjective;
  }
  choice.leaves = choice.reason != LeavingReason::kNone && terms.may_leave;
  if (choice.leaves) choice.option = away.option;
  return choice;
}

void LeavingShare::Advance(core::TimePoint now) {
  if (now - this->period_begin < kPeriod) return;
  if (now - this->period_begin > kMaxPause) {
    this->share = 0.0;
  } else if (this->counted > 0.0) {
    this->share += kMaxStep * (this->paying / this->counted - this->share);
  } else {
    // A router with few requests keeps its share between them.
    return;
  }
  this->period_begin = now;
  this->counted = 0.0;
  this->paying = 0.0;
}

double LeavingShare::At(core::TimePoint now) {
  this->Advance(now);
  return this->share;
}

void LeavingShare::Count(core::TimePoint now, const DomainChoice& choice) {
  this->Advance(now);
  if (choice.leaves) this->last_left = now;
  if (choice.reason == LeavingReason::kNoRoom) return;
  this->counted += 1.0;
  if (choice.reason != LeavingReason::kNone) this->paying += 1.0;
}

bool LeavingShare::SomeLeave(core::TimePoint now) const {
  return this->last_left && now - *this->last_left <= kQuietTime;
}

}  // namespace pomelospar::dispatch
