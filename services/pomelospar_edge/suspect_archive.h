#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_SUSPECT_ARCHIVE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_SUSPECT_ARCHIVE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>

#include "libraries/core/clock.h"
#include "libraries/dispatch/crash_suspects.h"
#include "libraries/dispatch/remote_clock.h"
#include "libraries/dispatch/store_position.h"
#include "platform/store_client.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// Keeps the suspects of crashes in one row of the store, so that a fleet whose routers were all
/// killed at once does not let the same request crash runners again. Each router reads the row at
/// its start. The first router of the fleet by name writes it when a quarantine begins or ends, at
/// most once a second, and again when the store has come back from an older copy. A router that is
/// about to send a trial writes it before that. All else the routers learn by reports.
class SuspectArchive {
 public:
  SuspectArchive(RouterState& state, adapter::StoreClient& store);

  /// Begins to read the row. Nothing is served before it was read, or could not be read for some
  /// time although the store has told the configuration.
  void Start();
  /// Writes the row if it is due and this router's turn. Call several times a second.
  void Update();

 private:
  /// True if this router is the one that writes the row for the fleet.
  bool IsWriter() const;
  /// Writes the row at once, whichever router's turn it is. Returns false if that fails.
  boost::asio::awaitable<bool> SaveNow();
  boost::asio::awaitable<void> Load();
  boost::asio::awaitable<void> Save(dispatch::SuspectNews record);
  /// Reads the row if it must be read, and writes it if it must say something else.
  boost::asio::awaitable<void> LoadAndSave();
  /// Updates `RouterState::awaits_suspects`.
  void CheckAwaited();
  /// Adds what the row tells, read in this epoch, to what this router knows.
  void Restore(dispatch::StoreEpoch epoch);
  /// What the row should say.
  dispatch::SuspectNews MakeRecord() const;
  /// True if the row says something else than the record, or its ages are those of another epoch.
  bool MustSave(const dispatch::SuspectNews& record) const;

  RouterState& state;
  adapter::StoreClient& store;
  /// When a configuration was first seen in force while the row was awaited.
  std::optional<core::TimePoint> policy_seen_at;
  dispatch::RemoteClock store_clock;
  /// Content, epoch and version of the row as far as it is known; version 0 if there is none.
  dispatch::SuspectNews stored;
  dispatch::StoreEpoch stored_epoch;
  std::uint64_t stored_version = 0;
  /// Value of `StoreEpochs::changes` when the row was read last.
  std::uint64_t read_changes = 0;
  /// True if the row must be read before it is written.
  bool must_read = true;
  /// True after the row was read once, so that only the writer reads it again.
  bool has_read = false;
  /// True if a later release wrote the row.
  bool is_foreign = false;
  /// True while a call is in progress.
  bool is_busy = false;
  core::TimePoint next_call{};
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_SUSPECT_ARCHIVE_H_
