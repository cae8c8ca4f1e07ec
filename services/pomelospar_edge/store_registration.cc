// The parts of StoreSync that keep the rows of the routers and the key of their reports.

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "libraries/core/identifiers.h"
#include "services/pomelospar_edge/router_row.h"
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

constexpr core::Duration kRouterPauseWithoutKey = milliseconds(200);
// Routers that start together register within the first pause. The pause doubles after each answer.
constexpr core::Duration kFirstRouterPause = milliseconds(1500);
constexpr core::Duration kLongestRouterPause = milliseconds(20000);
// Longest pause after a failed proposal of the key. Once the store accepts writes, routers must
// exchange reports within 3 s. Each router of the fleet may propose, so that a shorter pause would
// add to the load of a failing store.
constexpr core::Duration kKeyProposalPause = milliseconds(2000);
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
    this->RemoveUnlistedRouters(rows);
  }
  bool key_removed = false;
  for (const auto& row : rows.rows) {
    if (row.key == kKeyRow) {
      this->key_is_stored = !row.removed;
      key_removed = row.removed;
      if (!row.removed) this->peers.SetKey(row.value);
      continue;
    }
    if (!row.key.starts_with(kRouterRowPrefix)) continue;
    const auto name = row.key.substr(kRouterRowPrefix.size());
    if (name == this->router.settings.ip) {
      if (row.removed) this->RegisterAgain();
      continue;
    }
    const auto entry = row.removed ? std::nullopt : DecodeRouterRow(row.value);
    if (!entry) {
      this->peers.RemovePeer(name);
      continue;
    }
    this->peers.SetPeer(name, entry->address, entry->domain, row.version);
  }
  // Without other routers, nobody else can tell of a newer configuration.
  if (this->router.policy) this->ConfirmPolicy(this->policy_asked_at, "store");
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
  if (!listed.contains(this->router.settings.ip)) this->RegisterAgain();
}

void StoreSync::RegisterAgain() {
  // The first registration may still be on its way.
  if (!this->is_registered || this->router.stop) return;
  this->is_registered = false;
  this->router.log.Write(LogLevel::kInfo, "row_removed", {});
  asio::co_spawn(this->router.io, this->Register(), asio::detached);
}

void StoreSync::RemoveSilentRouters() {
  if (this->is_removing_silent || this->router_watch.failing || !this->is_registered) return;
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

asio::awaitable<void> StoreSync::Register() {
  asio::steady_timer timer(this->router.io);
  const nlohmann::json row = {{"address", this->peers.address()},
                              {"domain", this->router.settings.domain}};
  while (!this->router.stop) {
    adapter::ConditionalWrite write = {.table = std::string(kFleetTable),
                                       .key = RouterRowKey(this->router.settings.ip),
                                       .value = row.dump()};
    const auto written = co_await this->store.Write(std::move(write), kStoreCallTimeout);
    if (written) {
      this->is_registered = true;
      break;
    }
    timer.expires_after(this->Jitter(kRegistrationPause));
    co_await timer.async_wait(kTuple);
  }
}

asio::awaitable<void> StoreSync::Unregister() {
  asio::steady_timer timer(this->router.io);
  while (true) {
    adapter::ConditionalWrite write = {.table = std::string(kFleetTable),
                                       .key = RouterRowKey(this->router.settings.ip),
                                       .remove = true};
    const auto written = co_await this->store.Write(std::move(write), kStoreCallTimeout);
    if (written) break;
    this->router.log.Write(LogLevel::kInfo, "unregister_failed",
                           {{"error", written.error().message}});
    timer.expires_after(this->Jitter(kRegistrationPause));
    co_await timer.async_wait(kTuple);
  }
}

}  // namespace pomelospar::edge
