#include "libraries/dispatch/cold_runners.h"

#include <algorithm>

namespace pomelospar::dispatch {
namespace {

// A started router has read the rows of the others and has received their reports after this time.
constexpr core::Duration kDiscoveryTime = std::chrono::seconds(2);

constexpr core::Duration kShortestGrantWindow = std::chrono::seconds(1);

// A rate below one start per second is one start in a longer window. A runner is cold for at most
// `kLongestColdTime`, so a still lower rate means one start too.
core::Duration GrantWindow(double per_second) {
  if (per_second >= 1.0) return kShortestGrantWindow;
  const std::chrono::duration<double> window(1.0 / per_second);
  if (window >= kLongestColdTime) return kLongestColdTime;
  return std::chrono::duration_cast<core::Duration>(window);
}

core::TimePoint EndOf(core::TimePoint now, core::Duration left) {
  return now + std::clamp(left, core::Duration::zero(), kLongestColdTime);
}

}  // namespace

void ObserveCold(ColdState& state, core::TimePoint now, core::Duration left) {
  state.observed_until = std::max(state.observed_until, EndOf(now, left));
}

void TellCold(ColdState& state, core::TimePoint now, core::Duration left) {
  state.told_until = std::max(state.told_until, EndOf(now, left));
}

core::TimePoint ColdUntil(const ColdState& state) {
  return std::max(state.observed_until, state.told_until);
}

bool IsCold(const ColdState& state, core::TimePoint now) { return now < ColdUntil(state); }

core::Duration ObservedColdTime(const ColdState& state, core::TimePoint now) {
  return std::max(state.observed_until - now, core::Duration::zero());
}

double ColdStartRate(double per_second, double overshoot, double slack) {
  return std::min(per_second, (per_second * overshoot + slack) / 2.0);
}

bool ColdStarts::TryGrant(core::TimePoint now, double per_second) {
  if (per_second <= 0.0) return false;
  this->window = GrantWindow(per_second);
  while (!this->granted.empty() && this->granted.front() <= now - this->window) {
    this->granted.pop_front();
  }
  if (static_cast<double>(this->granted.size()) + 1.0 > std::max(per_second, 1.0)) return false;
  this->granted.push_back(now);
  return true;
}

bool ColdStarts::IsIdle(core::TimePoint now) const {
  return this->granted.empty() || this->granted.back() <= now - this->window;
}

bool MayGrantColdStarts(std::size_t live, std::size_t listed, core::Duration since_start) {
  return since_start >= kDiscoveryTime && 2 * live > listed;
}

}  // namespace pomelospar::dispatch
