#include "services/pomelospard/event_stream_buffer.h"

#include "libraries/http/event_stream.h"

namespace pomelospar::daemon {

std::string_view EventStreamBuffer::Append(std::string_view bytes) {
  // An event boundary spans at most 4 bytes, so the search restarts 3 bytes before the new ones.
  std::size_t search = this->pending.size() < 3 ? 0 : this->pending.size() - 3;
  this->pending.append(bytes);
  std::size_t complete = 0;
  for (auto end = http::EndOfEvent(this->pending, search); end != std::string::npos;
       end = http::EndOfEvent(this->pending, complete)) {
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
