// The parts of StoreSync that send and apply proofs, by which routers spare each other queries of
// the store.

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "services/pomelospar_edge/store_sync.h"

namespace pomelospar::edge {
namespace {

namespace asio = boost::asio;
using core::LogLevel;
using std::chrono::milliseconds;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// Period in which a router that waits for proofs checks whether it now has rank 0.
constexpr core::Duration kRoleCheckPeriod = milliseconds(250);
// Shortest time between queries for a reported state that the store did not show.
constexpr core::Duration kDisputePause = milliseconds(1000);

}  // namespace

// Shortly after the start, before the other routers can be known, the rank is at least 1.
std::size_t StoreSync::Rank() const {
  const auto rank = this->peers.Rank();
  const bool peers_unknown = this->peers.has_peers() && !HasDiscoveredPeers(this->router);
  return peers_unknown ? std::max<std::size_t>(rank, 1) : rank;
}

std::size_t StoreSync::UpdateRole() {
  const auto rank = this->Rank();
  if (this->is_store_poller == (rank == 0)) return rank;
  this->is_store_poller = rank == 0;
  for (auto* watch : {&this->policy_watch, &this->runner_watch, &this->router_watch}) {
    watch->was_poller = false;
  }
  this->router.log.Write(LogLevel::kInfo, "store_role",
                         {{"asks_for_others", rank == 0},
                          {"rank", std::uint64_t{rank}},
                          {"peers", std::uint64_t{this->router.peers.size()}}});
  return rank;
}

asio::awaitable<void> StoreSync::WaitUntilDue(TableWatch& watch) {
  while (true) {
    const auto rank = this->UpdateRole();
    const auto age = this->router.clock.since_boot() - watch.confirmed_at;
    auto left = dispatch::PollAge(watch.schedule, rank) - age;
    if (watch.outdated_since) {
      const auto outdated_for = this->router.clock.now() - *watch.outdated_since;
      left = std::min<core::Duration>(left, watch.relay_timeout - outdated_for);
    }
    if (watch.reread_due) {
      left = std::min<core::Duration>(left, *watch.reread_due - this->router.clock.now());
    }
    if (left <= core::Duration::zero()) break;
    watch.timer.expires_after(std::min<core::Duration>(left, kRoleCheckPeriod));
    co_await watch.timer.async_wait(kTuple);
  }
}

void StoreSync::SetProof(TableWatch& watch, std::uint64_t state, core::Duration asked_at) {
  const auto at = this->store_clock.EarliestRemote(asked_at);
  if (!at) return;
  const auto epoch = this->store.epochs().current;
  const bool changed = watch.proof && (watch.proof->state != state || watch.proof->epoch != epoch);
  watch.proof = dispatch::TableProof{state, *at, epoch};
  watch.disputed_state.reset();
  if (watch.outdating_state != state && asked_at >= watch.outdated_at) {
    watch.disputed_state = watch.outdating_state;
  }
  if (changed && this->is_store_poller.value_or(true)) this->peers.ReportSoon();
}

void StoreSync::OnReport(const dispatch::PeerReport& report) {
  if (report.evacuations) this->ApplyReportedEvacuations(*report.evacuations, report.sender);
  this->knowledge.OnReport(this->router.clock.since_boot(), report.sender, report.policy_version,
                           !report.policy_is_unconfirmed);
  this->CheckPolicyKnowledge();
  if (const auto at = this->ApplyProof(this->policy_watch, report.policy, report.sender)) {
    this->ConfirmPolicy(*at, report.sender);
  }
  // The time is of the clock of the sender's epoch.
  const bool is_comparable =
      report.directory && report.directory->epoch == this->store.epochs().current;
  if (report.store_regained_at && is_comparable) this->RecordStoreReturn(*report.store_regained_at);
  this->ApplyDirectoryChanges(report);
  this->ApplyProof(this->runner_watch, report.directory, report.sender);
}

// A router that the store rejects never reads the rows, so its proof follows what it was told.
// Otherwise the others' proofs would no longer confirm its configuration.
void StoreSync::ApplyReportedEvacuations(const dispatch::Evacuations& evacuations,
                                         const std::string& sender) {
  if (!dispatch::IsNewer(evacuations, this->router.evacuations)) return;
  AdoptEvacuations(this->router, evacuations, sender);
  auto& proof = this->policy_watch.proof;
  if (proof && this->router.policy) proof->state = this->PolicyState();
}

void StoreSync::ApplyDirectoryChanges(const dispatch::PeerReport& report) {
  auto& proof = this->runner_watch.proof;
  // The entries that an older copy of the store brings back are recognized when they are read.
  if (report.directory && report.directory->epoch != this->store.epochs().current) return;
  // Only a report with newer content is applied: an older one, or one whose changes are all known,
  // could lead back to earlier content.
  if (dispatch::CompareProofs(proof, report.directory) != dispatch::ProofEffect::kOutdates) return;
  bool changed = false;
  for (const auto& step : report.directory_changes) {
    if (!this->directory.CanApply(step)) continue;
    for (const auto& entry : step.entries) this->ApplyRunner(entry, report.sender);
    this->directory_changes.Record(this->router.clock.now(), step);
    proof->state = step.after;
    changed = true;
  }
  if (changed) IndexRunners(this->router);
}

// Takes the end of an outage from another router's report, as this router may not have queried the
// store since.
void StoreSync::RecordStoreReturn(core::Duration stamp) {
  const auto local = this->store_clock.EarliestLocal(stamp);
  if (!local) return;
  const auto at = this->router.clock.now() - (this->router.clock.since_boot() - *local);
  this->runner_watch.regained_at = std::max(this->runner_watch.regained_at, at);
}

// Applies another router's proof. Returns the local time at which this router's content was the
// newest, if the proof confirms that.
std::optional<core::Duration> StoreSync::ApplyProof(
    TableWatch& watch, const std::optional<dispatch::TableProof>& proof,
    const std::string& sender) {
  const auto effect = dispatch::CompareProofs(watch.proof, proof);
  if (effect == dispatch::ProofEffect::kNone) return std::nullopt;
  if (effect == dispatch::ProofEffect::kConfirms) {
    // Another table may have shown the next epoch already, with another clock.
    if (proof->epoch != this->store.epochs().current) return std::nullopt;
    const auto at = this->store_clock.EarliestLocal(proof->at);
    if (!at) return std::nullopt;
    watch.proof = proof;
    watch.outdated_since.reset();
    watch.confirmed_at = std::max(watch.confirmed_at, *at);
    return at;
  }
  // A state that this router did not find in the store may never be found there: the configuration
  // that it holds may be newer than the one that the store has come back with.
  const bool is_disputed = proof->epoch == watch.proof->epoch &&
                           proof->state == watch.disputed_state &&
                           this->router.clock.now() - watch.answered_at < kDisputePause;
  if (!watch.outdated_since && !is_disputed) {
    watch.outdating_state = proof->state;
    watch.outdated_at = this->router.clock.since_boot();
    watch.outdated_since = this->router.clock.now();
    this->router.log.Write(LogLevel::kInfo, "table_changed",
                           {{"table", watch.table}, {"peer", sender}, {"state", proof->state}});
    watch.timer.cancel();
  }
  return std::nullopt;
}

}  // namespace pomelospar::edge
