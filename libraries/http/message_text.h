#ifndef POMELOSPAR_LIBRARIES_HTTP_MESSAGE_TEXT_H_
#define POMELOSPAR_LIBRARIES_HTTP_MESSAGE_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/core/result.h"
#include "libraries/http/message.h"

namespace pomelospar::http {

/// Appends a request without its body, which has `body_bytes`. Adds `Host` unless it is given, and
/// the framing headers; framing headers in `request.headers` are ignored. Errors:
/// `kInvalidArgument` for a header, method or target with characters that would allow message
/// splitting.
core::Result<void> AppendRequestHead(const HttpRequest& request, std::size_t body_bytes,
                                     std::string_view host, std::string& output);

/// Appends a response head. Framing headers in `head.headers` are ignored.
core::Result<void> AppendResponseHead(const ResponseHead& head, bool keep_alive,
                                      std::string& output);

/// Appends one chunk of a chunked body. Appends nothing for an empty `piece`, because an empty
/// chunk would end the body.
void AppendChunk(std::string_view piece, std::string& output);
core::Result<void> AppendLastChunk(const std::vector<HttpHeader>& trailers, std::string& output);

/// False for responses that never have a body: 1xx, 204 and 304.
bool StatusAllowsBody(unsigned status);

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_MESSAGE_TEXT_H_
