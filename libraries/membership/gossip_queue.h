#ifndef POMELOSPAR_LIBRARIES_MEMBERSHIP_GOSSIP_QUEUE_H_
#define POMELOSPAR_LIBRARIES_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "libraries/core/clock.h"

namespace pomelospar::membership {

/// Addresses of routers whose state changed and must still be sent to other routers. The queue does
/// not hold the state, which is read from the member list when it is sent.
class GossipQueue {
 public:
  /// Adds the address, or resets its age and its count of transmissions.
  void Add(const std::string& address, core::TimePoint now);
  void Remove(const std::string& address) { this->entries.erase(address); }

  /// Returns up to `limit` addresses, those sent least often first, and counts each as sent once
  /// more. An address leaves the queue after it was sent `transmissions` times or after 15 s. Older
  /// updates are not needed, because routers that missed one find it by comparing digests, and the
  /// return of a whole failure domain must not fill the probes for minutes.
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
