#include "services/pomelospar_edge/wait_queue.h"

#include <algorithm>
#include <utility>

namespace pomelospar::edge {
namespace {

// After this many waiters in a row could not be placed, the others are not tried, since they would
// probably find no room either.
constexpr std::size_t kMaxFailuresInARow = 6;

}  // namespace

WaitQueue::Ticket WaitQueue::Add(Waiter waiter) {
  const auto position = std::find_if(
      this->waiters.begin(), this->waiters.end(),
      [&](const Waiter& other) { return dispatch::IsTriedBefore(waiter.context, other.context); });
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
    } else if (++failures >= kMaxFailuresInARow) {
      break;
    }
  }
}

}  // namespace pomelospar::edge
