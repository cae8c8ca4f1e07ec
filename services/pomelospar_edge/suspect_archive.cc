#include "services/pomelospar_edge/suspect_archive.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>

#include "services/pomelospar_edge/suspect_row.h"

namespace pomelospar::edge {
namespace {

namespace asio = boost::asio;
using core::LogLevel;

// A table of its own, because routers wait for changes of the table with their rows.
constexpr std::string_view kSuspectTable = "pomelospar-suspects";
constexpr std::string_view kSuspectRow = "fleet";
constexpr core::Duration kCallTimeout = std::chrono::milliseconds(700);
// Shortest time between two calls for the row.
constexpr core::Duration kCallPause = std::chrono::milliseconds(1000);
// Pause after a failed read.
constexpr core::Duration kFailurePause = std::chrono::milliseconds(300);
// Time in which a trial that is about to be sent must be recorded, and pause while another call for
// the row is in progress.
constexpr core::Duration kSaveNowLimit = std::chrono::milliseconds(1000);
constexpr core::Duration kBusyPoll = std::chrono::milliseconds(5);
// Longest time for which a router with a configuration serves nothing because the row cannot be
// read.
constexpr core::Duration kLongestWait = std::chrono::milliseconds(2000);

}  // namespace

SuspectArchive::SuspectArchive(RouterState& router_state, adapter::StoreClient& client)
    : state(router_state), store(client) {}

// Before it knows the others, a router would take itself for the first one.
bool SuspectArchive::IsWriter() const {
  return HasDiscoveredPeers(this->state) &&
         this->state.peers.RankOf(this->state.settings.ip, "") == 0;
}

void SuspectArchive::Start() {
  this->state.awaits_suspects = true;
  this->state.record_crash_trials = [this] { return this->SaveNow(); };
  this->Update();
}

void SuspectArchive::CheckAwaited() {
  if (!this->state.awaits_suspects) return;
  const auto now = this->state.clock.now();
  if (this->state.policy && !this->policy_seen_at) this->policy_seen_at = now;
  const bool is_late = this->policy_seen_at && now - *this->policy_seen_at >= kLongestWait;
  this->state.awaits_suspects = !this->has_read && !is_late;
}

asio::awaitable<void> SuspectArchive::Load() {
  const auto asked_at = this->state.clock.since_boot();
  const auto rows = co_await this->store.ReadTable(std::string(kSuspectTable), kCallTimeout);
  this->next_call = this->state.clock.now() + (rows ? kCallPause : kFailurePause);
  if (!rows) {
    this->state.log.Write(LogLevel::kWarning, "suspects_unread", {{"error", rows.error().message}});
    co_return;
  }
  const auto& answer = rows.value();
  this->must_read = false;
  this->has_read = true;
  this->is_foreign = false;
  this->read_changes = this->store.epochs().changes;
  this->store_clock = {};
  if (answer.stamp) {
    this->store_clock.Record(asked_at, this->state.clock.since_boot(), *answer.stamp);
  }
  this->stored = {};
  this->stored_epoch.reset();
  this->stored_version = 0;
  for (const auto& row : answer.rows) {
    if (row.key != kSuspectRow || row.removed) continue;
    this->stored_version = row.version;
    const auto decoded = DecodeSuspectRow(row.value);
    if (!decoded) {
      this->is_foreign = core::Is(decoded.error(), core::ErrorKind::kInvalidArgument);
      this->state.log.Write(LogLevel::kWarning, "suspects_unusable",
                            {{"error", decoded.error().message}});
      continue;
    }
    this->stored = RecordAt(decoded.value(), answer.stamp, answer.epoch);
    this->stored_epoch = decoded.value().epoch;
    this->Restore(answer.epoch);
    this->state.log.Write(LogLevel::kInfo, "suspects_read",
                          {{"quarantines", std::uint64_t{this->stored.quarantines.size()}},
                           {"crashes", std::uint64_t{this->stored.suspicions.size()}}});
  }
}

void SuspectArchive::Restore(dispatch::StoreEpoch epoch) {
  const auto now = this->state.clock.now();
  auto record = this->stored;
  // Ages of another epoch are too low. What this router knows itself is more exact.
  if (this->stored_epoch != epoch) {
    std::erase_if(record.quarantines, [&](const dispatch::Quarantine& entry) {
      return this->state.suspects.IsInQuarantine(now, entry.subject);
    });
  }
  this->state.suspects.Apply(now, record);
}

dispatch::SuspectNews SuspectArchive::MakeRecord() const {
  return this->state.suspects.MakeRecord(this->state.clock.now());
}

bool SuspectArchive::MustSave(const dispatch::SuspectNews& record) const {
  if (!HaveSameContent(record, this->stored)) return true;
  const bool is_empty = record.quarantines.empty() && record.suspicions.empty();
  return !is_empty && this->stored_epoch != this->store.epochs().current;
}

void SuspectArchive::Update() {
  this->CheckAwaited();
  const auto now = this->state.clock.now();
  if (this->is_busy || this->state.stop || now < this->next_call) return;
  if (this->store.epochs().changes != this->read_changes) this->must_read = true;
  const bool is_writer = this->IsWriter();
  if (!this->has_read || (is_writer && this->must_read)) {
    this->is_busy = true;
    asio::co_spawn(this->state.io, this->LoadAndSave(), asio::detached);
    return;
  }
  if (!is_writer || this->is_foreign) return;
  if (this->state.suspects.empty() && this->stored.quarantines.empty() &&
      this->stored.suspicions.empty()) {
    return;
  }
  if (!this->MustSave(this->MakeRecord())) return;
  this->is_busy = true;
  asio::co_spawn(this->state.io, this->LoadAndSave(), asio::detached);
}

asio::awaitable<void> SuspectArchive::LoadAndSave() {
  if (this->must_read) {
    co_await this->Load();
  }
  // What another writer has put there is part of this router's record now.
  const bool may_write = !this->must_read && !this->is_foreign && this->IsWriter();
  if (may_write) {
    auto record = this->MakeRecord();
    if (this->MustSave(record)) {
      co_await this->Save(std::move(record));
    }
  }
  this->is_busy = false;
}

asio::awaitable<bool> SuspectArchive::SaveNow() {
  const auto end = this->state.clock.now() + kSaveNowLimit;
  asio::steady_timer timer(this->state.io);
  while (this->state.clock.now() < end) {
    if (this->is_busy) {
      timer.expires_after(kBusyPoll);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    auto record = this->MakeRecord();
    if (!this->must_read && (this->is_foreign || !this->MustSave(record))) co_return true;
    this->is_busy = true;
    const bool reads = this->must_read;
    if (reads) {
      co_await this->Load();
    } else {
      co_await this->Save(std::move(record));
    }
    this->is_busy = false;
    // After a conflict the row is read and written again.
    const bool has_failed =
        reads ? this->must_read : !this->must_read && this->MustSave(this->MakeRecord());
    if (has_failed) break;
  }
  co_return false;
}

asio::awaitable<void> SuspectArchive::Save(dispatch::SuspectNews record) {
  const SuspectRow row = {
      .record = std::move(record),
      .written_at = this->store_clock.EarliestRemote(this->state.clock.since_boot()),
      .epoch = this->store.epochs().current};
  const adapter::ConditionalWrite write = {
      .table = std::string(kSuspectTable),
      .key = std::string(kSuspectRow),
      .value = EncodeSuspectRow(row),
      .expected_version = static_cast<std::int64_t>(this->stored_version)};
  const auto written = co_await this->store.Write(write, kCallTimeout);
  this->next_call = this->state.clock.now() + kCallPause;
  this->state.log.Write(LogLevel::kInfo, "suspects_written",
                        {{"quarantines", std::uint64_t{row.record.quarantines.size()}},
                         {"crashes", std::uint64_t{row.record.suspicions.size()}},
                         {"bytes", std::uint64_t{write.value.size()}},
                         {"error", written ? std::string() : written.error().message}});
  if (written) {
    this->stored = row.record;
    this->stored_epoch = row.epoch;
    this->stored_version = written.value();
    co_return;
  }
  // Another router has written the row, or the answer to this write was lost.
  this->must_read = !core::Is(written.error(), core::ErrorKind::kUnavailable);
}

}  // namespace pomelospar::edge
