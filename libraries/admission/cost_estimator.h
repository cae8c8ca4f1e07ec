#ifndef POMELOSPAR_LIBRARIES_ADMISSION_COST_ESTIMATOR_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_COST_ESTIMATOR_H_

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "libraries/configuration/configuration.h"

namespace pomelospar::admission {

/// Work that is expected to cost about the same.
struct CostKey {
  core::WorkspaceId workspace{};
  core::ClassId request_class{};
  core::UpstreamId upstream{};

  bool operator==(const CostKey&) const = default;
};

std::size_t hash_value(const CostKey& key);

/// The cost in cost units for these token counts.
double CostOf(const configuration::CostUnits& units, std::uint64_t input_tokens,
              std::uint64_t output_tokens);

/// Estimates the cost of a request, in cost units, by a moving average of what such requests cost
/// before. Keys that were not used for the longest time are dropped beyond the limit.
class CostEstimator {
 public:
  explicit CostEstimator(std::size_t maximum_entries = 4096);

  /// The average, but at most the cost with `maximum_tokens` output tokens, which engines do not
  /// exceed. Without an average: the cost with `maximum_tokens`, or with 256 output tokens.
  double Estimate(const CostKey& key, const configuration::CostUnits& units,
                  std::uint64_t input_tokens, std::optional<std::uint64_t> maximum_tokens) const;

  /// Records the settled cost of a request that was answered.
  void Record(const CostKey& key, double actual_cost);

  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    CostKey key;
    double average = 0.0;
  };
  using Entries = boost::multi_index_container<
      Entry,
      boost::multi_index::indexed_by<boost::multi_index::hashed_unique<
                                         boost::multi_index::member<Entry, CostKey, &Entry::key>>,
                                     boost::multi_index::sequenced<>>>;

  std::size_t maximum_entries;
  /// Index 0 by key, index 1 by last use.
  Entries entries;
};

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_COST_ESTIMATOR_H_
