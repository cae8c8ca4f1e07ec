#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EVENT_SPLITTER_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomelospar::edge {

/// Splits the bytes of an event stream into complete events. Only complete events are forwarded, so
/// that a stream that breaks in the middle of an event can be resumed at another runner after the
/// last complete one.
class EventSplitter {
 public:
  /// Appends bytes and returns all events that these bytes complete, each with its empty line. The
  /// view is valid until the next call.
  std::string_view Append(std::string_view bytes);
  /// True if a part of an incomplete event is buffered.
  bool has_rest() const { return this->rest_bytes() > 0; }
  /// Size of the buffered part of an incomplete event.
  std::size_t rest_bytes() const { return this->buffer.size() - this->returned; }
  /// Discards the buffered part of an event that will not be completed, as its stream has ended.
  void DropRest();

  /// Number of events returned so far.
  std::uint64_t events() const { return this->event_count; }
  /// Number of events returned by the latest `Append`.
  std::uint64_t new_events() const { return this->last_count; }
  /// Identifier of the latest returned event that has one.
  const std::optional<std::string>& last_id() const { return this->last_identifier; }
  /// Identifier of the first event with one among those returned by the latest `Append`.
  const std::optional<std::string>& first_new_id() const { return this->first_identifier; }

 private:
  void RecordEvent(std::string_view event);

  /// The events returned by the latest `Append`, then the incomplete event.
  std::string buffer;
  /// Size of the returned events at the start of `buffer`.
  std::size_t returned = 0;
  std::uint64_t event_count = 0;
  std::uint64_t last_count = 0;
  std::optional<std::string> last_identifier;
  std::optional<std::string> first_identifier;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EVENT_SPLITTER_H_
