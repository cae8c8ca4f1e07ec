#include "services/pomelospar_edge/wait_queue.h"

#include <algorithm>
#include <utility>

namespace pomelospar::edge {
namespace {

// When so many in a row found no room, those behind them will find none either.
constexpr std::size_t kFailuresInARow = 6;

}  // namespace

WaitQueue::Ticket WaitQueue::Add(Waiter waiter) {
  const auto position = std::find_if(this->waiters.begin(), this->waiters.end(),
                                     [&](const Waiter& other) { return other.rank > waiter.rank; });
  return this->waiters.insert(position, std::move(waiter));
}

void WaitQueue::Remove(Ticket ticket) { this->waiters.erase(ticket); }

void WaitQueue::TryAll() {
  std::size_t failures = 0;
  for (auto& waiter : this->waiters) {
    if (!waiter.try_place) continue;
    if (waiter.try_place()) {
      waiter.try_place = nullptr;
      failures = 0;
    } else if (++failures >= kFailuresInARow) {
      break;
    }
  }
}

}  // namespace pomelospar::edge
