#ifndef POMELOSPAR_LIBRARIES_DISPATCH_REPORT_RELAY_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_REPORT_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace pomelospar::dispatch {

/// A router of another failure domain that may pass a report on to the routers of its domain.
struct RelayCandidate {
  std::string_view domain;
  /// It reported lately.
  bool live = false;
};

/// One router of each failure domain among the candidates, as positions in ascending order. Answers
/// a fleet of hundreds of routers, where a report to each of them would cross the border between
/// two domains hundreds of times. Relays take turns, so that one that is dead or cut off, and not
/// known to be, loses only its share of the reports and no agreement is needed. A domain without a
/// live candidate gets any of its own.
std::vector<std::size_t> ChooseRelays(std::span<const RelayCandidate> candidates,
                                      std::uint64_t turn);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_REPORT_RELAY_H_
