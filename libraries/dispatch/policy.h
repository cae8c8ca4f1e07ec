#ifndef POMELOSPAR_LIBRARIES_DISPATCH_POLICY_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_POLICY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// One destination of a route that is split between upstreams.
struct WeightedUpstream {
  std::string upstream;
  /// Relative to the sum of the weights of the route's destinations.
  double weight = 1.0;
};

struct Route {
  std::string name;
  std::string host;
  /// Path prefix; begins and ends with a slash.
  std::string prefix;
  std::vector<WeightedUpstream> destinations;
  /// A request may safely run more than once.
  bool idempotent = false;
  /// The response is an event stream.
  bool streaming = false;
  /// A broken stream may be continued by another runner after its last complete event.
  bool resumable = false;
  /// Requests need no API key.
  bool open_to_all = false;
  /// 0 is the most urgent.
  int priority = 0;
  /// Number of runners to which one request may be sent.
  unsigned maximum_attempts = 1;
  /// Longest time that a request waits for its response.
  core::Duration timeout{};
  /// Latency objective: for the whole response, or for the first event of a stream.
  core::Duration objective{};
  /// Longest pause between two events of a stream that still meets the objective.
  core::Duration event_gap_objective{};
};

/// Capacity of the model engines of an upstream, as declared by the operator.
struct EngineLimits {
  /// Requests that one engine runs concurrently.
  unsigned slots = 0;
  /// Memory of one engine for running requests and cached prefixes, in tokens.
  double memory_tokens = 0.0;
  /// Tokens per event of a stream.
  double tokens_per_event = 1.0;
  /// Tokens per millisecond that one engine copies from the prefix cache of another; 0 if the
  /// engines do not copy.
  double cache_copy_tokens_per_ms = 0.0;
};

struct UpstreamPolicy {
  std::string name;
  /// Connections that one runner accepts from all routers together.
  std::size_t maximum_connections = 0;
  /// Absent for plain services.
  std::optional<EngineLimits> engine;
  /// Time for which a started runner is cold.
  core::Duration cold_start{};
  /// Requests per second that a cold runner tolerates; 0 if runners are never cold.
  double cold_starts_per_second = 0.0;
};

struct CallerLimits {
  std::uint32_t header_bytes = 16U << 10U;
  std::uint64_t body_bytes = 4ULL << 20U;
  core::Duration header_timeout = std::chrono::seconds(3);
  core::Duration idle_timeout = std::chrono::seconds(15);
};

struct Workspace {
  std::string name;
  /// Takes precedence over the priority of a route where it is set.
  std::optional<int> priority;
};

/// One accepted configuration of routes, upstreams and workspaces. It is not changed once built.
struct Policy {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::unordered_map<std::string, UpstreamPolicy> upstreams;
  CallerLimits limits;
  /// Tokens per second that all runners together generate; 0 if the operator did not declare it.
  double tokens_per_second = 0.0;
  /// If false, requests need no API key.
  bool has_workspaces = false;
  std::vector<Workspace> workspaces;
  /// Maps an API key to an index in `workspaces`.
  std::unordered_map<std::string, std::size_t> workspace_by_key;
  /// Maps a host to indices in `routes`, ordered from the longest to the shortest prefix.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
};

/// Fills `routes_by_host` from `routes`. Call it once after the routes are complete.
void IndexRoutes(Policy& policy);

/// Returns the route of the host with the longest prefix that `path` begins with, or null if there
/// is none. A port in `host` is ignored.
const Route* FindRoute(const Policy& policy, std::string_view host, std::string_view path);

/// Returns the workspace that the API key belongs to, or null if there is none.
const Workspace* FindWorkspace(const Policy& policy, std::string_view key);

/// Chooses the upstream for a request of a split route at random by weight. `draw` is a uniform
/// random number in [0, 1). Returns an empty string if the route has no destination.
std::string_view ChooseUpstream(const Route& route, double draw);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_POLICY_H_
