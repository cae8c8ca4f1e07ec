#ifndef POMELOSPAR_LIBRARIES_RUNNERS_RUNNER_TABLE_H_
#define POMELOSPAR_LIBRARIES_RUNNERS_RUNNER_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/configuration/configuration.h"
#include "libraries/core/identifiers.h"
#include "libraries/platform/platform_client.h"

namespace pomelospar::runners {

/// What this router knows about a runner. Whether the runner may take work is not stored here: the
/// notices about its address and incarnation decide it.
struct RunnerEntry {
  core::RunnerId id{};
  std::string address;
  core::UpstreamId upstream{};
  core::DomainId domain{};
  std::uint32_t slots = 1;
  /// The latest incarnation reported by the instance list or by the runner itself. Empty until one
  /// of them has reported it.
  std::string incarnation;
};

/// A runner that the instance list of the platform marks as leaving.
struct LeavingRunner {
  std::string address;
  std::string incarnation;
};

/// All runners of the fleet: those that the configuration declares and those that the instance list
/// names for a declared upstream. The instance list never removes a declared runner, because
/// the list lags and the platform may be unreachable. An undeclared runner is removed when the list
/// no longer contains it.
class RunnerTable {
 public:
  void SetConfiguration(const configuration::Configuration& configuration);

  /// Merges changes of the instance list and returns the runners that they mark as leaving.
  std::vector<LeavingRunner> ApplyInstances(const platform::InstanceChanges& changes);

  /// Records the incarnation that the runner itself reported. Returns true if it differs
  /// from the previous one, and false if it does not or the runner is unknown.
  bool SetIncarnation(core::RunnerId id, std::string_view incarnation);

  /// Returns null if the runner is unknown.
  const RunnerEntry* Find(core::RunnerId id) const;

  /// Returns the runners of one upstream in one failure domain, ordered by identifier.
  std::vector<const RunnerEntry*> OfPool(core::UpstreamId upstream, core::DomainId domain) const;

  /// Returns the failure domains in which the upstream has runners, ordered by identifier.
  std::vector<core::DomainId> DomainsOf(core::UpstreamId upstream) const;

  const std::unordered_map<core::RunnerId, RunnerEntry>& entries() const { return this->runners; }

  /// Increases whenever the table is rebuilt, so at least on every change of the runners, their
  /// slots or their pools.
  std::uint64_t version() const { return this->table_version; }

 private:
  void Rebuild();
  void Insert(RunnerEntry entry);

  // Identifiers of the declared upstreams by name. The role of an instance names its upstream.
  std::unordered_map<std::string, core::UpstreamId> upstreams;
  std::vector<RunnerEntry> declared;
  std::unordered_map<std::string, platform::Instance> instances;
  std::unordered_map<core::RunnerId, std::string> incarnations;
  std::unordered_map<core::RunnerId, RunnerEntry> runners;
  std::uint64_t table_version = 0;
};

}  // namespace pomelospar::runners

#endif  // POMELOSPAR_LIBRARIES_RUNNERS_RUNNER_TABLE_H_
