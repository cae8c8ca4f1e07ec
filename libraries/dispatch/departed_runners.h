#ifndef POMELOSPAR_LIBRARIES_DISPATCH_DEPARTED_RUNNERS_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_DEPARTED_RUNNERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libraries/core/clock.h"
#include "libraries/dispatch/runner.h"

namespace pomelospar::dispatch {

/// A run of a runner whose entry has left the directory.
struct DepartedRun {
  std::int64_t started_unix_ms = 0;
  /// The runner had said in a response that it shuts down.
  bool leaving = false;
  core::TimePoint at{};
};

/// Runs that have left lately, by the identifier of the runner. After the store has come back from
/// an older copy, their entries are in the directory again, although the runs do not come back.
struct DepartedRunners {
  std::map<std::string, DepartedRun> runs;
};

/// Departures are forgotten after this time, and the earliest ones beyond this number.
inline constexpr core::Duration kDepartureLifetime = std::chrono::minutes(10);
inline constexpr std::size_t kMaxDepartures = 4096;

/// Records that the run that the entry describes has left. Does nothing if the entry does not tell
/// its start, by which its runs are told apart.
void RecordDeparture(DepartedRunners& departed, const RunnerRecord& record, bool leaving,
                     core::TimePoint now);

/// Returns the departure of this run and forgets it; nothing if the run is not known to have left.
std::optional<DepartedRun> TakeDeparture(DepartedRunners& departed, const RunnerRecord& record,
                                         core::TimePoint now);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_DEPARTED_RUNNERS_H_
