#ifndef POMELOSPAR_LIBRARIES_DISPATCH_SHARE_WINDOW_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_SHARE_WINDOW_H_

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Sum of the amounts added in a sliding window, which is divided into eight buckets.
class SlidingSum {
 public:
  explicit SlidingSum(core::Duration window);

  void Add(core::TimePoint now, double amount);
  double Sum(core::TimePoint now) const;
  /// Returns the sum that the window will have if amounts go on as in its latest part. It shows a
  /// load that has just begun before the window is full of it.
  double Forecast(core::TimePoint now) const;

 private:
  static constexpr std::size_t kBuckets = 8;
  struct Bucket {
    std::int64_t number = -1;
    double sum = 0.0;
  };
  std::int64_t BucketNumber(core::TimePoint now) const;
  double SumOfLatest(core::TimePoint now, std::size_t buckets) const;

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

/// Limits the tokens that one router sends to engines for one workspace to this router's part of
/// the workspace's share. It answers a flood that enters by all routers: each of them knows what
/// the others served only from their reports, so that a limit on the sum would be exceeded by all
/// of them at the same time. The balance of one router is known without delay.
class ShareAllowance {
 public:
  /// Returns false before `Begin` and after `Suspend`.
  bool is_active() const { return this->refilled_at.has_value(); }
  /// Call when a limit comes into force. `balance` is negative if more than that was sent before.
  void Begin(core::TimePoint now, double balance);
  /// Call while nothing limits the workspace. What is sent meanwhile does not count.
  void Suspend() { this->refilled_at.reset(); }
  /// Adds the tokens of the time since `Begin` or the last call. `rate` is in tokens per second;
  /// the balance does not exceed `burst` tokens.
  void Refill(core::TimePoint now, double rate, double burst);
  /// Returns the time until the next request may be sent; zero if one may be sent now. A request
  /// may be sent while the balance is not negative, whatever its size.
  core::Duration TimeUntilAllowed() const;
  void Take(double tokens) { this->balance -= tokens; }
  void GiveBack(double tokens) { this->balance += tokens; }

 private:
  std::optional<core::TimePoint> refilled_at;
  double rate = 0.0;
  double balance = 0.0;
};

/// Demand of one workspace over the fleet, in tokens in the share window.
struct ShareDemand {
  double asked = 0.0;
  /// See `SlidingSum::Forecast`.
  double forecast = 0.0;
};

/// Returns the tokens for which each workspace competes. A forecast counts only beyond an equal
/// part of the capacity: below it a demand does not limit others, and the forecast of a few
/// requests varies much.
std::vector<double> CompetingDemands(std::span<const ShareDemand> demands, double capacity);

/// Returns true if a router of a large fleet must report at once, and to all failure domains, what
/// it has sent to engines since its last report. It answers a flood that begins at all routers at
/// the same moment: until they know each other's demand no level limits it, and one period of
/// reports is enough to fill the queues of all engines. Once there is a level, the usual reports
/// suffice.
bool MustReportSurge(double share_level, double unreported_tokens);

/// Returns the max-min fair level: the largest amount that each demand may receive so that the sum
/// of min(demand, level) does not exceed the capacity. Infinite if the capacity meets all demands.
double MaxMinLevel(std::span<const double> demands, double capacity);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_SHARE_WINDOW_H_
