#ifndef POMELOSPAR_LIBRARIES_DISPATCH_ENTRY_RATE_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_ENTRY_RATE_H_

#include <optional>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Limits the rate of new connections of a router that has been overloaded for some time. The
/// platform chooses a router by a hash of the caller, so that one caller can open many times what a
/// small router serves. Without a limit each of these connections waits, and most callers give up
/// after their requests have used up processor time; a caller that is refused at once reaches
/// another router in time. The rate falls while the turns of the event loop are long and rises
/// while they are not, so that the processor stays busy without a long queue. A late timer would
/// not do as a sign: a process that is paused by a CPU quota has late timers and short turns.
class EntryRate {
 public:
  /// Call periodically with the time for which a handler waited for those that were ready before
  /// it.
  void OnTurn(core::TimePoint now, core::Duration turn);
  /// Call for each accepted connection.
  void OnAccepted();
  bool is_limited() const { return this->rate.has_value(); }
  /// Returns true if the limit, if there is one, admits one more connection now.
  bool MayAccept() const { return !this->rate || this->budget >= 1.0; }
  /// Connections per second; nothing without a limit.
  std::optional<double> limit() const { return this->rate; }

 private:
  std::optional<double> rate;
  /// Connections that may be accepted now.
  double budget = 0.0;
  /// Connections accepted since the last turn, and their smoothed number per second.
  double accepted = 0.0;
  double accepted_per_second = 0.0;
  std::optional<core::TimePoint> last_turn;
  /// When turns began to be long, with short ones between them, and when one was long for the last
  /// time.
  std::optional<core::TimePoint> long_since;
  core::TimePoint last_long{};
  /// When the limit was last reached, or a turn long.
  core::TimePoint last_needed{};
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_ENTRY_RATE_H_
