#ifndef POMELOSPAR_LIBRARIES_DISPATCH_REMOTE_CLOCK_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_REMOTE_CLOCK_H_

#include <optional>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Converts between the local time since boot and the steady clock of a server that puts timestamps
/// in its answers. A timestamp was taken between the call and its answer, so the offset of the
/// clocks has a lower and an upper bound that hold however late messages arrive. Routers need this
/// to tell the age of table proofs that reach them through other routers.
class RemoteClock {
 public:
  /// Updates the bounds with the timestamp of one answer. `asked_at` and `answered_at` are the
  /// local times of the call and of its answer.
  void Record(core::Duration asked_at, core::Duration answered_at, core::Duration stamp);
  /// Returns the earliest time that the server's clock may show at the local time `local`; nothing
  /// before the first answer.
  std::optional<core::Duration> EarliestRemote(core::Duration local) const;
  /// Returns the earliest local time at which the server's clock may have shown `remote`; nothing
  /// before the first answer.
  std::optional<core::Duration> EarliestLocal(core::Duration remote) const;

 private:
  bool known = false;
  /// Bounds of the local time minus the server's clock.
  core::Duration least_offset{};
  core::Duration greatest_offset{};
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_REMOTE_CLOCK_H_
