#ifndef POMELOSPAR_SERVICES_POMELOSPARD_ROUTER_ERROR_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_ROUTER_ERROR_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/admission/outcome.h"
#include "libraries/http/message.h"

namespace pomelospar::daemon {

inline constexpr std::string_view kRequestIdHeader = "Pomelospar-Request-Id";

/// An error response that the router itself generates.
struct RouterError {
  unsigned status = 500;
  /// A stable error code for programs, such as "queue_full".
  std::string code;
  /// States the cause and the remedy for the caller.
  std::string message;
  admission::Outcome outcome = admission::Outcome::kNotRun;
  std::optional<std::chrono::seconds> retry_after;
};

/// Adds the headers with the outcome of the request and its id.
void AddRouterHeaders(std::vector<http::HttpHeader>& headers, admission::Outcome outcome,
                      std::string_view request_id);

/// Returns a response with the JSON body `{"error":{"code","message"}}`, and the headers of
/// `AddRouterHeaders`.
http::HttpResponse MakeErrorResponse(const RouterError& error, std::string_view request_id);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_ROUTER_ERROR_H_
