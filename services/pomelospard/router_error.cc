#include "services/pomelospard/router_error.h"

#include <nlohmann/json.hpp>

namespace pomelospar::daemon {

void AddRouterHeaders(std::vector<http::HttpHeader>& headers, admission::Outcome outcome,
                      std::string_view request_id) {
  headers.push_back(
      {std::string(admission::kOutcomeHeader), std::string(admission::HeaderValue(outcome))});
  headers.push_back({std::string(kRequestIdHeader), std::string(request_id)});
}

http::HttpResponse MakeErrorResponse(const RouterError& error, std::string_view request_id) {
  http::HttpResponse response;
  response.status = error.status;
  response.headers = {{"Content-Type", "application/json"}};
  AddRouterHeaders(response.headers, error.outcome, request_id);
  if (error.retry_after) {
    response.headers.push_back({"Retry-After", std::to_string(error.retry_after->count())});
  }
  const nlohmann::ordered_json body = {
      {"error", {{"code", error.code}, {"message", error.message}}},
  };
  response.body = body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  return response;
}

}  // namespace pomelospar::daemon
