#include "services/pomelospar_edge/store_sync.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>
#include <utility>

#include "libraries/core/identifiers.h"
#include "platform/documents.h"

namespace pomelospar::edge {
namespace {

namespace asio = boost::asio;
using core::LogLevel;
using std::chrono::milliseconds;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// Parts of the shortest time in which a change of the configuration must be in force: the store may
// hold a query for a quarter of it; a router that gets no proofs queries after the given share of
// it, and each further rank a step later.
constexpr int kPolicyWaitDivisor = 4;
constexpr int kPolicyStepDivisor = 30;
constexpr double kPolicyAgeShare = 0.7;
// A leaving runner must be known within 2 s, also if the router that queries for the others has
// just crashed.
constexpr dispatch::PollSchedule kRunnerSchedule = {
    .wait = milliseconds(300), .second_poll_age = milliseconds(1200), .step = milliseconds(100)};
// Together, the runners change the table several times a second.
constexpr core::Duration kRunnerPause = milliseconds(200);
// Time of two reports in a large fleet and their delays. After it, this router has missed a change
// of the directory and queries the store.
constexpr core::Duration kDirectoryRelayTime = milliseconds(600);
// Longer, because at the start of a fleet the entries change permanently.
constexpr core::Duration kRunnerFollowerPause = milliseconds(1000);
constexpr core::Duration kPolicyPause = milliseconds(50);
// The platform holds a query for at most 30 s. This table is not urgent: routers whose rows are not
// known yet are known by their reports.
constexpr dispatch::PollSchedule kRouterSchedule = {.wait = milliseconds(25000)};
// Pauses after a failed call. The router that queries for the others notices soon that the store
// answers again, and reports it. Calls of the others would only add to the load of a failing store.
constexpr core::Duration kFailurePause = milliseconds(300);
constexpr core::Duration kFollowerFailurePause = milliseconds(1000);
// Entries that lapsed during an outage of the store come back within about two seconds of its end.
constexpr core::Duration kRunnerReturnTime = milliseconds(1700);
// A router that has lost the store, and queries for the others, finds and reports within this time
// that the store answers again.
constexpr core::Duration kOutageReportTime = milliseconds(500);
// Pause after an answer from before a return of the store from an older copy.
constexpr core::Duration kLateAnswerPause = milliseconds(20);

}  // namespace

StoreSync::StoreSync(RouterState& router_state, adapter::StoreClient& client,
                     http::UpstreamPool& upstream_pool, PeerExchange& peer_exchange,
                     std::function<void()> policy_callback)
    : router(router_state),
      store(client),
      pool(upstream_pool),
      peers(peer_exchange),
      on_policy(std::move(policy_callback)),
      policy_watch(router_state.io, adapter::kOperatorTable),
      runner_watch(router_state.io, adapter::kRunnerTable),
      router_watch(router_state.io, kFleetTable),
      knowledge(router_state.settings.ip) {
  const auto& settings = this->router.settings;
  const auto limit = std::min(settings.key_revocation_limit, settings.configuration_limit);
  this->policy_watch.schedule = {
      .wait = limit / kPolicyWaitDivisor,
      .second_poll_age = std::chrono::duration_cast<core::Duration>(limit * kPolicyAgeShare),
      .step = limit / kPolicyStepDivisor};
  this->policy_watch.relayed = true;
  this->policy_watch.pause = kPolicyPause;
  this->policy_watch.follower_pause = kPolicyPause;
  this->policy_watch.apply = [this](const auto& rows, bool whole, core::Duration asked_at) {
    this->ApplyPolicy(rows, whole, asked_at);
  };
  this->runner_watch.schedule = kRunnerSchedule;
  this->runner_watch.relayed = true;
  this->runner_watch.pause = kRunnerPause;
  this->runner_watch.follower_pause = kRunnerFollowerPause;
  this->runner_watch.relay_timeout = kDirectoryRelayTime;
  this->runner_watch.apply = [this](const auto& rows, bool whole, core::Duration asked_at) {
    this->ApplyRunners(rows, whole, asked_at);
  };
  this->router_watch.schedule = kRouterSchedule;
  this->router_watch.apply = [this](const auto& rows, bool whole, core::Duration) {
    this->ApplyRouters(rows, whole);
  };
  this->peers.fill_report = [this](dispatch::PeerReport& report) {
    report.policy = this->policy_watch.proof;
    report.policy_version = this->knowledge.NewestToTell(this->router.clock.since_boot());
    report.policy_is_unconfirmed =
        !PolicyIsFresh(this->router, this->router.settings.key_revocation_limit);
    if (this->router.evacuations.position.version > 0) {
      report.evacuations = this->router.evacuations;
    }
    report.directory = this->runner_watch.proof;
    report.store_regained_at = this->runner_watch.regained_stamp;
    if (this->is_store_poller.value_or(false)) {
      report.directory_changes = this->directory_changes.Recent(this->router.clock.now());
    }
  };
  this->peers.on_report = [this](const auto& report) { this->OnReport(report); };
  this->store.on_epoch = [this](auto before, auto header) { this->OnEpoch(before, header); };
}

void StoreSync::Start() {
  asio::co_spawn(this->router.io, this->WatchTable(this->policy_watch), asio::detached);
  asio::co_spawn(this->router.io, this->WatchTable(this->runner_watch), asio::detached);
  asio::co_spawn(this->router.io, this->WatchTable(this->router_watch), asio::detached);
}

core::Duration StoreSync::Jitter(core::Duration longest) {
  const auto draw = core::CombineHashes(this->router.incarnation, ++this->draws);
  return longest / 2 + core::Duration(static_cast<std::int64_t>(
                           draw % static_cast<std::uint64_t>(longest.count() / 2)));
}

void StoreSync::RecordQueryFailure(TableWatch& watch, const core::Error& error) {
  if (watch.failing) return;
  watch.failing = true;
  this->router.log.Write(LogLevel::kWarning, "store_lost",
                         {{"table", watch.table}, {"error", error.message}});
}

void StoreSync::RecordQuerySuccess(TableWatch& watch) {
  if (!watch.failing) return;
  watch.failing = false;
  this->RecordReturn(watch);
  this->router.log.Write(LogLevel::kInfo, "store_regained", {{"table", watch.table}});
}

// Written without conditional expressions that contain co_await: g++ 12 destroys their temporaries
// twice.
asio::awaitable<core::Result<adapter::StoreRows>> StoreSync::QueryStore(
    const TableWatch& watch, std::optional<dispatch::StorePosition> position) {
  this->router.metrics
      .FindCounter("pomelospar_store_calls_total", "Reads of the platform's tables.",
                   {{"table", watch.table}})
      .Add();
  if (!position) return this->store.ReadTable(watch.table, kStoreCallTimeout);
  // For a relayed table, only the router that queries for the others lets the store hold the call
  // until the next change.
  const bool waits = !watch.relayed || this->is_store_poller.value_or(false);
  const auto wait = waits ? watch.schedule.wait : core::Duration::zero();
  return this->store.WaitForChanges(watch.table, position->version, wait, wait + kStoreCallTimeout);
}

void StoreSync::RecordAnswer(TableWatch& watch, const adapter::StoreRows& rows,
                             core::Duration asked_at) {
  watch.outdated_since.reset();
  watch.reread_due.reset();
  watch.answered_at = this->router.clock.now();
  watch.confirmed_at = std::max(watch.confirmed_at, asked_at);
  if (rows.stamp) {
    this->store_clock.Record(asked_at, this->router.clock.since_boot(), *rows.stamp);
  }
  if (rows.malformed_rows > 0) {
    this->router.log.Write(LogLevel::kWarning, "store_rows_malformed",
                           {{"table", watch.table}, {"count", std::uint64_t{rows.malformed_rows}}});
  }
}

bool StoreSync::ApplyAnswer(TableWatch& watch, std::optional<dispatch::StorePosition> position,
                            const adapter::StoreRows& rows, core::Duration asked_at) {
  if (!dispatch::HoldsAllChangesSince(position, rows.epoch)) return false;
  watch.lacked_proofs = watch.relayed && !watch.outdated_since &&
                        asked_at - watch.confirmed_at >= watch.schedule.second_poll_age;
  this->RecordAnswer(watch, rows, asked_at);
  this->RecordQuerySuccess(watch);
  watch.is_return = watch.read_epoch && *watch.read_epoch != rows.epoch;
  watch.read_epoch = rows.epoch;
  if (watch.is_return) this->RecordReturn(watch);
  watch.position = {rows.epoch, rows.version};
  watch.apply(rows, !position, asked_at);
  watch.is_return = false;
  watch.lacked_proofs = false;
  return true;
}

asio::awaitable<void> StoreSync::WatchTable(TableWatch& watch) {
  while (true) {
    if (watch.position && watch.relayed && !watch.failing) {
      co_await this->WaitUntilDue(watch);
    }
    const auto position = dispatch::ReadingPosition(watch.position, this->store.epochs());
    const auto asked_at = this->router.clock.since_boot();
    const auto rows = co_await this->QueryStore(watch, position);
    if (rows) {
      if (!this->ApplyAnswer(watch, position, rows.value(), asked_at)) continue;
      this->UpdateRole();
      watch.was_poller = this->is_store_poller.value_or(false);
      const bool first = !watch.relayed || watch.was_poller;
      watch.timer.expires_after(first ? watch.pause : watch.follower_pause);
    } else if (core::Is(rows.error(), core::ErrorKind::kNotFound)) {
      watch.position.reset();
      this->router.log.Write(LogLevel::kInfo, "store_history_dropped", {{"table", watch.table}});
      continue;
    } else if (core::Is(rows.error(), core::ErrorKind::kConflict)) {
      watch.timer.expires_after(kLateAnswerPause);
    } else {
      this->RecordQueryFailure(watch, rows.error());
      watch.timer.expires_after(
          this->Jitter(this->CanRelyOnOthers(watch) ? kFollowerFailurePause : kFailurePause));
    }
    co_await watch.timer.async_wait(kTuple);
  }
}

// True if a failed query need not be repeated soon: this router has the content it needs to serve,
// and the table is not urgent or another router queries it.
bool StoreSync::CanRelyOnOthers(const TableWatch& watch) const {
  if (!watch.relayed) return this->peers.has_key();
  return this->router.policy && this->router.runners_loaded && this->Rank() > 0;
}

void StoreSync::ApplyEvacuations(const adapter::StoreRows& rows, bool whole) {
  std::vector<dispatch::EvacuationRow> evacuations;
  const auto add = [&](const std::string& key, bool removed) {
    if (!key.starts_with(adapter::kEvacuationPrefix)) return;
    auto domain = key.substr(adapter::kEvacuationPrefix.size());
    if (!dispatch::IsValidDomainName(domain)) {
      this->router.log.Write(LogLevel::kWarning, "evacuation_malformed", {{"key", key}});
      return;
    }
    evacuations.push_back({std::move(domain), removed});
  };
  for (const auto& row : rows.rows) add(row.key, row.removed);
  for (const auto& evacuation : evacuations) {
    if (evacuation.removed) EndKeptEvacuation(this->router, evacuation.domain);
  }
  // The presence of the row requests the evacuation, whatever its value is.
  for (const auto& key : rows.unreadable_keys) add(key, false);
  const auto known = this->router.evacuations;
  AdoptEvacuations(this->router,
                   dispatch::AfterRows(known, evacuations, whole, {rows.epoch, rows.version}),
                   "store");
}

// The version of the configuration in force, unless there are evacuations or the store lacks it.
std::uint64_t StoreSync::PolicyState() const {
  auto state = this->router.policy->version;
  const auto evacuations = dispatch::HashOf(this->router.evacuations);
  if (evacuations != 0) state = core::CombineHashes(state, evacuations);
  if (this->knowledge.stored_version() < this->router.policy->version) {
    state = core::CombineHashes(state, this->knowledge.stored_version());
  }
  return state;
}

bool StoreSync::ApplyPolicyRow(const adapter::StoreRow& row) {
  auto policy = adapter::DecodePolicy(row.value);
  if (!policy) {
    this->router.log.Write(LogLevel::kError, "policy_malformed",
                           {{"error", policy.error().message}});
    return false;
  }
  const auto version = policy.value()->version;
  const auto known = this->router.policy ? this->router.policy->version : 0;
  const auto hash = core::HashName(row.value);
  this->stored_policy = {.version = version, .row_version = row.version};
  // A version whose write was lost may be given out again, with another content.
  const bool is_known = version == known && hash == this->policy_document_hash;
  if (this->router.policy && (version < known || is_known)) {
    if (version < known) {
      this->router.log.Write(LogLevel::kWarning, "policy_older_in_store",
                             {{"version", version}, {"in_force", std::uint64_t{known}}});
    }
    return true;
  }
  this->policy_document_hash = hash;
  this->router.policy = std::move(policy.value());
  this->router.log.Write(LogLevel::kInfo, "policy_in_force",
                         {{"version", version},
                          {"previous", std::uint64_t{known}},
                          {"store_version", row.version},
                          {"routes", std::uint64_t{this->router.policy->routes.size()}}});
  this->on_policy();
  return true;
}

void StoreSync::ConfirmPolicy(core::Duration at, std::string_view source) {
  if (at <= this->router.policy_confirmed_at) return;
  const auto now = this->router.clock.since_boot();
  if (!this->knowledge.StoreHoldsNewest(now)) return;
  if (this->knowledge.IsAwaiting(now)) return;
  this->router.policy_confirmed_at = at;
  this->router.policy_confirmed_by = source;
}

void StoreSync::ApplyPolicy(const adapter::StoreRows& rows, bool whole, core::Duration asked_at) {
  this->ApplyEvacuations(rows, whole);
  bool found = false;
  for (const auto& row : rows.rows) {
    if (row.key != adapter::kConfigurationKey || row.removed) continue;
    found = true;
    if (!this->ApplyPolicyRow(row)) return;
  }
  // Without a known configuration, or if the whole table was read and lacks the row, nothing is
  // confirmed.
  if (!this->router.policy || (!found && whole)) return;
  this->policy_asked_at = asked_at;
  this->router.policy_position = {rows.epoch, rows.version};
  const auto now = this->router.clock.since_boot();
  this->knowledge.OnInForce(now, this->router.policy->version);
  this->knowledge.OnStored(now, asked_at, this->stored_policy, rows.version);
  this->SetProof(this->policy_watch, this->PolicyState(), asked_at);
  this->CheckPolicyKnowledge();
}

dispatch::RunnerChange StoreSync::DecodeRunnerRow(const adapter::StoreRow& row) {
  dispatch::RunnerChange change = {.id = row.key};
  if (row.removed) return change;
  auto record = adapter::DecodeRunner(row.key, row.value);
  if (record) {
    change.record = std::move(record.value());
  } else {
    this->router.log.Write(LogLevel::kWarning, "runner_entry_malformed",
                           {{"runner", row.key}, {"error", record.error().message}});
  }
  return change;
}

void StoreSync::ApplyRunners(const adapter::StoreRows& rows, bool whole, core::Duration asked_at) {
  dispatch::DirectoryChange step;
  step.before = this->directory.state();
  const auto apply = [&](dispatch::RunnerChange change) {
    const bool is_new = this->ApplyRunner(change, "store");
    if (is_new) step.entries.push_back(std::move(change));
    return is_new;
  };
  if (whole) {
    std::set<std::string> listed;
    for (const auto& row : rows.rows) listed.insert(row.key);
    for (const auto& id : this->directory.MissingFrom(listed)) apply({.id = id});
    std::vector<std::string> lapsed;
    for (const auto& [id, runner] : this->router.runners) {
      if (!listed.contains(id)) lapsed.push_back(id);
    }
    for (const auto& id : lapsed) this->OnRunnerMissing(id);
  }
  for (const auto& row : rows.rows) {
    const bool is_changed = apply(this->DecodeRunnerRow(row));
    if (!whole && !row.removed) this->ConfirmEntry(row.key);
    this->RecordEntryVersion(row, is_changed);
  }
  IndexRunners(this->router);
  this->router.runners_loaded = true;
  step.after = this->directory.state();
  this->SetProof(this->runner_watch, step.after, asked_at);
  this->directory_changes.Record(this->router.clock.now(), std::move(step));
}

// Applies one changed entry. Returns false if the directory already held the same.
bool StoreSync::ApplyRunner(const dispatch::RunnerChange& change, std::string_view source) {
  const bool is_new = this->directory.Apply(change);
  if (!change.record) {
    this->OnRunnerMissing(change.id);
    return is_new;
  }
  const auto& record = *change.record;
  auto& runner = this->router.runners[change.id];
  const bool known = runner != nullptr;
  if (!known) {
    runner = std::make_shared<Runner>(this->router.prefix_index);
    runner->key = core::HashName(change.id);
    this->router.runners_by_key[runner->key] = runner;
  }
  runner->removal_due.reset();
  this->CheckOldEntry(*runner, record);
  if (known && runner->record == record) return is_new;
  const bool restarted = known && runner->record.started_unix_ms != record.started_unix_ms;
  if (restarted) {
    runner->prefixes.Clear();
    runner->health = {};
    runner->notices = {};
    runner->unconfirmed_until.reset();
  }
  if (known && runner->record.address != record.address) {
    this->pool.Forget(runner->record.address);
  }
  runner->notices.misdirected = false;
  runner->record = record;
  TellCold(this->router, *runner, std::chrono::milliseconds(record.cold_left_ms), source);
  this->router.log.Write(LogLevel::kInfo, "runner",
                         {{"runner", change.id},
                          {"upstream", record.upstream},
                          {"address", record.address},
                          {"domain", record.domain},
                          {"draining", record.draining},
                          {"restarted", restarted},
                          {"source", source}});
  return is_new;
}

// A runner that becomes cold again may write its entry anew without any difference. The other
// routers are not told of such a write, so the one that queries for them reports that the runner is
// cold. Another router may read the entry long after it was written.
void StoreSync::RecordEntryVersion(const adapter::StoreRow& row, bool is_changed) {
  const auto found = this->router.runners.find(row.key);
  if (found == this->router.runners.end() || row.version <= found->second->entry_version) return;
  auto& runner = *found->second;
  const bool is_known = std::exchange(runner.entry_version, row.version) != 0;
  if (!is_known || !this->runner_watch.was_poller) return;
  if (!is_changed && runner.record.cold_left_ms > 0) {
    ObserveCold(this->router, runner, milliseconds(runner.record.cold_left_ms), "entry_written");
  }
}

void StoreSync::OnRunnerMissing(const std::string& id) {
  const auto found = this->router.runners.find(id);
  if (found == this->router.runners.end()) return;
  auto& runner = *found->second;
  // An entry that is missing soon after an outage may have lapsed only because the runner could not
  // renew it.
  const auto now = this->router.clock.now();
  const auto back_by = this->runner_watch.regained_at + kRunnerReturnTime;
  runner.awaits_outage_report = now >= back_by && this->runner_watch.lacked_proofs;
  if (runner.record.draining || (now >= back_by && !runner.awaits_outage_report)) {
    this->RemoveRunner(id, "its entry was removed");
    return;
  }
  runner.removal_due = runner.awaits_outage_report ? now + kOutageReportTime : back_by;
}

void StoreSync::RemoveLapsedRunners() {
  const auto now = this->router.clock.now();
  std::vector<std::string> due;
  for (const auto& [id, runner] : this->router.runners) {
    if (runner->removal_due && *runner->removal_due <= now && !this->runner_watch.failing) {
      due.push_back(id);
    }
  }
  if (due.empty()) return;
  for (const auto& id : due) {
    auto& runner = *this->router.runners.at(id);
    if (runner.awaits_outage_report) {
      // Considers the outages that were reported since.
      runner.removal_due.reset();
      this->OnRunnerMissing(id);
    } else {
      this->RemoveRunner(id, "its entry did not come back in time");
    }
  }
  IndexRunners(this->router);
}

void StoreSync::RemoveRunner(const std::string& id, std::string_view reason) {
  const auto found = this->router.runners.find(id);
  if (found == this->router.runners.end()) return;
  this->router.log.Write(LogLevel::kInfo, "runner_removed", {{"runner", id}, {"reason", reason}});
  auto& runner = *found->second;
  const bool may_have_lapsed = runner.removal_due && !runner.unconfirmed_until;
  if (!may_have_lapsed || runner.notices.leaving) {
    dispatch::RecordDeparture(this->router.departed, runner.record, runner.notices.leaving,
                              this->router.clock.now());
  }
  runner.record.draining = true;
  this->pool.Forget(found->second->record.address);
  this->router.runners_by_key.erase(found->second->key);
  this->router.runners.erase(found);
}

}  // namespace pomelospar::edge
