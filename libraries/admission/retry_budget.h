#ifndef POMELOSPAR_LIBRARIES_ADMISSION_RETRY_BUDGET_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_RETRY_BUDGET_H_

#include <cstdint>

#include "libraries/core/clock.h"

namespace pomelospar::admission {

/// A token bucket that limits retries to 10% of the requests plus one every two seconds, with a
/// burst of 10, so that retries do not multiply the load on an overloaded upstream.
class RetryBudget {
 public:
  explicit RetryBudget(core::TimePoint now);

  /// Counts a request that is not itself a retry.
  void OnRequest(core::TimePoint now);

  /// Takes one token for a retry. Returns false if less than one is left; the retry is then not
  /// permitted.
  bool TryRetry(core::TimePoint now);

  double tokens() const { return this->available; }
  /// Number of retries that were not permitted.
  std::uint64_t refused() const { return this->refusals; }

 private:
  void Refill(core::TimePoint now);

  double available = 0.0;
  core::TimePoint last_refill;
  std::uint64_t refusals = 0;
};

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_RETRY_BUDGET_H_
