#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_SUSPECT_ROW_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_SUSPECT_ROW_H_

#include <optional>
#include <string>
#include <string_view>

#include "libraries/core/clock.h"
#include "libraries/core/result.h"
#include "libraries/dispatch/crash_suspects.h"
#include "libraries/dispatch/store_position.h"

namespace pomelospar::edge {

/// The row of the store that keeps what crashes runners over a loss of all routers.
struct SuspectRow {
  /// The ages in it are those at `written_at`.
  dispatch::SuspectNews record;
  /// Time by the store's steady clock, and the epoch of that clock. Absent if the writer did not
  /// know it.
  std::optional<core::Duration> written_at;
  dispatch::StoreEpoch epoch;
};

std::string EncodeSuspectRow(const SuspectRow& row);

/// Errors: `kMalformed` if the value is not such a row, `kInvalidArgument` if it is one of a later
/// release, which must not be overwritten.
core::Result<SuspectRow> DecodeSuspectRow(std::string_view value);

/// Returns the record with the ages of the moment at which the store's clock showed `now`. If the
/// store has come back from an older copy since the row was written, the time between is not known,
/// and the ages stay as they are: a trial then comes late rather than early.
dispatch::SuspectNews RecordAt(const SuspectRow& row, std::optional<core::Duration> now,
                               dispatch::StoreEpoch epoch);

/// Returns true if both records name the same subjects with the same crashes and trials, whatever
/// their ages are.
bool HaveSameContent(const dispatch::SuspectNews& one, const dispatch::SuspectNews& other);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_SUSPECT_ROW_H_
