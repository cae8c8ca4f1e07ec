#ifndef POMELOSPAR_LIBRARIES_DISPATCH_STORE_EPOCHS_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_STORE_EPOCHS_H_

#include <cstdint>

#include "libraries/dispatch/store_position.h"

namespace pomelospar::dispatch {

/// The epoch of the store as its answers have shown it.
struct StoreEpochs {
  StoreEpoch current;
  /// False until the first answer.
  bool known = false;
  /// Number of changes of `current` after the first answer.
  std::uint64_t changes = 0;
};

enum class EpochEffect {
  kSame,
  /// The store has come back from an older copy; what was read before must be read again.
  kChanged,
  /// The answer is from before a return that another answer has already shown, and must not be
  /// used.
  kLate,
};

/// Records the epoch of an answer. `changes_when_sent` is the value that `changes` had when the
/// call was sent. An answer with a lower epoch, or without one, is late only if its call was sent
/// before the current epoch was known; otherwise it is what the store now says.
EpochEffect RecordEpoch(StoreEpochs& epochs, std::uint64_t changes_when_sent, StoreEpoch answered);

/// Returns from where to query the changes of a table that was read up to `read_up_to`. Nothing if
/// the table must be read whole: before the first read, and if that moment is of another epoch.
std::optional<StorePosition> ReadingPosition(const std::optional<StorePosition>& read_up_to,
                                             const StoreEpochs& epochs);

/// Returns true if an answer of the epoch `answered` holds all changes after the moment `from` that
/// was asked for. False if the store has come back from an older copy since: its version may have
/// been given out again, and what was written up to it is not in the answer. Always true for an
/// answer that holds the whole table.
bool HoldsAllChangesSince(const std::optional<StorePosition>& from, StoreEpoch answered);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_STORE_EPOCHS_H_
