#ifndef POMELOSPAR_LIBRARIES_DISPATCH_EVACUATIONS_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_EVACUATIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "libraries/dispatch/store_position.h"

namespace pomelospar::dispatch {

/// Failure domains whose runners get no requests because the operator has evacuated them.
struct Evacuations {
  /// Moment of the store at which these domains were evacuated; version 0 before the first read. A
  /// later moment is newer, whoever read it.
  StorePosition position;
  std::set<std::string, std::less<>> domains;
};

/// Limits what a faulty writer of the operator's table can make a router keep and report.
inline constexpr std::size_t kMaxEvacuatedDomains = 64;
inline constexpr std::size_t kMaxDomainNameBytes = 200;
/// Limit of all names together. Each report carries them, and 64 names of 200 bytes would leave too
/// little of a datagram for the rest of it.
inline constexpr std::size_t kMaxDomainNamesBytes = 2048;

/// A row of the operator's table that requests or withdraws an evacuation.
struct EvacuationRow {
  std::string domain;
  bool removed = false;
};

/// Returns true if a domain of this name can be evacuated.
bool IsValidDomainName(std::string_view domain);

/// Returns `known` after the rows read at `position`. `whole` is true if the rows are the whole
/// table; otherwise they are changes since an earlier read. Invalid names and domains beyond
/// `kMaxEvacuatedDomains` or `kMaxDomainNamesBytes` are left out.
Evacuations AfterRows(const Evacuations& known, std::span<const EvacuationRow> rows, bool whole,
                      StorePosition position);

/// Returns true if `other` was read later than `known`.
bool IsNewer(const Evacuations& other, const Evacuations& known);

/// Returns a hash of the domains; 0 if there are none.
std::uint64_t HashOf(const Evacuations& evacuations);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_EVACUATIONS_H_
