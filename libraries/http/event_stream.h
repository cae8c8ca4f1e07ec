#ifndef POMELOSPAR_LIBRARIES_HTTP_EVENT_STREAM_H_
#define POMELOSPAR_LIBRARIES_HTTP_EVENT_STREAM_H_

#include <cstddef>
#include <string_view>

namespace pomelospar::http {

/// Returns the position after the first server-sent event that ends at or after `from`, or `npos`
/// if none does. An empty line ends an event; lines end with LF or CRLF.
std::size_t EndOfEvent(std::string_view text, std::size_t from);

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_EVENT_STREAM_H_
