#ifndef POMELOSPAR_LIBRARIES_DISPATCH_PEER_VIEW_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_PEER_VIEW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/dispatch/crash_suspects.h"
#include "libraries/dispatch/engine_model.h"
#include "libraries/dispatch/prompt.h"
#include "libraries/dispatch/runner_directory.h"
#include "libraries/dispatch/table_proof.h"

namespace pomelospar::dispatch {

/// Demand of one workspace in the share window, in tokens.
struct WorkspaceUsage {
  double asked = 0.0;
  double served = 0.0;
};

/// A router sent a prompt that begins with these parts to a runner, which then keeps them.
struct PrefixRead {
  std::uint64_t runner = 0;
  std::vector<PromptPart> parts;
};

/// What one router tells the others about its own work. Keys are hashes of names.
struct PeerReport {
  std::string sender;
  std::string domain;
  /// Drawn at the start of the process.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::unordered_map<std::uint64_t, EngineLoad> runners;
  std::unordered_map<std::uint64_t, WorkspaceUsage> workspaces;
  /// Since the report before.
  std::vector<PrefixRead> reads;
  std::vector<Suspicion> suspicions;
  /// The configuration and the directory of runners as the sender knows them.
  std::optional<TableProof> policy;
  std::optional<TableProof> directory;
  /// Steps of the directory that led to the sender's content, oldest first.
  std::vector<DirectoryChange> directory_changes;
  /// When the store answered the sender again after an outage, by the store's clock. Entries that
  /// went missing about then may have lapsed with the store.
  std::optional<core::Duration> store_regained_at;
};

/// The latest reports of the other routers and their sums.
class PeerView {
 public:
  /// Takes a report unless a newer one of the same process is known. False if it was old.
  bool Apply(PeerReport report, core::TimePoint now);
  /// Forgets reports that are older than the limit, so that the work of a router that is gone does
  /// not count for long. Returns how many were forgotten.
  std::size_t Expire(core::TimePoint now, core::Duration limit);

  EngineLoad LoadOf(std::uint64_t runner) const;
  WorkspaceUsage UsageOf(std::uint64_t workspace) const;
  const std::unordered_map<std::uint64_t, WorkspaceUsage>& usage() const { return this->usage_sum; }
  std::size_t size() const { return this->reports.size(); }
  bool Knows(const std::string& sender) const { return this->reports.contains(sender); }
  /// How many routers with a report come before this one by name; those of one failure domain if
  /// `domain` is not empty.
  std::size_t RankOf(std::string_view name, std::string_view domain) const;

 private:
  struct Received {
    PeerReport report;
    core::TimePoint at;
  };
  void Add(const PeerReport& report);
  void Remove(const PeerReport& report);

  std::unordered_map<std::string, Received> reports;
  std::unordered_map<std::uint64_t, EngineLoad> load_sum;
  std::unordered_map<std::uint64_t, WorkspaceUsage> usage_sum;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PEER_VIEW_H_
