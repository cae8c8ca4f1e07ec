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

/// Groups requests that are expected to cost about the same; each key has its own average.
struct CostKey {
  core::WorkspaceId workspace{};
  core::ClassId request_class{};
  core::UpstreamId upstream{};

  bool operator==(const CostKey&) const = default;
};

std::size_t hash_value(const CostKey& key);

/// Returns the cost, in cost units, of one call with these token counts.
double CostOf(const configuration::CostUnits& units, std::uint64_t input_tokens,
              std::uint64_t output_tokens);

/// Estimates the cost of a request, in cost units, as a moving average of the costs of earlier
/// requests with the same key. Holds at most `maximum_entries` keys (at least 1); beyond that, the
/// key whose cost was recorded least recently is dropped.
class CostEstimator {
 public:
  explicit CostEstimator(std::size_t maximum_entries = 4096);

  /// Returns the average of the key, limited to the cost with `maximum_tokens` output tokens if
  /// that is set, because engines do not generate more. A key without an average gets the cost with
  /// `maximum_tokens` output tokens, or with 256 if that is not set.
  double Estimate(const CostKey& key, const configuration::CostUnits& units,
                  std::uint64_t input_tokens, std::optional<std::uint64_t> maximum_tokens) const;

  /// Adds the final cost, in cost units, of an answered request to the average of its key.
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
  /// Index 0: by key. Index 1: by the last call of `Record`, most recent first.
  Entries entries;
};

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_COST_ESTIMATOR_H_
