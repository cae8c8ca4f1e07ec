#include "libraries/dispatch/share_window.h"

#include <algorithm>
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

double SlidingSum::Sum(core::TimePoint now) const {
  const auto oldest = this->BucketNumber(now) - static_cast<std::int64_t>(kBuckets) + 1;
  double sum = 0.0;
  for (const auto& bucket : this->buckets) {
    if (bucket.number >= oldest) sum += bucket.sum;
  }
  return sum;
}

void RequestUse::Count(SlidingSum& served, core::TimePoint now) {
  if (std::exchange(this->is_counted, true)) return;
  served.Add(now, this->tokens);
}

void RequestUse::TakeBack(SlidingSum& served, core::TimePoint now) {
  if (!std::exchange(this->is_counted, false)) return;
  served.Add(now, -this->tokens);
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
