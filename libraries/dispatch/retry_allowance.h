#ifndef POMELOSPAR_LIBRARIES_DISPATCH_RETRY_ALLOWANCE_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_RETRY_ALLOWANCE_H_

#include "libraries/core/clock.h"
#include "libraries/dispatch/share_window.h"

namespace pomelospar::dispatch {

struct RetryLimits {
  /// Retries as a share of the requests in the window.
  double ratio = 0.0;
  /// Retries of this router beyond the share.
  double slack = 0.0;
  core::Duration window = std::chrono::seconds(10);
};

/// Bounds how often one router sends a request once more to an upstream. Each router keeps within
/// its own requests, so the sum over all routers keeps the bound of the fleet without messages.
class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryLimits& limits);

  void OnRequest(core::TimePoint now);
  /// Takes one retry; false if the window holds as many as are allowed.
  bool TryRetry(core::TimePoint now);

 private:
  RetryLimits limits;
  SlidingSum requests;
  SlidingSum retries;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_RETRY_ALLOWANCE_H_
