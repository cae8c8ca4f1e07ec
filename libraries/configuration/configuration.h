#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/core/identifiers.h"

namespace pomelospar::configuration {

/// Limits that apply to every caller and upstream.
struct Limits {
  std::size_t maximum_header_bytes = 16 * 1024;
  std::size_t maximum_body_bytes = 4 * 1024 * 1024;
  std::size_t maximum_answer_bytes = 64 * 1024 * 1024;
  std::chrono::milliseconds header_timeout = std::chrono::seconds(10);
  std::chrono::milliseconds body_timeout = std::chrono::seconds(30);
  /// A request that waits in a queue for longer is rejected without being run.
  std::chrono::milliseconds queue_timeout = std::chrono::seconds(30);
  /// Cost units of the largest expected request, and cost units that one busy slot serves in a
  /// second. The fairness bound and the credit limit are computed from them.
  double largest_request_cost = 10000.0;
  double slot_service_rate = 500.0;
};

/// A class of requests within a workspace. The classes of a workspace share its service in
/// proportion to their weights.
struct RequestClass {
  std::string name;
  core::ClassId id{};
  double weight = 1.0;
};

/// Cost units charged for one request.
struct CostUnits {
  double per_call = 0.0;
  double per_input_token = 0.0;
  double per_output_token = 0.0;
};

/// One serving process of an upstream.
struct Runner {
  core::RunnerId id{};
  /// "ip:port".
  std::string address;
  std::string domain;
  core::DomainId domain_id{};
  /// Requests that may run on it at once.
  std::uint32_t slots = 1;
};

enum class UpstreamKind { kModelEngine, kPlainService };

/// A destination of routes: all runners of one model, or all instances of one service.
struct Upstream {
  std::string name;
  core::UpstreamId id{};
  UpstreamKind kind = UpstreamKind::kPlainService;
  /// The model name that callers use; empty for plain services.
  std::string model;
  CostUnits cost;
  /// Whether routers may use runners of other failure domains.
  bool cross_domain = true;
  /// Whether the upstream rejects commands that carry a stale fencing token.
  bool checks_fencing = false;
  std::chrono::milliseconds connect_timeout = std::chrono::seconds(1);
  std::vector<Runner> runners;
};

/// A customer: the unit of fairness.
struct Workspace {
  std::string name;
  core::WorkspaceId id{};
  double share = 1.0;
  /// SHA-256 of each API key, 64 lower-case hexadecimal digits.
  std::vector<std::string> key_hashes;
  std::vector<std::string> classes;
  /// The class of requests that do not name one; one of `classes`.
  std::string default_class;
  std::vector<std::string> upstreams;
  std::size_t maximum_queued_requests = 1000;
  std::size_t maximum_queued_bytes = 16 * 1024 * 1024;
};

/// Requests whose path has this prefix go to one upstream, or to the upstream of the model that
/// the body names. The longest matching prefix wins.
struct Route {
  std::string name;
  std::string path_prefix;
  /// Upper-case methods; empty means all.
  std::vector<std::string> methods;
  /// Empty if the upstream is chosen by the model that the body names.
  std::string upstream;
  bool repeatable = true;
  /// Longest time from dispatch to the first byte of the response, and between later bytes.
  std::chrono::milliseconds first_byte_timeout = std::chrono::seconds(30);
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(30);
};

/// The configuration of the whole fleet. It is not modified after a router has adopted it.
struct Configuration {
  std::uint64_t generation = 0;
  Limits limits;
  std::vector<RequestClass> classes;
  std::vector<Upstream> upstreams;
  std::vector<Workspace> workspaces;
  std::vector<Route> routes;
};

/// The first element with this name or identifier, or null.
template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  for (const auto& item : items) {
    if (item.name == name) {
      return &item;
    }
  }
  return nullptr;
}

template <typename T, typename Id>
const T* FindById(const std::vector<T>& items, Id id) {
  for (const auto& item : items) {
    if (item.id == id) {
      return &item;
    }
  }
  return nullptr;
}

/// The route with the longest matching path prefix that allows the method, or null.
const Route* FindRoute(const Configuration& configuration, std::string_view method,
                       std::string_view path);

/// The upstream that serves the model, or null.
const Upstream* FindUpstreamOfModel(const Configuration& configuration, std::string_view model);

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_H_
