#ifndef POMELOSPAR_UTILITIES_POMELOSPARCTL_ADMIN_CLIENT_H_
#define POMELOSPAR_UTILITIES_POMELOSPARCTL_ADMIN_CLIENT_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libraries/core/result.h"

namespace pomelospar::pomelosparctl {

struct AdminResponse {
  int status = 0;
  nlohmann::json body;
};

/// Routers, credentials and time limit for blocking requests to the admin API.
struct AdminClient {
  /// Admin addresses of routers as "ip:port", tried in this order.
  std::vector<std::string> servers;
  /// Sent with each request unless it is empty.
  std::string token;
  std::chrono::milliseconds timeout = std::chrono::seconds(20);
};

/// Sends a request to each server in turn until one answers. Requests of the admin API are
/// idempotent, so the next server is also tried when a response was lost. Errors:
/// `kUnavailable` if no server received the request, `kUnknownOutcome` if one may have received it,
/// `kInternal` on an exception.
core::Result<AdminResponse> Request(const AdminClient& client, const std::string& method,
                                    const std::string& target, const nlohmann::json& body);

}  // namespace pomelospar::pomelosparctl

#endif  // POMELOSPAR_UTILITIES_POMELOSPARCTL_ADMIN_CLIENT_H_
