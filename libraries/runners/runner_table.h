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

/// A runner as this router knows it. Whether it may take work is decided by the notices about its
/// address and incarnation.
struct RunnerEntry {
  core::RunnerId id{};
  std::string address;
  core::UpstreamId upstream{};
  core::DomainId domain{};
  std::uint32_t slots = 1;
  /// The latest incarnation heard from the instance list or from the runner itself; empty until
  /// one of them named it.
  std::string incarnation;
};

/// A runner that the platform says is leaving.
struct LeavingRunner {
  std::string address;
  std::string incarnation;
};

/// All runners of the fleet: those that the configuration declares and those that the instance list
/// names for a declared upstream. The instance list never removes a declared runner, because it
/// lags and the platform may be cut off; an undeclared runner goes when the list drops it.
class RunnerTable {
 public:
  void SetConfiguration(const configuration::Configuration& configuration);

  /// Merges changes of the instance list and returns the runners that it says are leaving.
  std::vector<LeavingRunner> ApplyInstances(const platform::InstanceChanges& changes);

  /// Records the incarnation that the runner itself reported. Returns true if it is another one
  /// than before.
  bool SetIncarnation(core::RunnerId id, std::string_view incarnation);

  const RunnerEntry* Find(core::RunnerId id) const;

  /// The runners of one upstream in one failure domain, in order of their identifiers.
  std::vector<const RunnerEntry*> OfPool(core::UpstreamId upstream, core::DomainId domain) const;

  /// The failure domains in which the upstream has runners, in order of their identifiers.
  std::vector<core::DomainId> DomainsOf(core::UpstreamId upstream) const;

  const std::unordered_map<core::RunnerId, RunnerEntry>& entries() const { return this->runners; }

  /// Grows whenever the set of runners, their slots or their pools change.
  std::uint64_t version() const { return this->table_version; }

 private:
  void Rebuild();
  void Insert(RunnerEntry entry);

  // Names of declared upstreams, to find the upstream of an instance's role.
  std::unordered_map<std::string, core::UpstreamId> upstreams;
  std::vector<RunnerEntry> declared;
  std::unordered_map<std::string, platform::Instance> instances;
  std::unordered_map<core::RunnerId, std::string> incarnations;
  std::unordered_map<core::RunnerId, RunnerEntry> runners;
  std::uint64_t table_version = 0;
};

}  // namespace pomelospar::runners

#endif  // POMELOSPAR_LIBRARIES_RUNNERS_RUNNER_TABLE_H_
