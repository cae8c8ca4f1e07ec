#ifndef POMELOSPAR_LIBRARIES_DISPATCH_CONNECTION_BACKLOG_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_CONNECTION_BACKLOG_H_

#include <cstddef>
#include <deque>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// New connections whose first request has not been read yet. It answers a load that a caller sends
/// over hundreds of connections at once, all of them to one router because the platform chooses it
/// by a hash of the caller. The router reads and places few requests at a time on a small part of a
/// core, and without a limit it begins with all of them, so that all of them are late. A connection
/// that is refused at once, before anything is read, costs a tenth of a request, and the caller's
/// retry reaches another router in time.
class ConnectionBacklog {
 public:
  /// `processor_share` is the part of a core that this process gets, or more than 1 for several
  /// times the speed of one. `max_delay` is the longest time for which a new connection may wait to
  /// be read. No connection is refused if either is zero.
  void SetLimits(double processor_share, core::Duration max_delay) {
    this->share = processor_share;
    this->delay_limit = max_delay;
  }

  /// Returns true if a connection that arrives at `now` is read within the limit, and counts it
  /// then. `overdue` is the time for which other work of this process is already late.
  bool TryAdd(core::TimePoint now, core::Duration overdue);
  /// Call when the first request of a connection has been read.
  void OnFirstRequest(core::TimePoint now);

 private:
  bool is_limited() const {
    return this->share > 0.0 && this->delay_limit > core::Duration::zero();
  }
  void DropIdle(core::TimePoint now);

  double share = 0.0;
  core::Duration delay_limit{};
  /// When the connections were accepted, oldest first. Not kept without a limit.
  std::deque<core::TimePoint> accepted;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_CONNECTION_BACKLOG_H_
