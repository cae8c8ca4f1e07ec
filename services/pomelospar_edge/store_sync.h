#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_STORE_SYNC_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_STORE_SYNC_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "libraries/http/upstream_pool.h"
#include "platform/store_client.h"
#include "services/pomelospar_edge/blackboard.h"
#include "services/pomelospar_edge/peer_exchange.h"

namespace pomelospar::edge {

/// Keeps the router's view of configuration, runners and routers in step with the store.
class StoreSync {
 public:
  StoreSync(Blackboard& board, adapter::StoreClient& store, http::UpstreamPool& pool,
            PeerExchange& peers, std::function<void()> on_policy);

  /// Starts to watch the tables and registers this router.
  void Start();
  /// Takes this router's row away, so that the others no longer send reports to it.
  boost::asio::awaitable<void> Unregister();
  /// Drops runners whose entries did not come back in time. Call a few times a second.
  void DropLapsedRunners();

 private:
  struct Watch {
    std::string table;
    /// How long the store may keep a call waiting.
    core::Duration wait{};
    /// Pause between two answers; bounds the calls of a table that changes all the time.
    core::Duration pause{};
    std::function<void(const adapter::StoreRows&, bool whole, core::Duration asked_at)> apply;
    /// When the store answered again after a failure.
    core::TimePoint regained_at{};
    bool failing = false;
  };

  boost::asio::awaitable<core::Result<adapter::StoreRows>> Ask(const Watch& watch, bool whole,
                                                               std::uint64_t version);
  boost::asio::awaitable<void> Follow(Watch& watch);
  void NoteFailure(Watch& watch, const core::Error& error);
  void NoteSuccess(Watch& watch);
  boost::asio::awaitable<void> Register();
  boost::asio::awaitable<void> ProposeKey();

  void ApplyPolicy(const adapter::StoreRows& rows, bool whole, core::Duration asked_at);
  void ApplyRunners(const adapter::StoreRows& rows, bool whole);
  void ApplyRunner(const adapter::StoreRow& row);
  void RemoveRunner(const std::string& id, std::string_view reason);
  void MissRunner(const std::string& id);
  void ApplyRouters(const adapter::StoreRows& rows, bool whole);
  core::Duration Jitter(core::Duration longest);

  Blackboard& board;
  adapter::StoreClient& store;
  http::UpstreamPool& pool;
  PeerExchange& peers;
  std::function<void()> on_policy;
  Watch policy_watch;
  Watch runner_watch;
  Watch router_watch;
  std::uint64_t draws = 0;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_STORE_SYNC_H_
