#ifndef POMELOSPAR_LIBRARIES_DISPATCH_RETRY_ALLOWANCE_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_RETRY_ALLOWANCE_H_

#include "libraries/core/clock.h"
#include "libraries/dispatch/share_window.h"

namespace pomelospar::dispatch {

struct RetryLimits {
  /// Retries as a fraction of the requests in the window.
  double ratio = 0.0;
  /// Retries that this router may make beyond that fraction.
  double slack = 0.0;
  core::Duration window = std::chrono::seconds(10);
};

/// Limits how often one router retries requests to an upstream. Each router stays within the limit
/// for its own requests, so the whole fleet does as well, without any messages between routers.
class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryLimits& limits);

  void OnRequest(core::TimePoint now);
  /// Counts one retry and returns true, or returns false if the window already holds as many
  /// retries as are allowed.
  bool TryRetry(core::TimePoint now);

 private:
  RetryLimits limits;
  SlidingSum requests;
  SlidingSum retries;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_RETRY_ALLOWANCE_H_
