#include "libraries/dispatch/share_window.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

namespace pomelospar::dispatch {

SlidingSum::SlidingSum(core::Duration window)
    : bucket_length(std::max<core::Duration>(window / kBuckets, std::chrono::milliseconds(1))) {}

std::int64_t SlidingSum::BucketNumber(core::TimePoint now) const {
  return now.time_since_epoch() / this->bucket_length;
}

void SlidingSum::Add(core::TimePoint now, double amount) {
  const auto number = this->BucketNumber(now);
  auto& bucket = this->buckets[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.number != number) bucket = {number, 0.0};
  bucket.sum += amount;
}

double SlidingSum::SumOfLatest(core::TimePoint now, std::size_t count) const {
  const auto oldest = this->BucketNumber(now) - static_cast<std::int64_t>(count) + 1;
  double sum = 0.0;
  for (const auto& bucket : this->buckets) {
    if (bucket.number >= oldest) sum += bucket.sum;
  }
  return sum;
}

double SlidingSum::Sum(core::TimePoint now) const { return this->SumOfLatest(now, kBuckets); }

double SlidingSum::Forecast(core::TimePoint now) const {
  // The latest bucket is incomplete, so one more is added to a quarter of them.
  constexpr std::size_t kRecent = kBuckets / 4 + 1;
  const double scale = static_cast<double>(kBuckets) / static_cast<double>(kRecent);
  return scale * this->SumOfLatest(now, kRecent);
}

void RequestUse::Count(SlidingSum& served, core::TimePoint now) {
  if (std::exchange(this->is_counted, true)) return;
  served.Add(now, this->tokens);
}

void RequestUse::TakeBack(SlidingSum& served, core::TimePoint now) {
  if (!std::exchange(this->is_counted, false)) return;
  served.Add(now, -this->tokens);
}

void ShareAllowance::Begin(core::TimePoint now, double tokens) {
  this->refilled_at = now;
  this->balance = tokens;
}

void ShareAllowance::Refill(core::TimePoint now, double new_rate, double burst) {
  const auto since = this->refilled_at.value_or(now);
  const double seconds = std::chrono::duration<double>(now - since).count();
  this->balance = std::min(this->balance + new_rate * seconds, burst);
  this->refilled_at = now;
  this->rate = new_rate;
}

core::Duration ShareAllowance::TimeUntilAllowed() const {
  constexpr double kLongestSeconds = 60.0;
  if (this->balance >= 0.0) return core::Duration::zero();
  const double seconds =
      this->rate > 0.0 ? std::min(-this->balance / this->rate, kLongestSeconds) : kLongestSeconds;
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

std::vector<double> CompetingDemands(std::span<const ShareDemand> demands, double capacity) {
  const double equal_part =
      capacity / static_cast<double>(std::max<std::size_t>(demands.size(), 1));
  std::vector<double> tokens;
  tokens.reserve(demands.size());
  for (const auto& demand : demands) {
    const bool is_large = demand.forecast > equal_part;
    tokens.push_back(is_large ? std::max(demand.asked, demand.forecast) : demand.asked);
  }
  return tokens;
}

bool MustReportSurge(double share_level, double unreported_tokens) {
  // What one router of a large fleet sends in most of a second under a usual load.
  constexpr double kSurgeTokens = 20'000.0;
  return std::isinf(share_level) && unreported_tokens >= kSurgeTokens;
}

double MaxMinLevel(std::span<const double> demands, double capacity) {
  std::vector<double> sorted(demands.begin(), demands.end());
  std::sort(sorted.begin(), sorted.end());
  double remaining = capacity;
  auto count = static_cast<double>(sorted.size());
  for (const double demand : sorted) {
    if (demand * count > remaining) return remaining / count;
    remaining -= demand;
    count -= 1.0;
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace pomelospar::dispatch
