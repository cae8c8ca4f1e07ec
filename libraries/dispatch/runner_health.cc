#include "libraries/dispatch/runner_health.h"

#include <algorithm>
#include <cmath>

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr double kResultWeight = 0.15;
constexpr double kLatencyWeight = 0.1;
constexpr double kSlowdownWeight = 0.2;
constexpr double kMinSlowdown = 0.5;
constexpr double kMaxSlowdown = 20.0;
// Without new results an observation loses half of its effect in this time, so that a runner that
// was avoided is tried again.
constexpr double kHalfLifeSeconds = 3.0;
constexpr core::Duration kInitialBackoff = milliseconds(250);
constexpr core::Duration kMaxBackoff = milliseconds(2000);
// A runner with a full queue finishes a few requests in this time.
constexpr core::Duration kFullBackoff = milliseconds(100);

double Decayed(double value, core::TimePoint since, core::TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - since).count();
  return value * std::exp2(-std::max(seconds, 0.0) / kHalfLifeSeconds);
}

}  // namespace

void RunnerHealth::OnSuccess(core::TimePoint now) {
  this->mean_failure_rate = this->failure_rate(now) * (1.0 - kResultWeight);
  this->last_result = now;
  this->backoff = {};
}

void RunnerHealth::OnFailure(core::TimePoint now) {
  this->mean_failure_rate = this->failure_rate(now) * (1.0 - kResultWeight) + kResultWeight;
  this->last_result = now;
}

void RunnerHealth::OnUnreachable(core::TimePoint now) {
  if (now < this->backoff_until) return;
  this->backoff = std::clamp(this->backoff * 2, kInitialBackoff, kMaxBackoff);
  this->backoff_until = now + this->backoff;
}

void RunnerHealth::OnFull(core::TimePoint now) {
  this->backoff_until = std::max(this->backoff_until, now + kFullBackoff);
}

void RunnerHealth::OnFirstEvent(core::TimePoint now, double ratio) {
  const double bounded = std::clamp(ratio, kMinSlowdown, kMaxSlowdown);
  this->mean_slowdown = this->slowdown(now) * (1.0 - kSlowdownWeight) + bounded * kSlowdownWeight;
  this->last_first_event = now;
}

void RunnerHealth::OnLatency(double milliseconds) {
  this->mean_latency_ms =
      this->mean_latency_ms == 0.0
          ? milliseconds
          : this->mean_latency_ms * (1.0 - kLatencyWeight) + milliseconds * kLatencyWeight;
}

bool RunnerHealth::IsUsable(core::TimePoint now) const { return now >= this->backoff_until; }

double RunnerHealth::failure_rate(core::TimePoint now) const {
  return Decayed(this->mean_failure_rate, this->last_result, now);
}

double RunnerHealth::slowdown(core::TimePoint now) const {
  return 1.0 + Decayed(this->mean_slowdown - 1.0, this->last_first_event, now);
}

}  // namespace pomelospar::dispatch
