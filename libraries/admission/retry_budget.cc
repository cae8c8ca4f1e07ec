#include "libraries/admission/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace pomelospar::admission {
namespace {

constexpr double kRetriesPerRequest = 0.1;
// Permits retries on a router whose traffic is too low to earn tokens from requests.
constexpr double kRetriesPerSecond = 0.5;
// Limits the burst of retries after a quiet period to about the number of slots of one shard
// (5 runners).
constexpr double kMaximumTokens = 10.0;

}  // namespace

RetryBudget::RetryBudget(core::TimePoint now) : available(kMaximumTokens), last_refill(now) {}

void RetryBudget::Refill(core::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - this->last_refill;
  const double added = std::max(0.0, elapsed.count()) * kRetriesPerSecond;
  this->available = std::min(kMaximumTokens, this->available + added);
  this->last_refill = std::max(now, this->last_refill);
}

void RetryBudget::OnRequest(core::TimePoint now) {
  this->Refill(now);
  this->available = std::min(kMaximumTokens, this->available + kRetriesPerRequest);
}

bool RetryBudget::TryRetry(core::TimePoint now) {
  this->Refill(now);
  if (this->available < 1.0) {
    this->refusals += 1;
    return false;
  }
  this->available -= 1.0;
  return true;
}

}  // namespace pomelospar::admission
