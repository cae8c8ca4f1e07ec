#ifndef POMELOSPAR_LIBRARIES_DISPATCH_LOAD_SHEDDING_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_LOAD_SHEDDING_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "libraries/core/clock.h"
#include "libraries/dispatch/share_window.h"

namespace pomelospar::dispatch {

/// Chooses the requests that an overloaded router refuses: those of the workspaces that send it the
/// most, down to the max-min fair level of what it can serve. An even share of all requests would
/// refuse a workspace with few requests because of one that floods the router.
class LoadShedding {
 public:
  /// Counts a request and returns true if it is to be refused. `fraction` is the part of all
  /// requests to refuse, from 0 to 1.
  bool MustShed(core::TimePoint now, std::uint64_t workspace, double fraction);

 private:
  struct Arrivals {
    SlidingSum requests;
    /// Sum of the parts of the requests to refuse, less one for each that was refused. Spreads the
    /// refusals evenly instead of drawing them at random.
    double due = 0.0;
  };

  std::unordered_map<std::uint64_t, Arrivals> workspaces;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_LOAD_SHEDDING_H_
