#include "libraries/metrics/distribution.h"

namespace pomelospar::metrics {

namespace accumulators = boost::accumulators;

// The underflow bin is bucket 0, whose upper bound is `lowest`. The axis therefore has one bin
// fewer than there are bounds.
Distribution::Distribution(const BucketRange& range)
    : buckets(Axis(kBucketBoundCount - 1, range.lowest, range.highest)) {}

void Distribution::Record(double value) {
  // The logarithmic axis would count a negative value or NaN in the overflow bucket.
  const double recorded = value > 0.0 ? value : 0.0;
  this->summary(recorded);
  this->buckets(recorded);
}

std::uint64_t Distribution::count() const { return accumulators::count(this->summary); }

double Distribution::sum() const { return accumulators::sum(this->summary); }

double Distribution::mean() const {
  return this->count() == 0 ? 0.0 : accumulators::mean(this->summary);
}

double Distribution::maximum() const {
  return this->count() == 0 ? 0.0 : accumulators::max(this->summary);
}

double Distribution::UpperBoundOf(std::size_t index) const {
  return this->buckets.axis(0).value(static_cast<double>(index));
}

std::uint64_t Distribution::CountIn(std::size_t index) const {
  return this->buckets.at(static_cast<int>(index) - 1);
}

}  // namespace pomelospar::metrics
