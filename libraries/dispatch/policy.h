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

/// One destination of a route that is divided between upstreams.
struct WeightedUpstream {
  std::string upstream;
  /// Relative to the sum over the route's destinations.
  double weight = 1.0;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  std::vector<WeightedUpstream> destinations;
  /// A request may run more than once.
  bool idempotent = false;
  /// The response is an event stream.
  bool streaming = false;
  /// A broken stream may continue at another runner after its last whole event.
  bool resumable = false;
  /// No API key is needed.
  bool open_to_all = false;
  /// 0 is the most urgent.
  int priority = 0;
  /// Runners to which one request may be sent.
  unsigned maximum_attempts = 1;
  /// The longest time that a request is kept waiting for its response.
  core::Duration timeout{};
  /// Latency objective: whole response, or first event of a stream.
  core::Duration objective{};
  /// The longest pause between events of a stream that meets its objective.
  core::Duration event_gap_objective{};
};

/// What an operator declares about the model engines of an upstream.
struct EngineLimits {
  /// Requests that one engine runs at the same time.
  unsigned slots = 0;
  /// Tokens of running requests and cached prefixes that one engine holds.
  double memory_tokens = 0.0;
  /// Tokens in one event of a stream.
  double tokens_per_event = 1.0;
};

struct UpstreamPolicy {
  std::string name;
  /// Connections that one runner accepts from all routers together.
  std::size_t maximum_connections = 0;
  /// The shortest objective of the streaming routes that lead here; derived from the routes.
  core::Duration tightest_objective{};
  /// Absent for plain services.
  std::optional<EngineLimits> engine;
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

/// One accepted configuration of routes, upstreams and workspaces. Immutable once built.
struct Policy {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::unordered_map<std::string, UpstreamPolicy> upstreams;
  CallerLimits limits;
  /// Tokens that all runners produce in a second; 0 if the operator did not say.
  double tokens_per_second = 0.0;
  /// If false, requests need no API key.
  bool has_workspaces = false;
  std::vector<Workspace> workspaces;
  /// API key to index in `workspaces`.
  std::unordered_map<std::string, std::size_t> workspace_by_key;
  /// Host to indices in `routes`, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
};

/// Fills what is derived from `routes`. Call once after routes and upstreams are complete.
void IndexRoutes(Policy& policy);

/// The route whose prefix is the longest that begins the path; null if there is none. A port in
/// `host` is ignored.
const Route* FindRoute(const Policy& policy, std::string_view host, std::string_view path);

/// The workspace that holds the key; null if none does.
const Workspace* FindWorkspace(const Policy& policy, std::string_view key);

/// The upstream for a request of a divided route, where `draw` is uniform in [0, 1). Empty if the
/// route has no destination.
std::string_view ChooseUpstream(const Route& route, double draw);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_POLICY_H_
