#include "libraries/dispatch/table_proof.h"

#include <algorithm>

namespace pomelospar::dispatch {
namespace {

// Limits the age of the proof that the last router of a large group holds.
constexpr std::size_t kMaxSteps = 4;

}  // namespace

ProofEffect CompareProofs(const std::optional<TableProof>& own,
                          const std::optional<TableProof>& peer) {
  if (!own || !peer) return ProofEffect::kNone;
  if (own->epoch != peer->epoch) {
    const bool is_later = own->epoch && peer->epoch && *peer->epoch > *own->epoch;
    return is_later ? ProofEffect::kOutdates : ProofEffect::kNone;
  }
  if (peer->at <= own->at) return ProofEffect::kNone;
  return peer->state == own->state ? ProofEffect::kConfirms : ProofEffect::kOutdates;
}

core::Duration PollAge(const PollSchedule& schedule, std::size_t rank) {
  if (rank == 0) return core::Duration::zero();
  const auto steps = static_cast<core::Duration::rep>(std::min(rank - 1, kMaxSteps));
  return schedule.second_poll_age + schedule.step * steps;
}

}  // namespace pomelospar::dispatch
