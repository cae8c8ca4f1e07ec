#ifndef POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_H_

#include <cstdint>
#include <string>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// What a runner says of itself in the directory of runners.
struct RunnerRecord {
  std::string id;
  std::string upstream;
  /// "ip:port".
  std::string address;
  std::string domain;
  unsigned slots = 0;
  /// It leaves and takes no new work.
  bool draining = false;
  /// Unix time of its start in milliseconds. A change means that it lost all its state; 0 if
  /// unknown.
  std::int64_t started_unix_ms = 0;

  bool operator==(const RunnerRecord&) const = default;
};

/// Equal for equal records, in all processes.
std::uint64_t HashOf(const RunnerRecord& record);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_H_
