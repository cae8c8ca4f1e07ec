#ifndef POMELOSPAR_LIBRARIES_DISPATCH_POLICY_KNOWLEDGE_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_POLICY_KNOWLEDGE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "libraries/core/clock.h"
#include "libraries/dispatch/store_position.h"

namespace pomelospar::dispatch {

/// After the store has come back from an older copy, the operator writes again what the copy lacks.
/// For this time, what it is known to have written is taken as still in force.
inline constexpr core::Duration kOperatorRewriteTime = std::chrono::seconds(10);
/// Time in which a started router reads the key and the rows of the others and gets their reports.
inline constexpr core::Duration kPeerDiscovery = std::chrono::milliseconds(2000);

/// What the row of a router in the store says about configurations.
struct PolicyStatement {
  /// The epoch of the store in which the row was written. Another epoch than the current one shows
  /// that the store has come back from an older copy and that the writer has not told since what it
  /// knows. Absent in rows of routers that do not tell it.
  StoreEpoch epoch;
  /// Version of the newest configuration that the store lacked when the row was written; 0 if the
  /// writer knew of none.
  std::uint64_t newest = 0;
  /// Version of the row in the store.
  std::uint64_t row_version = 0;
};

/// The configuration that the store holds.
struct StoredPolicy {
  std::uint64_t version = 0;
  /// Version of its row in the store.
  std::uint64_t row_version = 0;
};

/// What one router knows about whether the store holds the newest configuration. The store may have
/// come back from an older copy, without the latest configuration. Routers that ran at that moment
/// know it; a router that starts later learns it from their reports and rows. The fleet's row names
/// the latest epoch in which a router knew: if it is of another epoch, none has told since. Until
/// one has, a started router awaits evidence, and what it reads from the store is not confirmed.
/// Times are since boot.
class PolicyKnowledge {
 public:
  /// `own_name` is the name of this router's row.
  explicit PolicyKnowledge(std::string own_name) : own_name(std::move(own_name)) {}

  /// Call when the store has told its epoch first, or another one. `is_current` is true if this
  /// router had a confirmed configuration just before; otherwise it has to learn from others
  /// whether there is a newer one.
  void OnEpoch(core::Duration now, StoreEpoch epoch, bool is_current);
  /// Records the row of a router, also that of the former process at this router's own address.
  void SetRow(core::Duration now, const std::string& name, const PolicyStatement& statement);
  void RemoveRow(const std::string& name);
  /// Records the row of the fleet, or that there is none.
  void SetFleetRow(const std::optional<PolicyStatement>& statement);
  /// Call after all rows of the current epoch were read; those that are not in `listed` are gone.
  void OnRowsRead(const std::set<std::string, std::less<>>& listed);
  /// Records that another router knows of a configuration. `is_confirmed` is true if it is sure
  /// that there was no newer one a moment ago.
  void OnReport(core::Duration now, const std::string& sender, std::uint64_t newest,
                bool is_confirmed);
  /// Records an answer of the store to a query that was sent at `asked_at`. `store_version` is the
  /// store's newest version at that moment.
  void OnStored(core::Duration now, core::Duration asked_at, const StoredPolicy& policy,
                std::uint64_t store_version);
  /// Records the configuration in force here.
  void OnInForce(core::Duration now, std::uint64_t version);

  /// True if it is not known yet whether there is a newer configuration than the store holds.
  bool IsAwaiting(core::Duration now);
  /// True while evidence is awaited although the store has certainly come back since some rows were
  /// written: what it holds is probably older.
  bool IsAwaitingAfterReturn(core::Duration now);
  /// False while the store lacks the newest configuration that is known. It then may lack a still
  /// newer one too. True again after `kOperatorRewriteTime`.
  bool StoreHoldsNewest(core::Duration now) const;
  /// True if another router has a newer configuration than this one, and the store lacks it.
  bool IsInForceOlder(core::Duration now) const;
  /// The version to tell other routers as the newest one.
  std::uint64_t NewestToTell(core::Duration now) const;
  /// What this router's row should say; the version of the row is not set. Nothing without epochs,
  /// as no reader could make use of it.
  PolicyStatement StatementForRow() const;
  /// True if this router knows enough to write the row of the fleet, and the row is missing or of
  /// another epoch.
  bool IsFleetRowOutdated(core::Duration now);
  std::uint64_t fleet_row_version() const {
    return this->fleet_row ? this->fleet_row->row_version : 0;
  }

  std::uint64_t stored_version() const { return this->stored ? this->stored->version : 0; }
  /// The newest version that is known, whoever has it.
  std::uint64_t newest_version() const { return std::max(this->in_force, this->told); }

 private:
  void RecordTold(core::Duration now, std::uint64_t version);
  /// Records that the store has come back if the row shows it.
  void CheckEpochOf(const PolicyStatement& statement);
  bool IsFleetRowCurrent() const;
  bool IsStoredInEpoch() const;
  bool EndsAwaiting(core::Duration now) const;
  /// Newest version that the store has or may have lost; 0 if it has lost none.
  std::uint64_t NewestLost() const;
  /// Records when the store was first known to lack the newest version.
  void CheckStored(core::Duration now);

  std::string own_name;
  StoreEpoch epoch;
  /// Since when evidence is awaited; unset if it is not. Set anew by the first answer of the store.
  std::optional<core::Duration> awaiting_since = core::Duration::zero();
  /// True if this process has awaited evidence since its start, so that it has no knowledge of its
  /// own. False for one that was cut off at a return of the store.
  bool has_just_started = true;
  bool has_seen_epoch = false;
  /// True if the store has come back while evidence was awaited, or since a row was written that
  /// was read in this epoch.
  bool has_seen_return = false;
  bool are_rows_read = false;
  std::map<std::string, PolicyStatement> rows;
  std::optional<PolicyStatement> fleet_row;
  /// Routers that have reported a confirmed configuration since `awaiting_since`.
  std::set<std::string> informants;
  std::optional<StoredPolicy> stored;
  /// When the query was sent whose answer showed it, and the store's version then.
  core::Duration stored_asked_at{};
  std::uint64_t stored_at_version = 0;
  /// The store's version at its first answer in this epoch: what has a later one was written since.
  std::optional<std::uint64_t> first_store_version;
  std::uint64_t in_force = 0;
  /// Newest version that a report or a row has told, and when it was first told.
  std::uint64_t told = 0;
  core::Duration told_at{};
  /// Since when the store is known to lack the version `missing_version`.
  std::optional<core::Duration> missing_since;
  std::uint64_t missing_version = 0;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_POLICY_KNOWLEDGE_H_
