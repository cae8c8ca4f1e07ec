#include "services/pomelospar_edge/wait_queue.h"

#include <algorithm>
#include <utility>

namespace pomelospar::edge {
namespace {

// Placing takes some microseconds for each; the rest is tried at the next event.
constexpr std::size_t kTriesAtOnce = 48;

}  // namespace

WaitQueue::Ticket WaitQueue::Add(Waiter waiter) {
  const auto position = std::find_if(this->waiters.begin(), this->waiters.end(),
                                     [&](const Waiter& other) { return other.rank > waiter.rank; });
  return this->waiters.insert(position, std::move(waiter));
}

void WaitQueue::Remove(Ticket ticket) { this->waiters.erase(ticket); }

void WaitQueue::TryAll() {
  std::size_t tries = 0;
  for (auto& waiter : this->waiters) {
    if (!waiter.try_place) continue;
    if (++tries > kTriesAtOnce) break;
    if (waiter.try_place()) waiter.try_place = nullptr;
  }
}

}  // namespace pomelospar::edge
