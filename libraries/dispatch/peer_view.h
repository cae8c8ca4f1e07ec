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
#include "libraries/dispatch/engine_coordination.h"
#include "libraries/dispatch/engine_model.h"
#include "libraries/dispatch/evacuations.h"
#include "libraries/dispatch/prompt.h"
#include "libraries/dispatch/runner_directory.h"
#include "libraries/dispatch/table_proof.h"

namespace pomelospar::dispatch {

/// Tokens that one workspace requested and was served in the fair-share window.
struct WorkspaceUsage {
  /// Tokens of all its requests.
  double asked = 0.0;
  /// What `asked` will be if the demand goes on as in the latest part of the window.
  double forecast = 0.0;
  /// Tokens of its requests that were placed at an engine.
  double served = 0.0;
};

/// Reports that a router sent a prompt with these leading parts to a runner, whose prefix cache
/// then holds them.
struct SentPrefix {
  std::uint64_t runner = 0;
  std::vector<PromptPart> parts;
};

/// One run of a runner; a restarted runner with the same identifier has another one.
struct RunnerRun {
  /// Hash of the runner's identifier.
  std::uint64_t runner = 0;
  std::int64_t started_unix_ms = 0;
};

/// A runner that the sender believes to have just started.
struct ColdRunner {
  RunnerRun run;
  core::Duration left{};
};

/// Report of one router about its own work, sent to the other routers. Keys of the maps are hashes
/// of names.
struct PeerReport {
  std::string sender;
  std::string domain;
  /// Random number chosen at the start of the process, so that a restarted router is recognized.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// If true, `runners` has only the entries that changed for the receiver, and only `proposal` and
  /// `reply` may be set besides.
  bool is_partial = false;
  std::unordered_map<std::uint64_t, EngineLoad> runners;
  std::unordered_map<std::uint64_t, WorkspaceUsage> workspaces;
  /// Leading parts of the prompts sent since the previous report.
  std::vector<SentPrefix> sent_prefixes;
  SuspectNews suspects;
  /// Runners that said in a response that they leave.
  std::vector<RunnerRun> leaving_runners;
  std::vector<ColdRunner> cold_runners;
  /// Absent until the sender has read the operator's table.
  std::optional<Evacuations> evacuations;
  /// Version of the newest configuration that the sender knows of, in force there or not; 0 if
  /// there is none.
  std::uint64_t policy_version = 0;
  /// True if the sender cannot tell whether there is a newer one.
  bool policy_is_unconfirmed = false;
  /// Contents of the operator's table and of the runner directory that the sender holds.
  std::optional<TableProof> policy;
  std::optional<TableProof> directory;
  /// Recent changes of the directory that led to the sender's content, oldest first.
  std::vector<DirectoryChange> directory_changes;
  /// Time by the store's clock at which the store answered the sender again after an outage.
  /// Entries that disappeared around that time may have expired during the outage.
  std::optional<core::Duration> store_regained_at;
  std::optional<PlacementProposal> proposal;
  std::optional<PlacementReply> reply;
};

/// Holds the latest report of each other router and the sums over all of them.
class PeerView {
 public:
  /// Stores a report unless a newer one of the same process is known. Returns false for an outdated
  /// report, and for a partial one of a process of which no whole report is known.
  bool Apply(PeerReport report, core::TimePoint now);
  /// Drops reports older than `limit`, so that the work of a router that is gone does not count for
  /// long. Returns the number of dropped reports.
  std::size_t Expire(core::TimePoint now, core::Duration limit);

  EngineLoad LoadOf(std::uint64_t runner) const;
  /// Returns the load that all reporting routers but `sender` put on the runner.
  EngineLoad LoadWithout(const std::string& sender, std::uint64_t runner) const;
  /// Returns the names of the reporting routers of a failure domain. The views are valid until the
  /// next change of this object.
  std::vector<std::string_view> RoutersOf(std::string_view domain) const;
  /// The same for all failure domains.
  std::vector<std::string_view> Routers() const;
  WorkspaceUsage UsageOf(std::uint64_t workspace) const;
  const std::unordered_map<std::uint64_t, WorkspaceUsage>& usage() const { return this->usage_sum; }
  std::size_t size() const { return this->reports.size(); }
  bool HasReportFrom(const std::string& sender) const { return this->reports.contains(sender); }
  /// Returns how many of the reporting routers precede `name` in name order. Counts only routers of
  /// the failure domain `domain` unless it is empty.
  std::size_t RankOf(std::string_view name, std::string_view domain) const;

 private:
  struct Received {
    PeerReport report;
    core::TimePoint at;
    /// Sequence number of the latest partial report.
    std::uint64_t partial_sequence = 0;
  };
  bool ApplyPartial(Received& known, const PeerReport& report, core::TimePoint now);
  void Add(const PeerReport& report);
  void Remove(const PeerReport& report);

  std::unordered_map<std::string, Received> reports;
  std::unordered_map<std::uint64_t, EngineLoad> load_sum;
  std::unordered_map<std::uint64_t, WorkspaceUsage> usage_sum;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PEER_VIEW_H_
