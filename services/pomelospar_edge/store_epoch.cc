// The parts of StoreSync that handle a return of the store from an older copy of its content.

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "services/pomelospar_edge/store_sync.h"

namespace pomelospar::edge {
namespace {

namespace asio = boost::asio;
using core::LogLevel;
using std::chrono::milliseconds;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// Longest time before a router of a large fleet reads a table again, so that not all of them do so
// at the same moment.
constexpr core::Duration kRereadSpread = milliseconds(500);
// The same for the rows of the routers, which are less urgent, in a fleet of any size.
constexpr core::Duration kRouterRereadSpread = milliseconds(2000);
constexpr std::size_t kLongestLoggedHeader = 40;
// Runners write their entries about once a second, and an entry that is not written three times in
// a row is removed. After this time, the entry of a run that was known to leave is taken as true.
constexpr core::Duration kOldEntryTime = milliseconds(5000);

// -1 if the store did not tell the epoch.
std::int64_t Loggable(dispatch::StoreEpoch epoch) {
  return epoch ? static_cast<std::int64_t>(*epoch) : -1;
}

std::uint64_t VersionOf(const std::optional<dispatch::StorePosition>& position) {
  return position ? position->version : 0;
}

}  // namespace

void StoreSync::OnEpoch(dispatch::StoreEpoch before, std::string_view header) {
  const auto& epochs = this->store.epochs();
  const bool is_first = epochs.changes == 0;
  const bool is_usable = epochs.current.has_value() || (header.empty() && !before);
  this->router.log.Write(
      is_first && is_usable ? LogLevel::kInfo : LogLevel::kWarning, "store_epoch",
      {{"before", Loggable(before)},
       {"epoch", Loggable(epochs.current)},
       {"header", header.substr(0, kLongestLoggedHeader)},
       {"operator_version", VersionOf(this->policy_watch.position)},
       {"runners_version", VersionOf(this->runner_watch.position)},
       {"policy", this->router.policy ? this->router.policy->version : std::uint64_t{0}}});
  this->router.metrics
      .FindGauge("pomelospar_store_epoch",
                 "How often the store has come back from an older copy; -1 if it does not tell.",
                 {})
      .Set(static_cast<double>(Loggable(epochs.current)));
  this->knowledge.OnEpoch(this->router.clock.since_boot(), epochs.current,
                          PolicyIsFresh(this->router, this->router.settings.key_revocation_limit));
  if (is_first) return;
  const auto now = this->router.clock.now();
  this->store_clock = {};
  this->runner_watch.regained_stamp.reset();
  for (const auto& [id, runner] : this->router.runners) runner->entry_version = 0;
  for (auto* watch : {&this->policy_watch, &this->runner_watch}) {
    watch->reread_due = now;
    if (this->router.is_large_fleet && !this->is_store_poller.value_or(false)) {
      *watch->reread_due += this->Jitter(kRereadSpread);
    }
    watch->timer.cancel();
  }
  asio::co_spawn(this->router.io, this->RereadRouters(), asio::detached);
}

asio::awaitable<void> StoreSync::RereadRouters() {
  const auto changes = this->store.epochs().changes;
  auto& watch = this->router_watch;
  asio::steady_timer timer(this->router.io);
  unsigned attempts = 0;
  while (!this->router.stop) {
    // The row of the epoch must be written again soon, by the router that queries for the others.
    const bool is_first = attempts++ == 0 && this->is_store_poller.value_or(false);
    timer.expires_after(is_first ? core::Duration::zero() : this->Jitter(kRouterRereadSpread));
    co_await timer.async_wait(kTuple);
    // A later return has begun another one of these, or the watch itself has read the rows.
    if (changes != this->store.epochs().changes || this->IsReadInEpoch(watch)) break;
    const auto asked_at = this->router.clock.since_boot();
    const auto rows = co_await this->QueryStore(watch, std::nullopt);
    if (rows && changes == this->store.epochs().changes) {
      this->ApplyAnswer(watch, std::nullopt, rows.value(), asked_at);
    }
  }
}

// A router that has just started may read an older configuration than the others, whose withdrawn
// keys and routes must not be used again.
void StoreSync::CheckPolicyKnowledge() {
  if (!this->router.policy) return;
  const auto now = this->router.clock.since_boot();
  const bool is_older =
      this->knowledge.IsInForceOlder(now) || this->knowledge.IsAwaitingAfterReturn(now);
  if (is_older) this->router.policy_confirmed_at = {};
  if (std::exchange(this->router.policy_is_older, is_older) != is_older) {
    this->router.log.Write(LogLevel::kWarning, "policy_may_be_older",
                           {{"version", this->router.policy->version},
                            {"newest_known", this->knowledge.newest_version()},
                            {"awaiting", this->knowledge.IsAwaiting(now)},
                            {"is_older", is_older}});
  }
  this->ConfirmPolicy(this->policy_asked_at, "store");
}

void StoreSync::UpdateKnowledge() {
  this->CheckPolicyKnowledge();
  // After a return of the store, the rows are read at different times by the routers, which spreads
  // their writes too.
  if (!this->IsReadInEpoch(this->router_watch) || this->router.stop) return;
  if (this->is_row_missing || this->IsRowOutdated()) this->StartRegistration();
  const bool is_due = this->is_store_poller.value_or(false) && !this->is_writing_epoch &&
                      this->knowledge.IsFleetRowOutdated(this->router.clock.since_boot());
  if (!is_due) return;
  this->is_writing_epoch = true;
  asio::co_spawn(this->router.io, this->WriteEpochRow(), asio::detached);
}

bool StoreSync::IsReadInEpoch(const TableWatch& watch) const {
  return dispatch::ReadingPosition(watch.position, this->store.epochs()).has_value();
}

void StoreSync::CheckOldEntry(Runner& runner, const dispatch::RunnerRecord& record) {
  const auto now = this->router.clock.now();
  const bool is_known = !runner.record.id.empty();
  const auto departure =
      is_known ? std::nullopt : dispatch::TakeDeparture(this->router.departed, record, now);
  if (departure) runner.notices.leaving = departure->leaving;
  if (!this->runner_watch.is_return) return;
  const bool is_same_run = is_known && runner.record.started_unix_ms == record.started_unix_ms;
  const bool drained = is_same_run && runner.record.draining && !record.draining;
  if (!departure && !drained && !runner.unconfirmed_until) return;
  runner.unconfirmed_until = now + kOldEntryTime;
  this->router.log.Write(LogLevel::kInfo, "runner_entry_unconfirmed", {{"runner", record.id}});
}

void StoreSync::ConfirmEntry(const std::string& id) {
  const auto found = this->router.runners.find(id);
  if (found != this->router.runners.end()) found->second->unconfirmed_until.reset();
}

void StoreSync::RecordReturn(TableWatch& watch) {
  watch.regained_at = this->router.clock.now();
  watch.regained_stamp = this->store_clock.EarliestRemote(this->router.clock.since_boot());
}

}  // namespace pomelospar::edge
