#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_WAIT_QUEUE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_WAIT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <list>

namespace pomelospar::edge {

/// One request in the queue.
struct Waiter {
  /// Lower ranks are tried first; equal ranks in order of arrival.
  int rank = 0;
  /// Tries to place the request at a runner; returns true if it was placed. It is not called again
  /// after that.
  std::function<bool()> try_place;
};

/// Requests that wait because no runner had room for them, ordered by rank.
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
