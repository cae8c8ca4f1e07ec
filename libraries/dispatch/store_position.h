#ifndef POMELOSPAR_LIBRARIES_DISPATCH_STORE_POSITION_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_STORE_POSITION_H_

#include <compare>
#include <cstdint>
#include <optional>

namespace pomelospar::dispatch {

/// Number of times that the store has come back from an older copy of its content. The copy lacks
/// the latest writes, and the store gives out their versions again, so that versions and times of
/// its clock can be compared only within one epoch. Absent if the store did not tell it.
using StoreEpoch = std::optional<std::uint64_t>;

/// A moment in the history of the store. A later epoch is greater whatever the versions are.
struct StorePosition {
  StoreEpoch epoch;
  std::uint64_t version = 0;

  auto operator<=>(const StorePosition&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_STORE_POSITION_H_
