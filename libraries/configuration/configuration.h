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

/// Bounds that hold for every caller and upstream.
struct Limits {
  std::size_t maximum_header_bytes = 16 * 1024;
  std::size_t maximum_body_bytes = 4 * 1024 * 1024;
  std::size_t maximum_answer_bytes = 64 * 1024 * 1024;
  std::chrono::milliseconds header_timeout = std::chrono::seconds(10);
  std::chrono::milliseconds body_timeout = std::chrono::seconds(30);
  /// Longest time a request may wait in a queue before it is refused as not run.
  std::chrono::milliseconds queue_timeout = std::chrono::seconds(30);
  /// Cost units of the largest request that is expected, and of one busy slot in a second; the
  /// fairness bound and the credit limit follow from them.
  double largest_request_cost = 10000.0;
  double slot_service_rate = 500.0;
};

/// A kind of work inside a workspace. Classes divide a workspace's service by weight.
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

/// A back end that routes lead to: all runners of one model, or all instances of one service.
struct Upstream {
  std::string name;
  core::UpstreamId id{};
  UpstreamKind kind = UpstreamKind::kPlainService;
  /// The model that callers name; empty for plain services.
  std::string model;
  CostUnits cost;
  /// Whether routers of one failure domain may use runners of another one.
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
  /// The class of a request that names none; one of `classes`.
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
  /// Time from dispatch to the first byte of the answer, and between later bytes.
  std::chrono::milliseconds first_byte_timeout = std::chrono::seconds(30);
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(30);
};

/// The configuration of the whole fleet; immutable once it is in force.
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
