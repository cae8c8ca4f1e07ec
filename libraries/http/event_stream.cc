#include "libraries/http/event_stream.h"

namespace pomelospar::http {

std::size_t EndOfEvent(std::string_view text, std::size_t from) {
  for (auto line_end = text.find('\n', from); line_end != std::string_view::npos;
       line_end = text.find('\n', line_end + 1)) {
    auto next = line_end + 1;
    if (next < text.size() && text[next] == '\r') {
      next += 1;
    }
    if (next < text.size() && text[next] == '\n') {
      return next + 1;
    }
  }
  return std::string_view::npos;
}

}  // namespace pomelospar::http
