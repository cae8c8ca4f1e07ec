#ifndef POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_H_

#include <cstdint>
#include <string>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Entry of a runner in the runner directory, written by the runner.
struct RunnerRecord {
  std::string id;
  std::string upstream;
  /// "ip:port".
  std::string address;
  std::string domain;
  unsigned slots = 0;
  /// The runner is shutting down and takes no new requests.
  bool draining = false;
  /// Unix time of the start of the runner in milliseconds, or 0 if unknown. A new value means that
  /// the runner lost all its state.
  std::int64_t started_unix_ms = 0;
  /// Time for which the runner was still cold when it wrote the entry, in milliseconds; see
  /// `ColdState`.
  std::uint64_t cold_left_ms = 0;

  bool operator==(const RunnerRecord&) const = default;
};

/// Returns a hash of all fields. Equal records have the same hash in all processes.
std::uint64_t HashOf(const RunnerRecord& record);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_H_
