#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_STORE_SYNC_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_STORE_SYNC_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/dispatch/policy_knowledge.h"
#include "libraries/dispatch/remote_clock.h"
#include "libraries/dispatch/runner_directory.h"
#include "libraries/dispatch/table_proof.h"
#include "libraries/http/upstream_pool.h"
#include "platform/store_client.h"
#include "services/pomelospar_edge/peer_exchange.h"
#include "services/pomelospar_edge/router_row.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// The table of this fleet in the store.
inline constexpr std::string_view kFleetTable = "pomelospar";
/// The users' data sheets state 4 ms for an answer; a call that takes longer than this is lost, or
/// the store is down.
inline constexpr core::Duration kStoreCallTimeout = std::chrono::milliseconds(700);

/// Keeps this router's configuration and its lists of runners and routers up to date with the
/// store. To spare the store, only one router of the fleet, or of each failure domain of a large
/// fleet, queries it permanently. The others use the proofs in that router's reports, and query the
/// store when a report tells of a change or when the proofs are missing.
class StoreSync {
 public:
  StoreSync(RouterState& router, adapter::StoreClient& store, http::UpstreamPool& pool,
            PeerExchange& peers, std::function<void()> on_policy);

  /// Starts to watch the tables of the store and adds this router's row.
  void Start();
  /// Removes this router's row, so that the others no longer send reports to it. Repeats the call
  /// until it succeeds or the process ends. The row stays if it says what the store and the routers
  /// that start later could not know without it.
  boost::asio::awaitable<void> Unregister();
  /// Checks whether the configuration in force may be confirmed, and writes this router's row again
  /// if it must say something else. Call several times a second.
  void UpdateKnowledge();
  /// Removes the rows of routers that ended without doing so. Call a few times a second; only the
  /// router that queries the store for the others does anything.
  void RemoveSilentRouters();
  /// Removes runners whose entries went missing in an outage of the store and did not come back in
  /// time. Call a few times a second.
  void RemoveLapsedRunners();

 private:
  /// State of one table that this router keeps up to date.
  struct TableWatch {
    TableWatch(boost::asio::io_context& io, std::string_view table_name)
        : table(table_name), timer(io) {}

    std::string table;
    /// From where the next query reads on. Absent before the first answer and if the table must be
    /// read whole.
    std::optional<dispatch::StorePosition> position;
    /// Epoch of the latest answer; absent before the first one.
    std::optional<dispatch::StoreEpoch> read_epoch;
    dispatch::PollSchedule schedule;
    /// True if proofs of other routers can replace this router's own queries of the table.
    bool relayed = false;
    /// Pause after an answer; bounds the rate of queries for a table that changes all the time.
    core::Duration pause{};
    /// The same for a router that queries after a change that another router has reported.
    core::Duration follower_pause{};
    std::function<void(const adapter::StoreRows&, bool whole, core::Duration asked_at)> apply;
    /// The known content of the table and the store's time at which it was the newest. It is sent
    /// to the other routers.
    std::optional<dispatch::TableProof> proof;
    /// Latest time since boot at which the known content was the newest, by an answer of the store
    /// or a proof of another router.
    core::Duration confirmed_at{};
    /// When this router learned that another one has newer content; unset if its own is up to date.
    std::optional<core::TimePoint> outdated_since;
    /// Time that other routers have to send a reported change before this one queries the store.
    core::Duration relay_timeout{};
    /// When to read the table whole after the store has come back from an older copy; unset if it
    /// has been read since.
    std::optional<core::TimePoint> reread_due;
    /// The reported state that made this router query the store last, and the time since boot at
    /// which it was reported.
    std::uint64_t outdating_state = 0;
    core::Duration outdated_at{};
    /// That state, if the store's answer did not show it.
    std::optional<std::uint64_t> disputed_state;
    /// When the store answered last.
    core::TimePoint answered_at{};
    /// Expires when it has to be checked whether a query of the store is due.
    boost::asio::steady_timer timer;
    /// Local time at which the store answered again after a failure.
    core::TimePoint regained_at{};
    /// The same time as `regained_at`, by the store's steady clock.
    std::optional<core::Duration> regained_stamp;
    bool failing = false;
    /// True while the first answer of a later epoch is applied.
    bool is_return = false;
    /// True while an answer is applied that was asked for because proofs were missing: the router
    /// that sends them has ended, or lost the store.
    bool lacked_proofs = false;
    /// True if this router queried for the others when it read the table last and has done so
    /// since.
    bool was_poller = false;
  };

  /// Queries the store: for changes after `position`, or without one for the whole table.
  boost::asio::awaitable<core::Result<adapter::StoreRows>> QueryStore(
      const TableWatch& watch, std::optional<dispatch::StorePosition> position);
  /// True if the table has been read in the current epoch of the store.
  bool IsReadInEpoch(const TableWatch& watch) const;
  /// Records and applies an answer to a query from `position`. Returns false if the answer is of
  /// another epoch than the position, so that the table must be read whole.
  bool ApplyAnswer(TableWatch& watch, std::optional<dispatch::StorePosition> position,
                   const adapter::StoreRows& rows, core::Duration asked_at);
  /// Records that the store has come back from an older copy. `header` is how it said so.
  void OnEpoch(dispatch::StoreEpoch before, std::string_view header);
  /// Reads the rows of the routers while the query of their watch may still be held by the store.
  boost::asio::awaitable<void> RereadRouters();
  /// Records that the entries of runners may be missing for a moment.
  void RecordReturn(TableWatch& watch);
  /// Keeps one table up to date until the process ends.
  boost::asio::awaitable<void> WatchTable(TableWatch& watch);
  boost::asio::awaitable<void> WaitUntilDue(TableWatch& watch);
  bool CanRelyOnOthers(const TableWatch& watch) const;
  void RecordAnswer(TableWatch& watch, const adapter::StoreRows& rows, core::Duration asked_at);
  /// Updates `is_store_poller` and logs a change of it. Returns the rank; the router with rank 0
  /// queries the store for the others.
  std::size_t UpdateRole();
  std::size_t Rank() const;
  void SetProof(TableWatch& watch, std::uint64_t state, core::Duration asked_at);
  void RecordStoreReturn(core::Duration stamp);
  void OnReport(const dispatch::PeerReport& report);
  std::optional<core::Duration> ApplyProof(TableWatch& watch,
                                           const std::optional<dispatch::TableProof>& proof,
                                           const std::string& sender);
  void RecordQueryFailure(TableWatch& watch, const core::Error& error);
  void RecordQuerySuccess(TableWatch& watch);
  boost::asio::awaitable<void> Register();
  /// Writes a key until this router or another one has written it, or this router stops.
  boost::asio::awaitable<void> ProposeKey();

  /// Takes over the failure domains that the operator has evacuated.
  void ApplyEvacuations(const adapter::StoreRows& rows, bool whole);
  /// Takes over the evacuated failure domains that another router reports.
  void ApplyReportedEvacuations(const dispatch::Evacuations& evacuations,
                                const std::string& sender);
  /// State of the operator's table in its proof.
  std::uint64_t PolicyState() const;
  /// Updates `policy_is_older`, and confirms the configuration in force as of the latest answer of
  /// the store if nothing speaks against it any more.
  void CheckPolicyKnowledge();
  /// Takes over a configuration that the store holds, unless it is known or older. Returns false
  /// if it cannot be decoded.
  bool ApplyPolicyRow(const adapter::StoreRow& row);
  /// Records that the configuration in force was the newest at a time since boot. `source` is
  /// "store" or the name of the router that proved it.
  void ConfirmPolicy(core::Duration at, std::string_view source);
  void ApplyPolicy(const adapter::StoreRows& rows, bool whole, core::Duration asked_at);
  void ApplyRunners(const adapter::StoreRows& rows, bool whole, core::Duration asked_at);
  dispatch::RunnerChange DecodeRunnerRow(const adapter::StoreRow& row);
  bool ApplyRunner(const dispatch::RunnerChange& change, std::string_view source);
  /// Keeps a run that was known to leave from being used because of an entry of the store's copy.
  /// Call before the runner takes over the entry `record`.
  void CheckOldEntry(Runner& runner, const dispatch::RunnerRecord& record);
  /// Records that a runner's entry was written in the current epoch.
  void ConfirmEntry(const std::string& id);
  /// Applies the reported changes of the runner directory that follow on this router's content.
  void ApplyDirectoryChanges(const dispatch::PeerReport& report);
  /// Removes a runner from the router state. Call `IndexRunners` after the last removal.
  void RemoveRunner(const std::string& id, std::string_view reason);
  /// Call when the runner's entry is missing. Removes the runner at once, or with a delay if the
  /// entry may have gone missing in an outage of the store.
  void OnRunnerMissing(const std::string& id);
  /// Records the version of a runner's entry after the entry was applied. `is_changed` is false if
  /// it was written without a change.
  void RecordEntryVersion(const adapter::StoreRow& row, bool is_changed);
  void ApplyRouters(const adapter::StoreRows& rows, bool whole);
  void RemoveUnlistedRouters(const adapter::StoreRows& rows);
  /// This router's row as it should be now.
  RouterRow OwnRow() const;
  /// True if the row that this router has written must say something else.
  bool IsRowOutdated() const;
  boost::asio::awaitable<core::Result<std::uint64_t>> WriteOwnRow();
  /// Writes the current epoch into the row of the fleet.
  boost::asio::awaitable<void> WriteEpochRow();
  /// True if the row must outlast this process: it may be the only witness of a return of the store
  /// or of a configuration that the store has lost.
  bool MustLeaveRow() const;
  /// Adds this router's row at the start, or again after it was removed by another router or lost
  /// by the store, or if it must say something else.
  void StartRegistration();
  boost::asio::awaitable<void> RemoveRows(std::vector<ListedPeer> silent);
  /// Pseudo-random time of at least half of `longest` and less than `longest`.
  core::Duration Jitter(core::Duration longest);

  RouterState& router;
  adapter::StoreClient& store;
  http::UpstreamPool& pool;
  PeerExchange& peers;
  std::function<void()> on_policy;
  TableWatch policy_watch;
  TableWatch runner_watch;
  TableWatch router_watch;
  /// Of the current epoch only.
  dispatch::RemoteClock store_clock;
  /// The configuration that the store held when it was read last, and the hash of its document.
  dispatch::StoredPolicy stored_policy;
  std::uint64_t policy_document_hash = 0;
  /// When the operator's table was asked for by the latest call that was answered, since boot.
  core::Duration policy_asked_at{};
  /// Whether that answer held the newest configuration, by what other routers tell.
  dispatch::PolicyKnowledge knowledge;
  /// The entries of runners as the store lists them. A runner whose entry lapsed during an outage
  /// is missing here while `router` still has it.
  dispatch::RunnerDirectory directory;
  /// Recent changes of the directory, which this router reports while it queries for the others.
  dispatch::DirectoryChangeLog directory_changes;
  /// True if this router queries the store permanently; unset until its rank is first computed.
  std::optional<bool> is_store_poller;
  /// The row as this router has written it last; absent until then, and after its removal by
  /// another router.
  std::optional<RouterRow> written_row;
  /// True while this router's row is to be written: at the start, after the store has lost it or
  /// another router has removed it, and while `Register` runs.
  bool is_row_missing = true;
  /// True while `WriteEpochRow` runs.
  bool is_writing_epoch = false;
  /// True while `Register` runs.
  bool is_registering = false;
  /// True while `RemoveRows` runs.
  bool is_removing_silent = false;
  /// True if the store holds a key for reports, as far as this router has read.
  bool key_is_stored = false;
  /// True while `ProposeKey` runs.
  bool is_proposing_key = false;
  /// Number of calls of `Jitter`.
  std::uint64_t draws = 0;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_STORE_SYNC_H_
