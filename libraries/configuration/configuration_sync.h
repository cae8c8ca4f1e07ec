#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_SYNC_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_SYNC_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libraries/configuration/changes_assembler.h"
#include "libraries/configuration/configuration_records.h"
#include "libraries/configuration/configuration_store.h"
#include "libraries/core/clock.h"
#include "libraries/platform/platform_client.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::configuration {

/// What the synchronisation needs from the daemon. All calls happen on the I/O thread.
struct SyncCallbacks {
  /// Sends a message to the control address of a peer. The message may be lost.
  std::function<void(const std::string& peer, const wire::Message& message)> send;
  /// Called after the store has adopted a generation. `committed_here` is true on the router that
  /// committed it, which then pings all live routers at once.
  std::function<void(const HeldPointer& held, bool committed_here)> adopted;
  /// The control addresses of the peers that membership considers reachable, without this router.
  std::function<std::vector<std::string>()> reachable_peers;
  /// Runs `work` on another thread, then `done` on the I/O thread. If empty, both run immediately
  /// on the calling thread.
  std::function<void(std::function<void()> work, std::function<void()> done)> offload;
  /// Called for errors that the operator should see in the log. The function may be empty.
  std::function<void(const core::Error& error)> failed;
};

struct SyncSettings {
  std::chrono::milliseconds poll_period = std::chrono::seconds(2);
};

/// Keeps a router's configuration at the highest generation that the platform or a peer holds. Runs
/// on the I/O thread; must outlive the callbacks of the platform client.
class ConfigurationSync {
 public:
  ConfigurationSync(ConfigurationStore& store, platform::PlatformClient platform,
                    SyncCallbacks callbacks, SyncSettings settings, std::mt19937_64 random);
  ConfigurationSync(const ConfigurationSync&) = delete;
  ConfigurationSync& operator=(const ConfigurationSync&) = delete;

  /// Polls the platform and repeats unanswered requests. Call it about every 50 ms.
  void Tick(core::TimePoint now);
  /// Called with the generation that a peer reports; every `Ping` and `Ack` carries it.
  void OnPeerGeneration(const std::string& peer, std::uint64_t generation);
  /// Called when membership has lost the peer. Its generation is no longer considered.
  void OnPeerGone(const std::string& peer);
  void OnRequest(const std::string& peer, const wire::ConfigurationRequest& request);
  void OnChanges(const std::string& peer, const wire::ConfigurationChanges& part);

  /// Adopts a generation that this router committed.
  void AdoptCommitted(const HeldPointer& held);
  /// Brings the store to the generation of `head` by reading the platform, then calls `done`. After
  /// an error the store holds the same generation as before or a newer one.
  void CatchUp(const HeadRecord& head, std::function<void(core::Result<void>)> done);

  /// Runs `work` and then `done` through `SyncCallbacks::offload`.
  void Offload(std::function<void()> work, std::function<void()> done);

  /// Whether the router may accept requests. Becomes true once the router holds a configuration
  /// that is at least as new as those of the platform (if it answered) and of all reachable peers
  /// that answered, and then stays true.
  bool ready() const { return this->is_ready; }

 private:
  struct Peer {
    std::optional<std::uint64_t> generation;
    core::TimePoint first_asked;
    core::TimePoint last_asked;
  };
  enum class PlatformState { kNotAsked, kAnswered, kFailed };

  void Poll();
  void OnHead(core::Result<std::optional<platform::Row>> row);
  void ReadChangeRows(const HeadRecord& head, std::function<void(core::Result<void>)> done);
  void ReadSnapshot(const HeadRecord& head, std::function<void(core::Result<void>)> done);
  void Prepare(wire::ConfigurationChanges changes, std::function<void(core::Result<void>)> done);
  void RequestFromPeer();
  void AskPeersForGenerations();
  void UpdateReady();
  bool HoldsGenerationOfPeers() const;
  void Report(const core::Error& error) const;

  ConfigurationStore& store;
  platform::PlatformClient platform;
  SyncCallbacks callbacks;
  SyncSettings settings;
  std::mt19937_64 random;
  core::TimePoint now{};
  core::TimePoint next_poll{};
  bool poll_outstanding = false;
  PlatformState platform_state = PlatformState::kNotAsked;
  std::uint64_t platform_generation = 0;
  std::map<std::string, Peer> peers;
  core::TimePoint next_peer_request{};
  std::uint64_t preparing_generation = 0;
  ChangesAssembler assembler;
  bool is_ready = false;
};

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_SYNC_H_
