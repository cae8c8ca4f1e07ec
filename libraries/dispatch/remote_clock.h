#ifndef POMELOSPAR_LIBRARIES_DISPATCH_REMOTE_CLOCK_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_REMOTE_CLOCK_H_

#include <optional>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Relates the local time since boot to the steady clock of a server that stamps its answers. The
/// stamp was made between the call and its answer, so both directions have bounds that hold however
/// late messages arrive. Answers the delay of proofs that travel through other routers.
class RemoteClock {
 public:
  /// Takes the stamp of one answer, with the local times of the call and of its answer.
  void Note(core::Duration asked_at, core::Duration answered_at, core::Duration stamp);
  /// The server's clock at a local time, at the earliest; nothing before the first answer.
  std::optional<core::Duration> EarliestRemote(core::Duration local) const;
  /// The local time at which the server's clock showed `remote`, at the earliest; nothing before
  /// the first answer.
  std::optional<core::Duration> EarliestLocal(core::Duration remote) const;

 private:
  bool known = false;
  /// Bounds of the local time minus the server's clock.
  core::Duration least_offset{};
  core::Duration greatest_offset{};
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_REMOTE_CLOCK_H_
