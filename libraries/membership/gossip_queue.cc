#include "libraries/membership/gossip_queue.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pomelospar::membership {
namespace {

// At three probes a second, an update reaches all of 370 routers within about 6 s.
constexpr core::Duration kMaximumAge = std::chrono::seconds(15);

}  // namespace

void GossipQueue::Add(const std::string& address, core::TimePoint now) {
  this->entries[address] = Entry{.sent = 0, .added = now};
}

std::vector<std::string> GossipQueue::Take(std::size_t limit, std::size_t transmissions,
                                           core::TimePoint now) {
  std::erase_if(this->entries, [&](const auto& entry) {
    return entry.second.sent >= transmissions || now - entry.second.added > kMaximumAge;
  });
  std::vector<std::pair<const std::string, Entry>*> order;
  order.reserve(this->entries.size());
  for (auto& entry : this->entries) {
    order.push_back(&entry);
  }
  const auto count = std::min(limit, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
                    [](const auto* left, const auto* right) {
                      return left->second.sent != right->second.sent
                                 ? left->second.sent < right->second.sent
                                 : left->second.added > right->second.added;
                    });
  order.resize(count);
  std::vector<std::string> taken;
  taken.reserve(count);
  for (auto* entry : order) {
    ++entry->second.sent;
    taken.push_back(entry->first);
  }
  return taken;
}

}  // namespace pomelospar::membership
