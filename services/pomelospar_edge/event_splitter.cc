#include "services/pomelospar_edge/event_splitter.h"

#include <algorithm>

#include "libraries/http/buffer.h"
#include "libraries/http/event_stream.h"

namespace pomelospar::edge {
namespace {

// Length of the longest end of an event, "\r\n\r\n".
constexpr std::size_t kMaxEventEndBytes = 4;

std::optional<std::string_view> FindIdentifier(std::string_view event) {
  constexpr std::string_view kField = "id:";
  std::size_t start = 0;
  while (start < event.size()) {
    const auto end = std::min(event.find('\n', start), event.size());
    auto line = event.substr(start, end - start);
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
      while (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      return line;
    }
    start = end + 1;
  }
  return std::nullopt;
}

}  // namespace

void EventSplitter::RecordEvent(std::string_view event) {
  ++this->event_count;
  ++this->last_count;
  const auto identifier = FindIdentifier(event);
  if (!identifier) return;
  this->last_identifier = std::string(*identifier);
  if (!this->first_identifier) this->first_identifier = this->last_identifier;
}

std::string_view EventSplitter::Append(std::string_view bytes) {
  this->buffer.erase(0, this->returned);
  // The end of an event is at most four bytes long, so an end that is not complete yet begins here
  // at the earliest. Searching the whole incomplete event for each piece would take time that grows
  // with the square of its size.
  auto search = std::max(this->buffer.size(), kMaxEventEndBytes) - kMaxEventEndBytes;
  this->returned = 0;
  this->last_count = 0;
  this->first_identifier.reset();
  this->buffer.append(bytes);
  const std::string_view text = this->buffer;
  while (true) {
    const auto end = http::EndOfEvent(text, search);
    if (end == std::string_view::npos) break;
    this->RecordEvent(text.substr(this->returned, end - this->returned));
    this->returned = end;
    search = end;
  }
  return text.substr(0, this->returned);
}

void EventSplitter::DropRest() {
  http::ReleaseBuffer(this->buffer);
  this->returned = 0;
}

}  // namespace pomelospar::edge
