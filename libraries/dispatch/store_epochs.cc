#include "libraries/dispatch/store_epochs.h"

namespace pomelospar::dispatch {

EpochEffect RecordEpoch(StoreEpochs& epochs, std::uint64_t changes_when_sent, StoreEpoch answered) {
  if (!epochs.known) {
    epochs.known = true;
    epochs.current = answered;
    return EpochEffect::kSame;
  }
  if (answered == epochs.current) return EpochEffect::kSame;
  if (answered < epochs.current && changes_when_sent != epochs.changes) return EpochEffect::kLate;
  epochs.current = answered;
  ++epochs.changes;
  return EpochEffect::kChanged;
}

std::optional<StorePosition> ReadingPosition(const std::optional<StorePosition>& read_up_to,
                                             const StoreEpochs& epochs) {
  if (!read_up_to || read_up_to->epoch != epochs.current) return std::nullopt;
  return read_up_to;
}

bool HoldsAllChangesSince(const std::optional<StorePosition>& from, StoreEpoch answered) {
  return !from || from->epoch == answered;
}

}  // namespace pomelospar::dispatch
