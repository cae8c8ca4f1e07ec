// How routers spare each other calls to the store: the parts of StoreSync that give and take
// proofs.

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
// A router that waits for proofs looks so often whether it has become the first.
constexpr core::Duration kRoleCheck = milliseconds(250);

}  // namespace

std::size_t StoreSync::Rank() const {
  const auto rank = this->peers.Rank();
  const bool unheard = this->peers.has_peers() && this->router.clock.now() < this->peers_known_at;
  return unheard ? std::max<std::size_t>(rank, 1) : rank;
}

std::size_t StoreSync::NoteRole() {
  const auto rank = this->Rank();
  if (this->is_first == (rank == 0)) return rank;
  this->is_first = rank == 0;
  this->router.log.Write(LogLevel::kInfo, "store_role",
                         {{"asks_for_others", rank == 0},
                          {"rank", std::uint64_t{rank}},
                          {"peers", std::uint64_t{this->router.peers.size()}}});
  return rank;
}

asio::awaitable<void> StoreSync::WaitUntilDue(Watch& watch) {
  while (true) {
    const auto rank = this->NoteRole();
    const auto age = this->router.clock.since_boot() - watch.proven_at;
    auto left = dispatch::AskAge(watch.schedule, rank) - age;
    if (watch.outdated_since) {
      const auto outdated_for = this->router.clock.now() - *watch.outdated_since;
      left = std::min<core::Duration>(left, watch.relay_time - outdated_for);
    }
    if (left <= core::Duration::zero()) break;
    watch.timer.expires_after(std::min<core::Duration>(left, kRoleCheck));
    co_await watch.timer.async_wait(kTuple);
  }
}

void StoreSync::SetProof(Watch& watch, std::uint64_t state, core::Duration asked_at) {
  const auto at = this->store_clock.EarliestRemote(asked_at);
  if (!at) return;
  const bool changed = watch.proof && watch.proof->state != state;
  watch.proof = dispatch::TableProof{state, *at};
  if (changed && this->is_first.value_or(true)) this->peers.ReportSoon();
}

void StoreSync::OnReport(const dispatch::PeerReport& report) {
  if (const auto at = this->TakeProof(this->policy_watch, report.policy, report.sender)) {
    this->router.policy_proven_at = std::max(this->router.policy_proven_at, *at);
  }
  if (report.store_regained_at) this->NoteRegained(*report.store_regained_at);
  this->TakeDirectoryChanges(report);
  this->TakeProof(this->runner_watch, report.directory, report.sender);
}

void StoreSync::TakeDirectoryChanges(const dispatch::PeerReport& report) {
  auto& proof = this->runner_watch.proof;
  // An old report, or one of which all steps are known, could lead back to what the directory was.
  if (dispatch::Judge(proof, report.directory) != dispatch::ProofEffect::kOutdates) return;
  bool changed = false;
  for (const auto& step : report.directory_changes) {
    if (!this->directory.Fits(step)) continue;
    for (const auto& entry : step.entries) this->ApplyRunner(entry, report.sender);
    this->directory_changes.Note(this->router.clock.now(), step);
    proof->state = step.after;
    changed = true;
  }
  if (changed) IndexRunners(this->router);
}

// An outage may end before this router asks.
void StoreSync::NoteRegained(core::Duration stamp) {
  const auto local = this->store_clock.EarliestLocal(stamp);
  if (!local) return;
  const auto at = this->router.clock.now() - (this->router.clock.since_boot() - *local);
  this->runner_watch.regained_at = std::max(this->runner_watch.regained_at, at);
}

// Returns the local time at which what this router knows was the newest, if the proof confirms it.
std::optional<core::Duration> StoreSync::TakeProof(Watch& watch,
                                                   const std::optional<dispatch::TableProof>& proof,
                                                   const std::string& sender) {
  const auto effect = dispatch::Judge(watch.proof, proof);
  if (effect == dispatch::ProofEffect::kNone) return std::nullopt;
  if (effect == dispatch::ProofEffect::kConfirms) {
    const auto at = this->store_clock.EarliestLocal(proof->at);
    if (!at) return std::nullopt;
    watch.proof = proof;
    watch.outdated_since.reset();
    watch.proven_at = std::max(watch.proven_at, *at);
    return at;
  }
  if (!watch.outdated_since) {
    watch.outdated_since = this->router.clock.now();
    this->router.log.Write(LogLevel::kInfo, "table_changed",
                           {{"table", watch.table}, {"peer", sender}, {"state", proof->state}});
    watch.timer.cancel();
  }
  return std::nullopt;
}

}  // namespace pomelospar::edge
