#ifndef POMELOSPAR_SERVICES_POMELOSPARD_FAULT_INJECTION_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_FAULT_INJECTION_H_

#include <functional>
#include <memory>

#include "libraries/platform/platform_client.h"

namespace pomelospar::daemon {

/// Faults that tests inject on the admin port; `[faults] enabled` in the settings permits it.
struct FaultInjection {
  /// Calls to the platform fail as if it could not be reached.
  bool block_platform = false;
  /// Runs a function later on the I/O thread.
  std::function<void(std::function<void()>)> post;
};

/// A client whose calls fail with `kUnavailable` while the platform is blocked.
platform::PlatformClient WithFaults(const platform::PlatformClient& client,
                                    const std::shared_ptr<const FaultInjection>& faults);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_FAULT_INJECTION_H_
