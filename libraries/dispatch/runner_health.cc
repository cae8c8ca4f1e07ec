#include "libraries/dispatch/runner_health.h"

#include <algorithm>
#include <cmath>

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr double kResultWeight = 0.15;
constexpr double kLatencyWeight = 0.1;
constexpr double kSlowdownWeight = 0.2;
constexpr double kSmallestSlowdown = 0.5;
constexpr double kLargestSlowdown = 20.0;
// Without new results an observation loses half of its effect in this time, so that a runner that
// was avoided is tried again.
constexpr double kForgetSeconds = 3.0;
constexpr core::Duration kFirstPause = milliseconds(250);
constexpr core::Duration kLongestPause = milliseconds(2000);
// A runner with a full queue finishes a few requests in this time.
constexpr core::Duration kFullPause = milliseconds(100);

double Faded(double value, core::TimePoint since, core::TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - since).count();
  return value * std::exp2(-std::max(seconds, 0.0) / kForgetSeconds);
}

}  // namespace

void RunnerHealth::OnSuccess(core::TimePoint now) {
  this->failures = this->failure_rate(now) * (1.0 - kResultWeight);
  this->last_result = now;
  this->pause = {};
}

void RunnerHealth::OnFailure(core::TimePoint now) {
  this->failures = this->failure_rate(now) * (1.0 - kResultWeight) + kResultWeight;
  this->last_result = now;
}

void RunnerHealth::OnUnreachable(core::TimePoint now) {
  if (now < this->paused_until) return;
  this->pause = std::clamp(this->pause * 2, kFirstPause, kLongestPause);
  this->paused_until = now + this->pause;
}

void RunnerHealth::OnFull(core::TimePoint now) {
  this->paused_until = std::max(this->paused_until, now + kFullPause);
}

void RunnerHealth::OnFirstEvent(core::TimePoint now, double ratio) {
  const double bounded = std::clamp(ratio, kSmallestSlowdown, kLargestSlowdown);
  this->mean_slowdown = this->slowdown(now) * (1.0 - kSlowdownWeight) + bounded * kSlowdownWeight;
  this->last_first_event = now;
}

void RunnerHealth::OnLatency(double milliseconds) {
  this->mean_latency_ms =
      this->mean_latency_ms == 0.0
          ? milliseconds
          : this->mean_latency_ms * (1.0 - kLatencyWeight) + milliseconds * kLatencyWeight;
}

bool RunnerHealth::IsUsable(core::TimePoint now) const { return now >= this->paused_until; }

double RunnerHealth::failure_rate(core::TimePoint now) const {
  return Faded(this->failures, this->last_result, now);
}

double RunnerHealth::slowdown(core::TimePoint now) const {
  return 1.0 + Faded(this->mean_slowdown - 1.0, this->last_first_event, now);
}

}  // namespace pomelospar::dispatch
