#ifndef POMELOSPAR_LIBRARIES_DISPATCH_TABLE_PROOF_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_TABLE_PROOF_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "libraries/core/clock.h"
#include "libraries/dispatch/store_position.h"

namespace pomelospar::dispatch {

/// States that a table of the store had this content at this time. Routers forward it to each
/// other, so that one of them polls the store on behalf of all.
struct TableProof {
  /// Version or hash of the content.
  std::uint64_t state = 0;
  /// Time by the store's steady clock.
  core::Duration at{};
  /// The epoch of that clock.
  StoreEpoch epoch;
};

enum class ProofEffect {
  kNone,
  /// The router's content was still current at the time of the peer's proof.
  kConfirms,
  /// The table has changed since the router's own proof, or the store has come back from an older
  /// copy since, so that the router cannot know whether it has.
  kOutdates,
};

/// Compares a peer's proof with the router's own one. A proof of an earlier epoch, and one of which
/// only one side knows the epoch, has no effect.
ProofEffect CompareProofs(const std::optional<TableProof>& own,
                          const std::optional<TableProof>& peer);

/// Schedule by which the routers poll the store for changes of a table.
struct PollSchedule {
  /// How long the store may hold the call of the first router while it waits for a change.
  core::Duration wait{};
  /// Age of the proof at which the second router polls the store itself.
  core::Duration second_poll_age{};
  /// Added to that age for each further router, so that the proof of one router saves the others
  /// the call.
  core::Duration step{};
};

/// Returns the age of the proof at which the router with this rank polls the store; zero for the
/// first router, which always polls.
core::Duration PollAge(const PollSchedule& schedule, std::size_t rank);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_TABLE_PROOF_H_
