#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_STORE_SYNC_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_STORE_SYNC_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/dispatch/remote_clock.h"
#include "libraries/dispatch/runner_directory.h"
#include "libraries/dispatch/table_proof.h"
#include "libraries/http/upstream_pool.h"
#include "platform/store_client.h"
#include "services/pomelospar_edge/peer_exchange.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// Keeps the router's view of configuration, runners and routers in step with the store. One router
/// of the fleet, or of each failure domain of a large fleet, asks the store all the time; the
/// others take its proofs from its reports, and ask when those tell of a change or are missing.
class StoreSync {
 public:
  StoreSync(RouterState& router, adapter::StoreClient& store, http::UpstreamPool& pool,
            PeerExchange& peers, std::function<void()> on_policy);

  /// Starts to watch the tables and registers this router.
  void Start();
  /// Takes this router's row away, so that the others no longer send reports to it.
  boost::asio::awaitable<void> Unregister();
  /// Drops runners whose entries did not come back in time. Call a few times a second.
  void DropLapsedRunners();

 private:
  struct Watch {
    Watch(boost::asio::io_context& io, std::string_view table_name)
        : table(table_name), timer(io) {}

    std::string table;
    dispatch::AskSchedule schedule;
    /// The proofs of other routers spare this one the call.
    bool relayed = false;
    /// Pause between two answers; bounds the calls of a table that changes all the time.
    core::Duration pause{};
    /// The same for a router that asks after a change that another router has seen.
    core::Duration follower_pause{};
    std::function<void(const adapter::StoreRows&, bool whole, core::Duration asked_at)> apply;
    /// Known content and the store's time at which it was the newest, for the other routers.
    std::optional<dispatch::TableProof> proof;
    /// Local time since boot of the latest answer or proof.
    core::Duration proven_at{};
    /// Since when this router knows that another one has a newer content.
    std::optional<core::TimePoint> outdated_since;
    /// How long the other routers may take to tell what has changed before this one asks.
    core::Duration relay_time{};
    /// Ends when the store may have to be asked.
    boost::asio::steady_timer timer;
    /// When the store answered again after a failure.
    core::TimePoint regained_at{};
    /// The same by the store's clock.
    std::optional<core::Duration> regained_stamp;
    bool failing = false;
  };

  boost::asio::awaitable<core::Result<adapter::StoreRows>> Ask(const Watch& watch, bool whole,
                                                               std::uint64_t version);
  boost::asio::awaitable<void> Follow(Watch& watch);
  boost::asio::awaitable<void> WaitUntilDue(Watch& watch);
  bool MayLeaveToOthers(const Watch& watch) const;
  void NoteAnswer(Watch& watch, const adapter::StoreRows& rows, core::Duration asked_at);
  /// Logs a change of role; returns the rank, 0 for the router that asks for others.
  std::size_t NoteRole();
  std::size_t Rank() const;
  void SetProof(Watch& watch, std::uint64_t state, core::Duration asked_at);
  void NoteRegained(core::Duration stamp);
  void OnReport(const dispatch::PeerReport& report);
  std::optional<core::Duration> TakeProof(Watch& watch,
                                          const std::optional<dispatch::TableProof>& proof,
                                          const std::string& sender);
  void NoteFailure(Watch& watch, const core::Error& error);
  void NoteSuccess(Watch& watch);
  boost::asio::awaitable<void> Register();
  boost::asio::awaitable<void> ProposeKey();

  void ApplyPolicy(const adapter::StoreRows& rows, bool whole, core::Duration asked_at);
  void ApplyRunners(const adapter::StoreRows& rows, bool whole, core::Duration asked_at);
  dispatch::RunnerChange DecodeRunnerRow(const adapter::StoreRow& row);
  bool ApplyRunner(const dispatch::RunnerChange& change, std::string_view source);
  /// Takes the steps that lead from what this router knows to what the sender of the report knows.
  void TakeDirectoryChanges(const dispatch::PeerReport& report);
  /// Call `IndexRunners` after the last one.
  void RemoveRunner(const std::string& id, std::string_view reason);
  void MissRunner(const std::string& id);
  void ApplyRouters(const adapter::StoreRows& rows, bool whole);
  core::Duration Jitter(core::Duration longest);

  RouterState& router;
  adapter::StoreClient& store;
  http::UpstreamPool& pool;
  PeerExchange& peers;
  std::function<void()> on_policy;
  Watch policy_watch;
  Watch runner_watch;
  Watch router_watch;
  dispatch::RemoteClock store_clock;
  /// The entries of runners as the store lists them, also those that lapsed during an outage.
  dispatch::RunnerDirectory directory;
  /// What this router tells the others while it asks the store for them.
  dispatch::DirectoryChanges directory_changes;
  /// Until then this router may not have heard of the others.
  core::TimePoint peers_known_at{};
  /// This router asks the store all the time.
  std::optional<bool> is_first;
  std::uint64_t draws = 0;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_STORE_SYNC_H_
