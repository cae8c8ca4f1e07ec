#ifndef POMELOSPAR_LIBRARIES_DISPATCH_REPORT_RELAY_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_REPORT_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace pomelospar::dispatch {

/// A router of another failure domain that may forward a report to the routers of its domain.
struct RelayCandidate {
  std::string_view domain;
  /// True if a recent report of this router is known.
  bool live = false;
};

/// Chooses one router of each failure domain among the candidates. Returns their positions in
/// ascending order. In a fleet of hundreds of routers a report to every router would cross the
/// border between two domains hundreds of times. The relays rotate with `turn`, so that a relay
/// that is dead or unreachable, although the sender still regards it as live, loses only its share
/// of the reports, and the routers need not agree on a relay. In a domain without a live candidate,
/// all its candidates take turns.
std::vector<std::size_t> ChooseRelays(std::span<const RelayCandidate> candidates,
                                      std::uint64_t turn);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_REPORT_RELAY_H_
