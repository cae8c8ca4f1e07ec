#ifndef POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_NOTICES_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_NOTICES_H_

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// What responses have shown about a runner. It holds for one run of the runner.
struct RunnerNotices {
  /// The runner shuts down and wants no new requests.
  bool leaving = false;
  /// Another runner answered at the address of the entry. Holds until the entry changes.
  bool misdirected = false;
  /// The runner wants no requests before this time.
  core::TimePoint rest_until{};
  /// True from the end of a rest until the runner has answered a request.
  bool must_prove_itself = false;
};

/// Records that the runner has turned a request away and wants none for `asked`. Longer times than
/// five minutes are shortened, so that no response takes a runner out of use for good.
void OnRest(RunnerNotices& notices, core::TimePoint now, core::Duration asked);

/// Records that the runner has answered a request and did not turn it away.
void OnServed(RunnerNotices& notices, core::TimePoint now);

bool IsResting(const RunnerNotices& notices, core::TimePoint now);

/// Returns true if a request may be sent to the runner on which this router has `active` requests
/// in progress. After a rest the runner gets one request before it gets more.
bool MaySend(const RunnerNotices& notices, core::TimePoint now, double active);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_NOTICES_H_
