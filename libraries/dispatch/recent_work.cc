#include "libraries/dispatch/recent_work.h"

#include <numeric>

namespace pomelospar::dispatch {
namespace {

// Weight of the earlier prompts when a prompt is added, so that about the last 100 prompts
// determine the result.
constexpr double kDecayFactor = 0.99;
// Prompts that cause at most this share of the work may have an objective that is shorter than the
// limiting one.
constexpr double kMaxTighterShare = 0.2;
// An objective with less recent work than this, in milliseconds, is dropped. Objectives of an
// earlier configuration thus do not stay.
constexpr double kMinWorkMs = 1e-3;

double Total(const std::map<core::Duration, double>& work_by_objective) {
  return std::accumulate(work_by_objective.begin(), work_by_objective.end(), 0.0,
                         [](double sum, const auto& entry) { return sum + entry.second; });
}

}  // namespace

void RecentWork::AddPrompt(core::Duration objective, double prefill_ms) {
  for (auto& [other, work] : this->work_by_objective) work *= kDecayFactor;
  std::erase_if(this->work_by_objective,
                [](const auto& entry) { return entry.second < kMinWorkMs; });
  this->work_by_objective[objective] += prefill_ms;
  this->sum_of_squares = this->sum_of_squares * kDecayFactor + prefill_ms * prefill_ms;
}

double RecentWork::TypicalPrefillMs() const {
  const double total = Total(this->work_by_objective);
  return total > 0.0 ? this->sum_of_squares / total : 0.0;
}

core::Duration RecentWork::LimitingObjective() const {
  const double tighter_limit = kMaxTighterShare * Total(this->work_by_objective);
  double work = 0.0;
  for (const auto& [objective, own] : this->work_by_objective) {
    work += own;
    if (work > tighter_limit) return objective;
  }
  return {};
}

}  // namespace pomelospar::dispatch
