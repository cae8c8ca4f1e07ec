#include "libraries/dispatch/retry_allowance.h"

namespace pomelospar::dispatch {
namespace {

// A sliding sum of eight buckets drops amounts up to an eighth of its window too early. Retries are
// kept for longer than requests, so that no window of the full length exceeds the limit.
core::Duration RetryWindow(core::Duration window) { return window * 8 / 7; }

}  // namespace

RetryAllowance::RetryAllowance(const RetryLimits& retry_limits)
    : limits(retry_limits),
      requests(retry_limits.window),
      retries(RetryWindow(retry_limits.window)) {}

void RetryAllowance::OnRequest(core::TimePoint now) { this->requests.Add(now, 1.0); }

bool RetryAllowance::TryRetry(core::TimePoint now) {
  const double allowed = this->limits.ratio * this->requests.Sum(now) + this->limits.slack;
  if (this->retries.Sum(now) + 1.0 > allowed) return false;
  this->retries.Add(now, 1.0);
  return true;
}

}  // namespace pomelospar::dispatch
