#include "libraries/admission/cost_estimator.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>

namespace pomelospar::admission {
namespace {

// With this weight the average adapts to a change of cost within about ten requests, while a single
// outlier moves it by only an eighth of the difference.
constexpr double kWeightOfNewest = 1.0 / 8.0;

// Output tokens assumed for a request that sets no token limit and whose key has no average yet.
constexpr std::uint64_t kDefaultOutputTokens = 256;

}  // namespace

std::size_t hash_value(const CostKey& key) {
  std::size_t seed = 0;
  boost::hash_combine(seed, core::Raw(key.workspace));
  boost::hash_combine(seed, core::Raw(key.request_class));
  boost::hash_combine(seed, core::Raw(key.upstream));
  return seed;
}

double CostOf(const configuration::CostUnits& units, std::uint64_t input_tokens,
              std::uint64_t output_tokens) {
  return units.per_call + units.per_input_token * static_cast<double>(input_tokens) +
         units.per_output_token * static_cast<double>(output_tokens);
}

CostEstimator::CostEstimator(std::size_t maximum_entries)
    : maximum_entries(std::max<std::size_t>(1, maximum_entries)) {}

double CostEstimator::Estimate(const CostKey& key, const configuration::CostUnits& units,
                               std::uint64_t input_tokens,
                               std::optional<std::uint64_t> maximum_tokens) const {
  const double limit = CostOf(units, input_tokens, maximum_tokens.value_or(kDefaultOutputTokens));
  const auto found = this->entries.get<0>().find(key);
  if (found == this->entries.get<0>().end()) {
    return limit;
  }
  return maximum_tokens.has_value() ? std::min(limit, found->average) : found->average;
}

void CostEstimator::Record(const CostKey& key, double actual_cost) {
  auto& by_key = this->entries.get<0>();
  auto& by_use = this->entries.get<1>();
  const auto found = by_key.find(key);
  if (found != by_key.end()) {
    by_key.modify(found, [&](Entry& entry) {
      entry.average += kWeightOfNewest * (actual_cost - entry.average);
    });
    by_use.relocate(by_use.begin(), this->entries.project<1>(found));
    return;
  }
  by_use.push_front(Entry{key, actual_cost});
  if (by_use.size() > this->maximum_entries) {
    by_use.pop_back();
  }
}

}  // namespace pomelospar::admission
