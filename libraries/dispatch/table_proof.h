#ifndef POMELOSPAR_LIBRARIES_DISPATCH_TABLE_PROOF_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_TABLE_PROOF_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Evidence that a table of the store had this content at this time. Routers pass it on, so that
/// one of them asks the store for all.
struct TableProof {
  /// Version or hash of the content.
  std::uint64_t state = 0;
  /// By the store's steady clock.
  core::Duration at{};
};

enum class ProofEffect {
  kNone,
  /// The router's content was still the newest at the peer's time.
  kConfirms,
  /// The table has changed since the router's own proof.
  kOutdates,
};

/// What a peer's proof says about a router's own.
ProofEffect Judge(const std::optional<TableProof>& own, const std::optional<TableProof>& peer);

/// When a router asks the store about a table.
struct AskSchedule {
  /// How long the store may keep the call of the first router waiting for a change.
  core::Duration wait{};
  /// Age of the proof at which the second router asks by itself.
  core::Duration longest_age{};
  /// Added for each further router, so that the proof of one spares the others the call.
  core::Duration step{};
};

/// Age of the proof at which the router with this rank asks; zero for the first, which asks always.
core::Duration AskAge(const AskSchedule& schedule, std::size_t rank);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_TABLE_PROOF_H_
