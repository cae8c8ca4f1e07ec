#ifndef POMELOSPAR_LIBRARIES_DISPATCH_SHARE_WINDOW_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_SHARE_WINDOW_H_

#include <array>
#include <cstdint>
#include <span>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Sum of the amounts added in a sliding window, which is divided into eight buckets.
class SlidingSum {
 public:
  explicit SlidingSum(core::Duration window);

  void Add(core::TimePoint now, double amount);
  double Sum(core::TimePoint now) const;

 private:
  static constexpr std::size_t kBuckets = 8;
  struct Bucket {
    std::int64_t number = -1;
    double sum = 0.0;
  };
  std::int64_t BucketNumber(core::TimePoint now) const;

  core::Duration bucket_length;
  std::array<Bucket, kBuckets> buckets{};
};

/// Returns the max-min fair level: the largest amount that each demand may receive so that the sum
/// of min(demand, level) does not exceed the capacity. Infinite if the capacity meets all demands.
double MaxMinLevel(std::span<const double> demands, double capacity);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_SHARE_WINDOW_H_
