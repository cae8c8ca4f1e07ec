#ifndef POMELOSPAR_LIBRARIES_HTTP_EVENT_STREAM_H_
#define POMELOSPAR_LIBRARIES_HTTP_EVENT_STREAM_H_

#include <cstddef>
#include <string_view>

namespace pomelospar::http {

/// The position after the first event that ends at or after `from` in the text of an event stream;
/// `npos` if none does. Events end with an empty line; lines end with LF or CRLF.
std::size_t EndOfEvent(std::string_view text, std::size_t from);

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_EVENT_STREAM_H_
