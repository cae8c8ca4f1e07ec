#ifndef POMELOSPAR_LIBRARIES_ADMISSION_RETRY_BUDGET_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_RETRY_BUDGET_H_

#include <cstdint>

#include "libraries/core/clock.h"

namespace pomelospar::admission {

/// A token bucket that limits retries to 10% of requests plus one in two seconds, so that retries
/// cannot multiply the load of an overloaded upstream.
class RetryBudget {
 public:
  explicit RetryBudget(core::TimePoint now);

  /// Counts a request that is not itself a retry.
  void OnRequest(core::TimePoint now);

  /// Takes one retry from the budget; false if there is none.
  bool TryRetry(core::TimePoint now);

  double tokens() const { return this->available; }
  std::uint64_t refused() const { return this->refusals; }

 private:
  void Refill(core::TimePoint now);

  double available = 0.0;
  core::TimePoint last_refill;
  std::uint64_t refusals = 0;
};

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_RETRY_BUDGET_H_
