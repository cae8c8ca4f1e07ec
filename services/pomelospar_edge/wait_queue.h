#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_WAIT_QUEUE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_WAIT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <list>

namespace pomelospar::edge {

/// A request that waits for a runner.
struct Waiter {
  /// Lower goes first; equal ones in order of arrival.
  int rank = 0;
  /// Tries to place the request; true if it was placed and the waiter is done.
  std::function<bool()> try_place;
};

/// Requests of this router that wait for a runner.
class WaitQueue {
 public:
  using Ticket = std::list<Waiter>::iterator;

  Ticket Add(Waiter waiter);
  void Remove(Ticket ticket);
  /// Tries the waiters in order. Those that are placed remain until they are removed.
  void TryAll();
  std::size_t size() const { return this->waiters.size(); }

 private:
  std::list<Waiter> waiters;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_WAIT_QUEUE_H_
