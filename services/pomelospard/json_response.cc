#include "services/pomelospard/json_response.h"

#include <nlohmann/json.hpp>

namespace pomelospar::daemon {

http::HttpResponse JsonResponse(unsigned status, const nlohmann::ordered_json& body) {
  http::HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  return response;
}

http::HttpResponse JsonErrorResponse(unsigned status, std::string_view message) {
  return JsonResponse(status, {{"message", message}});
}

}  // namespace pomelospar::daemon
