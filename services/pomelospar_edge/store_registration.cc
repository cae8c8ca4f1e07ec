// The parts of StoreSync that keep the rows of the routers and the key of their reports.

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>
#include <utility>

#include "libraries/core/identifiers.h"
#include "services/pomelospar_edge/store_sync.h"

namespace pomelospar::edge {
namespace {

namespace asio = boost::asio;
using core::LogLevel;
using std::chrono::milliseconds;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// The row with the key that authenticates reports, and the prefix of the rows of the routers.
constexpr std::string_view kKeyRow = "key";
constexpr std::string_view kRouterRowPrefix = "router/";
// The row that names the latest epoch of the store in which a router knew whether the store lacks a
// configuration.
constexpr std::string_view kEpochRow = "epoch";

constexpr core::Duration kRouterPauseWithoutKey = milliseconds(200);
// Routers that start together register within the first pause. The pause doubles after each answer.
constexpr core::Duration kFirstRouterPause = milliseconds(1500);
constexpr core::Duration kLongestRouterPause = milliseconds(20000);
// Longest pause after a failed proposal of the key. Once the store accepts writes, routers must
// exchange reports within 3 s. Each router of the fleet may propose, so that a shorter pause would
// add to the load of a failing store.
constexpr core::Duration kKeyProposalPause = milliseconds(2000);
// Pause after a failed write of the row of the epoch.
constexpr core::Duration kEpochRowPause = milliseconds(2000);
// Longest pause after a failed call that adds or removes this router's row.
constexpr core::Duration kRegistrationPause = milliseconds(1000);
// A router that was not heard of for this time has ended without removing its row, which would
// count it among the routers of its domain for ever. If it lives, it adds its row again. Longer
// than the cuts between routers that are expected.
constexpr core::Duration kSilentRouterTime = std::chrono::seconds(60);

std::string RouterRowKey(std::string_view name) {
  return std::string(kRouterRowPrefix).append(name);
}

std::string RandomKey() {
  return fmt::format("{:016x}{:016x}{:016x}{:016x}", core::RandomNonZero(), core::RandomNonZero(),
                     core::RandomNonZero(), core::RandomNonZero());
}

}  // namespace

void StoreSync::ApplyRouters(const adapter::StoreRows& rows, bool whole) {
  if (whole) {
    this->key_is_stored = false;
    this->knowledge.SetFleetRow(std::nullopt);
  }
  const auto now = this->router.clock.since_boot();
  bool key_removed = false;
  for (const auto& row : rows.rows) {
    if (row.key == kKeyRow) {
      this->key_is_stored = !row.removed;
      key_removed = row.removed;
      if (!row.removed) this->peers.SetKey(row.value);
      continue;
    }
    if (row.key == kEpochRow) {
      const auto epoch = row.removed ? std::nullopt : DecodeEpochRow(row.value);
      this->knowledge.SetFleetRow(
          epoch ? std::optional(dispatch::PolicyStatement{epoch, 0, row.version}) : std::nullopt);
      continue;
    }
    if (!row.key.starts_with(kRouterRowPrefix)) continue;
    const auto name = row.key.substr(kRouterRowPrefix.size());
    const auto entry = row.removed ? std::nullopt : DecodeRouterRow(row.value);
    if (entry) {
      this->knowledge.SetRow(now, name, {entry->epoch, entry->newest_policy, row.version});
    } else {
      this->knowledge.RemoveRow(name);
    }
    if (name == this->router.settings.ip) {
      if (row.removed && this->written_row) this->is_row_missing = true;
    } else if (entry) {
      this->peers.SetPeer(name, entry->address, entry->domain, row.version);
    } else {
      this->peers.RemovePeer(name);
    }
  }
  if (whole) this->RemoveUnlistedRouters(rows);
  // Writes this router's row only now that the one of the former process at its address is known.
  this->UpdateKnowledge();
  if (!this->peers.has_key()) {
    this->router_watch.pause = kRouterPauseWithoutKey;
  } else {
    this->router_watch.pause =
        std::clamp(this->router_watch.pause * 2, kFirstRouterPause, kLongestRouterPause);
  }
  // Routers that have a key keep using it after its row was removed, and write it again when they
  // read the whole table next. A router that starts before that proposes another one.
  const bool is_needed = whole || (key_removed && !this->peers.has_key());
  if (is_needed && !this->key_is_stored && !this->is_proposing_key) {
    this->is_proposing_key = true;
    asio::co_spawn(this->router.io, this->ProposeKey(), asio::detached);
  }
}

void StoreSync::RemoveUnlistedRouters(const adapter::StoreRows& rows) {
  std::set<std::string, std::less<>> listed;
  for (const auto& row : rows.rows) {
    if (row.key.starts_with(kRouterRowPrefix) && !row.removed) {
      listed.insert(row.key.substr(kRouterRowPrefix.size()));
    }
  }
  this->peers.RemovePeersExcept(listed);
  this->knowledge.OnRowsRead(listed);
  if (!listed.contains(this->router.settings.ip) && this->written_row) this->is_row_missing = true;
}

RouterRow StoreSync::OwnRow() const {
  const auto statement = this->knowledge.StatementForRow();
  return {.address = this->peers.address(),
          .domain = this->router.settings.domain,
          .epoch = statement.epoch,
          .newest_policy = statement.newest};
}

// A row that still names a configuration which the store holds by now needs no further write.
bool StoreSync::IsRowOutdated() const {
  if (!this->written_row) return false;
  const auto statement = this->knowledge.StatementForRow();
  return this->written_row->epoch != statement.epoch ||
         this->written_row->newest_policy < statement.newest;
}

void StoreSync::StartRegistration() {
  // The registration before may still be on its way.
  if (this->is_registering || this->router.stop) return;
  // The row tells whether the store lacks a configuration. Until the store has answered, all that
  // this router knows would look lost.
  if (!this->IsReadInEpoch(this->policy_watch)) return;
  this->is_registering = true;
  this->router.log.Write(LogLevel::kInfo, "registration",
                         {{"again", this->written_row.has_value()}});
  this->written_row.reset();
  this->is_row_missing = true;
  asio::co_spawn(this->router.io, this->Register(), asio::detached);
}

bool StoreSync::MustLeaveRow() const {
  if (!this->store.epochs().current || !this->policy_watch.position) return false;
  const auto now = this->router.clock.since_boot();
  return !this->IsReadInEpoch(this->policy_watch) || !this->knowledge.StoreHoldsNewest(now);
}

asio::awaitable<void> StoreSync::WriteEpochRow() {
  const auto epoch = this->store.epochs().current;
  const adapter::ConditionalWrite write = {
      .table = std::string(kFleetTable),
      .key = std::string(kEpochRow),
      .value = EncodeEpochRow(epoch),
      .expected_version = static_cast<std::int64_t>(this->knowledge.fleet_row_version())};
  const auto written = co_await this->store.Write(write, kStoreCallTimeout);
  this->router.log.Write(LogLevel::kInfo, "epoch_written",
                         {{"error", written ? std::string() : written.error().message}});
  if (written) {
    this->knowledge.SetFleetRow(dispatch::PolicyStatement{epoch, 0, written.value()});
  } else {
    // If another router has written the row, the watch reads it meanwhile.
    const bool is_conflict = core::Is(written.error(), core::ErrorKind::kConflict);
    asio::steady_timer timer(this->router.io, is_conflict ? kLongestRouterPause : kEpochRowPause);
    co_await timer.async_wait(kTuple);
  }
  this->is_writing_epoch = false;
}

void StoreSync::RemoveSilentRouters() {
  if (this->is_removing_silent || this->router_watch.failing || !this->written_row) return;
  // The versions of the rows must be of the current epoch.
  if (!this->IsReadInEpoch(this->router_watch)) return;
  if (this->router.stop || !this->is_store_poller.value_or(false)) return;
  auto silent = this->peers.SilentListedPeers(kSilentRouterTime);
  if (silent.empty()) return;
  this->is_removing_silent = true;
  asio::co_spawn(this->router.io, this->RemoveRows(std::move(silent)), asio::detached);
}

// Each row is removed only if it is still the one that this router knows.
asio::awaitable<void> StoreSync::RemoveRows(std::vector<ListedPeer> silent) {
  for (const auto& peer : silent) {
    adapter::ConditionalWrite write = {
        .table = std::string(kFleetTable),
        .key = RouterRowKey(peer.name),
        .remove = true,
        .expected_version = static_cast<std::int64_t>(peer.row_version)};
    const auto written = co_await this->store.Write(std::move(write), kStoreCallTimeout);
    this->router.log.Write(
        LogLevel::kInfo, "silent_router_removed",
        {{"router", peer.name}, {"error", written ? std::string() : written.error().message}});
    // The next attempt comes after another such time of silence.
    this->peers.PostponeSilence(peer.name);
  }
  this->is_removing_silent = false;
}

asio::awaitable<void> StoreSync::ProposeKey() {
  asio::steady_timer timer(this->router.io);
  // The key in use stays valid for routers that cannot read a new one from the store.
  const auto& secret = this->peers.secret();
  const adapter::ConditionalWrite write = {.table = std::string(kFleetTable),
                                           .key = std::string(kKeyRow),
                                           .value = secret.empty() ? RandomKey() : secret,
                                           .expected_version = 0};
  while (!this->router.stop && !this->key_is_stored) {
    const auto written = co_await this->store.Write(write, kStoreCallTimeout);
    if (written) {
      this->router.log.Write(LogLevel::kInfo, "key_proposed", {{"taken", true}});
      break;
    }
    this->router.log.Write(LogLevel::kInfo, "key_proposed",
                           {{"taken", false}, {"error", written.error().message}});
    // The row holds another router's key, or this one's if the response to an earlier write was
    // lost. The watch reads it in either case.
    if (core::Is(written.error(), core::ErrorKind::kConflict)) break;
    timer.expires_after(this->Jitter(kKeyProposalPause));
    co_await timer.async_wait(kTuple);
  }
  this->is_proposing_key = false;
}

asio::awaitable<core::Result<std::uint64_t>> StoreSync::WriteOwnRow() {
  const auto row = this->OwnRow();
  adapter::ConditionalWrite write = {.table = std::string(kFleetTable),
                                     .key = RouterRowKey(this->router.settings.ip),
                                     .value = EncodeRouterRow(row)};
  auto written = co_await this->store.Write(std::move(write), kStoreCallTimeout);
  if (written) {
    this->written_row = row;
    this->is_row_missing = false;
  }
  co_return written;
}

asio::awaitable<void> StoreSync::Register() {
  asio::steady_timer timer(this->router.io);
  // If the store has come back meanwhile, `UpdateKnowledge` starts the registration again later.
  while (!this->router.stop && this->IsReadInEpoch(this->policy_watch)) {
    const auto written = co_await this->WriteOwnRow();
    if (written) break;
    timer.expires_after(this->Jitter(kRegistrationPause));
    co_await timer.async_wait(kTuple);
  }
  this->is_registering = false;
}

asio::awaitable<void> StoreSync::Unregister() {
  asio::steady_timer timer(this->router.io);
  bool is_removed = false;
  while (true) {
    core::Result<std::uint64_t> written = std::uint64_t{0};
    if (this->MustLeaveRow()) {
      if (!is_removed && !this->IsRowOutdated()) break;
      written = co_await this->WriteOwnRow();
      if (written) is_removed = false;
    } else {
      adapter::ConditionalWrite write = {.table = std::string(kFleetTable),
                                         .key = RouterRowKey(this->router.settings.ip),
                                         .remove = true};
      written = co_await this->store.Write(std::move(write), kStoreCallTimeout);
      if (written) is_removed = true;
      // The answer may have shown that the store has come back from an older copy.
      if (is_removed && !this->MustLeaveRow()) break;
    }
    if (written) continue;
    this->router.log.Write(LogLevel::kInfo, "unregister_failed",
                           {{"error", written.error().message}});
    timer.expires_after(this->Jitter(kRegistrationPause));
    co_await timer.async_wait(kTuple);
  }
}

}  // namespace pomelospar::edge
