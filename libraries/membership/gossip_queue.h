#ifndef POMELOSPAR_LIBRARIES_MEMBERSHIP_GOSSIP_QUEUE_H_
#define POMELOSPAR_LIBRARIES_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "libraries/core/clock.h"

namespace pomelospar::membership {

/// The addresses whose state is still to be passed on. The state itself is read when it is sent.
class GossipQueue {
 public:
  /// Starts over the count of this address.
  void Add(const std::string& address, core::TimePoint now);
  void Remove(const std::string& address) { this->entries.erase(address); }

  /// Up to `limit` addresses, those sent least often first, and counts them as sent. An address
  /// leaves the queue after `transmissions`, or when it is too old to be news: digests find what
  /// was missed, and a domain that comes back must not occupy the probes for minutes.
  std::vector<std::string> Take(std::size_t limit, std::size_t transmissions, core::TimePoint now);

  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::size_t sent = 0;
    core::TimePoint added;
  };
  std::map<std::string, Entry> entries;
};

}  // namespace pomelospar::membership

#endif  // POMELOSPAR_LIBRARIES_MEMBERSHIP_GOSSIP_QUEUE_H_
