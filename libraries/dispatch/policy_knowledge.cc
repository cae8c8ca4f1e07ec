#include "libraries/dispatch/policy_knowledge.h"

#include <algorithm>

namespace pomelospar::dispatch {

void PolicyKnowledge::OnEpoch(core::Duration now, StoreEpoch current, bool is_current) {
  this->epoch = current;
  this->are_rows_read = false;
  this->rows.clear();
  this->fleet_row.reset();
  this->first_store_version.reset();
  this->missing_since.reset();
  if (!this->awaiting_since && is_current) return;
  if (!this->awaiting_since) this->has_just_started = false;
  this->has_seen_return = this->has_seen_epoch;
  this->has_seen_epoch = true;
  this->awaiting_since = now;
  this->informants.clear();
}

void PolicyKnowledge::SetRow(core::Duration now, const std::string& name,
                             const PolicyStatement& statement) {
  this->rows[name] = statement;
  this->CheckEpochOf(statement);
  this->RecordTold(now, statement.newest);
}

void PolicyKnowledge::RemoveRow(const std::string& name) { this->rows.erase(name); }

void PolicyKnowledge::SetFleetRow(const std::optional<PolicyStatement>& statement) {
  this->fleet_row = statement;
  if (statement) this->CheckEpochOf(*statement);
}

void PolicyKnowledge::CheckEpochOf(const PolicyStatement& statement) {
  if (statement.epoch && statement.epoch != this->epoch) this->has_seen_return = true;
}

void PolicyKnowledge::OnRowsRead(const std::set<std::string, std::less<>>& listed) {
  this->are_rows_read = true;
  std::erase_if(this->rows, [&](const auto& row) { return !listed.contains(row.first); });
}

void PolicyKnowledge::OnReport(core::Duration now, const std::string& sender, std::uint64_t newest,
                               bool is_confirmed) {
  if (is_confirmed && this->awaiting_since) this->informants.insert(sender);
  this->RecordTold(now, newest);
}

void PolicyKnowledge::RecordTold(core::Duration now, std::uint64_t version) {
  if (version <= this->told) return;
  this->told = version;
  this->told_at = now;
  this->CheckStored(now);
}

void PolicyKnowledge::OnStored(core::Duration now, core::Duration asked_at,
                               const StoredPolicy& policy, std::uint64_t store_version) {
  if (!this->first_store_version) this->first_store_version = store_version;
  this->stored = policy;
  this->stored_asked_at = asked_at;
  this->stored_at_version = store_version;
  this->CheckStored(now);
}

void PolicyKnowledge::OnInForce(core::Duration now, std::uint64_t version) {
  this->in_force = version;
  this->CheckStored(now);
}

// What was told may have been written after the store was asked last, so only a later answer shows
// that the store lacks it.
void PolicyKnowledge::CheckStored(core::Duration now) {
  if (!this->stored) return;
  const auto newest = this->newest_version();
  if (this->stored->version >= newest) {
    this->missing_since.reset();
    return;
  }
  const bool is_told = newest == this->told && newest > this->in_force;
  if (is_told && this->stored_asked_at <= this->told_at) return;
  if (this->missing_since && this->missing_version == newest) return;
  this->missing_since = now;
  this->missing_version = newest;
}

bool PolicyKnowledge::IsFleetRowCurrent() const {
  return this->fleet_row && this->fleet_row->epoch == this->epoch;
}

// The operator writes its newest configuration. If it has written one in this epoch, the store has
// the newest.
bool PolicyKnowledge::IsStoredInEpoch() const {
  if (!this->stored || !this->first_store_version) return false;
  const auto row_version = this->stored->row_version;
  if (row_version > *this->first_store_version) return true;
  if (this->IsFleetRowCurrent() && this->fleet_row->row_version < row_version) return true;
  return std::any_of(this->rows.begin(), this->rows.end(), [&](const auto& row) {
    return row.second.epoch == this->epoch && row.second.row_version < row_version;
  });
}

bool PolicyKnowledge::EndsAwaiting(core::Duration now) const {
  // The store has not answered yet.
  if (!this->first_store_version) return false;
  // Returns of the store cannot be recognized.
  if (!this->epoch) return true;
  if (this->IsStoredInEpoch()) return true;
  const auto waited = now - *this->awaiting_since;
  if (waited >= kOperatorRewriteTime) return true;
  // The writer of the row may have learned what it knows from a configuration that was written
  // after the one that is known here.
  const bool is_row_evidence =
      this->IsFleetRowCurrent() && this->fleet_row->row_version <= this->stored_at_version;
  const bool has_evidence = is_row_evidence || !this->informants.empty();
  const bool may_await_operator = this->has_just_started && this->has_seen_return;
  if (!this->are_rows_read) return false;
  if (waited >= kPeerDiscovery && (has_evidence || !may_await_operator)) return true;
  if (!has_evidence) return false;
  return std::all_of(this->rows.begin(), this->rows.end(), [&](const auto& row) {
    return row.first == this->own_name || row.second.epoch == this->epoch ||
           this->informants.contains(row.first);
  });
}

bool PolicyKnowledge::IsAwaiting(core::Duration now) {
  if (this->awaiting_since && this->EndsAwaiting(now)) {
    this->awaiting_since.reset();
    this->informants.clear();
  }
  return this->awaiting_since.has_value();
}

bool PolicyKnowledge::IsAwaitingAfterReturn(core::Duration now) {
  return this->IsAwaiting(now) && this->has_just_started && this->has_seen_return;
}

bool PolicyKnowledge::StoreHoldsNewest(core::Duration now) const {
  if (this->stored_version() >= this->newest_version()) return true;
  return this->missing_since && now - *this->missing_since >= kOperatorRewriteTime;
}

bool PolicyKnowledge::IsInForceOlder(core::Duration now) const {
  return this->missing_since && this->missing_version > this->in_force &&
         !this->StoreHoldsNewest(now);
}

std::uint64_t PolicyKnowledge::NewestToTell(core::Duration now) const {
  return this->StoreHoldsNewest(now) ? std::max(this->in_force, this->stored_version())
                                     : this->newest_version();
}

// A version that the store does not hold yet because it was written a moment ago is left out:
// otherwise each change of the configuration would cost a write of each router.
std::uint64_t PolicyKnowledge::NewestLost() const {
  if (!this->first_store_version) return this->newest_version();
  auto newest = this->missing_since ? this->missing_version : 0;
  for (const auto& [name, row] : this->rows) newest = std::max(newest, row.newest);
  return newest > this->stored_version() ? newest : 0;
}

PolicyStatement PolicyKnowledge::StatementForRow() const {
  if (!this->epoch) return {};
  return {.epoch = this->epoch, .newest = this->NewestLost()};
}

bool PolicyKnowledge::IsFleetRowOutdated(core::Duration now) {
  return this->epoch && this->are_rows_read && !this->IsFleetRowCurrent() && !this->IsAwaiting(now);
}

}  // namespace pomelospar::dispatch
