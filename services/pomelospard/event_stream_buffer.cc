#include "services/pomelospard/event_stream_buffer.h"

#include <algorithm>

namespace pomelospar::daemon {
namespace {

// Events end with an empty line; lines end with "\n" or "\r\n".
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

}  // namespace

std::string_view EventStreamBuffer::Append(std::string_view bytes) {
  // An event border spans at most 4 bytes, so the search restarts a little before the new bytes.
  std::size_t search = this->pending.size() < 3 ? 0 : this->pending.size() - 3;
  this->pending.append(bytes);
  std::size_t complete = 0;
  for (auto end = EndOfEvent(this->pending, search); end != std::string::npos;
       end = EndOfEvent(this->pending, complete)) {
    complete = end;
    this->event_count += 1;
  }
  if (complete == 0 && this->pending.size() > kMaximumEventBytes) {
    this->oversized = true;
    complete = this->pending.size();
  }
  this->ready.assign(this->pending, 0, complete);
  this->pending.erase(0, complete);
  return this->ready;
}

}  // namespace pomelospar::daemon
