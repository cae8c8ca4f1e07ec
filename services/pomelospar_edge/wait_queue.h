#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_WAIT_QUEUE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_WAIT_QUEUE_H_

#include <functional>
#include <list>

#include "libraries/dispatch/admission.h"

namespace pomelospar::edge {

/// One request in the queue.
struct Waiter {
  /// Decides the position in the queue; see `dispatch::IsTriedBefore`.
  dispatch::AdmissionContext context;
  /// Tries to place the request at a runner; returns true if it was placed. It is not called again
  /// after that.
  std::function<bool()> try_place;
};

/// Requests that wait for one upstream because none of its runners had room for them, in the order
/// in which they are tried. Those that are equal in this order are tried in order of arrival.
class WaitQueue {
 public:
  using Ticket = std::list<Waiter>::iterator;

  Ticket Add(Waiter waiter);
  void Remove(Ticket ticket);
  /// Tries to place the waiting requests in order; stops after several failures in a row. Placed
  /// requests stay in the queue until `Remove`.
  void TryAll();
  std::size_t size() const { return this->waiters.size(); }

 private:
  std::list<Waiter> waiters;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_WAIT_QUEUE_H_
