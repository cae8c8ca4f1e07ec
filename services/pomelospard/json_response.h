#ifndef POMELOSPAR_SERVICES_POMELOSPARD_JSON_RESPONSE_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_JSON_RESPONSE_H_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "libraries/http/message.h"

namespace pomelospar::daemon {

/// A response with a JSON body; bytes that are not UTF-8 are replaced.
http::HttpResponse JsonResponse(unsigned status, const nlohmann::ordered_json& body);

/// `{"message": message}`.
http::HttpResponse JsonErrorResponse(unsigned status, std::string_view message);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_JSON_RESPONSE_H_
