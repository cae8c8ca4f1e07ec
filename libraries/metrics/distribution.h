#ifndef POMELOSPAR_LIBRARIES_METRICS_DISTRIBUTION_H_
#define POMELOSPAR_LIBRARIES_METRICS_DISTRIBUTION_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstddef>
#include <cstdint>
#include <tuple>

namespace pomelospar::metrics {

/// Number of finite bucket bounds. One more bucket holds the values above the last bound.
inline constexpr std::size_t kBucketBoundCount = 12;

/// The range of the bucket bounds of a distribution. Bounds grow by a constant factor from `lowest`
/// to `highest`. Values below `lowest` count in the first bucket.
struct BucketRange {
  double lowest = 0.0;
  double highest = 0.0;
};

/// Count, sum, mean, maximum and histogram of the recorded values. Allocates no heap memory.
/// Quantile accumulators are not used, because the markers of each take about 500 bytes. A value
/// equal to a bound counts in the bucket above it.
class Distribution {
 public:
  explicit Distribution(const BucketRange& range);

  void Record(double value);

  std::uint64_t count() const;
  double sum() const;
  double mean() const;
  /// Zero if nothing was recorded.
  double maximum() const;
  /// Upper bound of the bucket `index`, which must be less than `kBucketBoundCount`.
  double UpperBoundOf(std::size_t index) const;
  /// Number of values in the bucket `index`, not cumulative. The bucket `kBucketBoundCount` holds
  /// the values above the last bound.
  std::uint64_t CountIn(std::size_t index) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                               boost::histogram::axis::null_type>;
  // Underflow, buckets, overflow.
  using Storage =
      boost::histogram::storage_adaptor<std::array<std::uint32_t, kBucketBoundCount + 1>>;
  using Buckets = boost::histogram::histogram<std::tuple<Axis>, Storage>;
  using Summary = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                 boost::accumulators::tag::mean, boost::accumulators::tag::max>>;

  Summary summary;
  Buckets buckets;
};

}  // namespace pomelospar::metrics

#endif  // POMELOSPAR_LIBRARIES_METRICS_DISTRIBUTION_H_
