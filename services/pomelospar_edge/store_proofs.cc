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
  const bool unheard = this->peers.has_peers() && this->board.clock.now() < this->peers_known_at;
  return unheard ? std::max<std::size_t>(rank, 1) : rank;
}

std::size_t StoreSync::NoteRole() {
  const auto rank = this->Rank();
  if (this->is_first == (rank == 0)) return rank;
  this->is_first = rank == 0;
  this->board.log.Write(LogLevel::kInfo, "store_role",
                        {{"asks_for_others", rank == 0},
                         {"rank", std::uint64_t{rank}},
                         {"peers", std::uint64_t{this->board.peers.size()}}});
  return rank;
}

asio::awaitable<void> StoreSync::WaitUntilDue(Watch& watch) {
  while (true) {
    const auto rank = this->NoteRole();
    if (watch.outdated) break;
    const auto limit = dispatch::AskAge(watch.schedule, rank);
    const auto age = this->board.clock.since_boot() - watch.proven_at;
    if (age >= limit) break;
    watch.timer.expires_after(std::min<core::Duration>(limit - age, kRoleCheck));
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
    this->board.policy_proven_at = std::max(this->board.policy_proven_at, *at);
  }
  if (report.store_regained_at) this->NoteRegained(*report.store_regained_at);
  this->TakeProof(this->runner_watch, report.directory, report.sender);
}

// An outage may end before this router asks.
void StoreSync::NoteRegained(core::Duration stamp) {
  const auto local = this->store_clock.EarliestLocal(stamp);
  if (!local) return;
  const auto at = this->board.clock.now() - (this->board.clock.since_boot() - *local);
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
    watch.proven_at = std::max(watch.proven_at, *at);
    return at;
  }
  if (!watch.outdated) {
    watch.outdated = true;
    this->board.log.Write(LogLevel::kInfo, "table_changed",
                          {{"table", watch.table}, {"peer", sender}, {"state", proof->state}});
    watch.timer.cancel();
  }
  return std::nullopt;
}

}  // namespace pomelospar::edge
