#ifndef POMELOSPAR_UTILITIES_POMELOSPARCTL_ADMIN_CLIENT_H_
#define POMELOSPAR_UTILITIES_POMELOSPARCTL_ADMIN_CLIENT_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libraries/core/result.h"

namespace pomelospar::pomelosparctl {

struct AdminAnswer {
  int status = 0;
  nlohmann::json body;
};

/// Blocking client of the admin API.
struct AdminClient {
  /// "ip:port" of admin ports, tried in turn.
  std::vector<std::string> servers;
  std::string token;
  std::chrono::milliseconds timeout = std::chrono::seconds(20);
};

/// Sends to each server in turn until one answers. Requests of the admin API have the same effect
/// when they are repeated, so the next server is also tried after a lost answer. Errors:
/// `kUnavailable` if no server got the request, `kUnknownOutcome` if one may have got it.
core::Result<AdminAnswer> Request(const AdminClient& client, const std::string& method,
                                  const std::string& target, const nlohmann::json& body);

}  // namespace pomelospar::pomelosparctl

#endif  // POMELOSPAR_UTILITIES_POMELOSPARCTL_ADMIN_CLIENT_H_
