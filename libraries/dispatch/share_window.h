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

/// The tokens of one request in the served tokens of its workspace. They count once, however often
/// the request is placed: while many runners are unreachable each request is placed several times,
/// and the served tokens would exceed all demand, so that every workspace seemed to be within its
/// share.
class RequestUse {
 public:
  explicit RequestUse(double tokens) : tokens(tokens) {}
  /// Adds the tokens unless they count already.
  void Count(SlidingSum& served, core::TimePoint now);
  /// Takes the tokens back from a workspace whose request did not run.
  void TakeBack(SlidingSum& served, core::TimePoint now);
  /// Tokens that the request would add to the use of its workspace.
  double uncounted_tokens() const { return this->is_counted ? 0.0 : this->tokens; }
  double all_tokens() const { return this->tokens; }

 private:
  double tokens = 0.0;
  bool is_counted = false;
};

/// Returns the max-min fair level: the largest amount that each demand may receive so that the sum
/// of min(demand, level) does not exceed the capacity. Infinite if the capacity meets all demands.
double MaxMinLevel(std::span<const double> demands, double capacity);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_SHARE_WINDOW_H_
