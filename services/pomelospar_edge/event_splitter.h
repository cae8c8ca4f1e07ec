#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EVENT_SPLITTER_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomelospar::edge {

/// Cuts the bytes of an event stream into whole events, so that a stream that breaks in the middle
/// of an event can go on at another runner after the last whole one.
class EventSplitter {
 public:
  /// Takes more bytes and returns all events that are whole now, with their empty lines. The view
  /// is valid until the next call.
  std::string_view Append(std::string_view bytes);
  /// Bytes of an event that is not whole yet.
  bool has_rest() const { return this->rest_bytes() > 0; }
  std::size_t rest_bytes() const { return this->buffer.size() - this->returned; }
  /// Forgets the bytes of an event that will never be whole.
  void DropRest();

  /// Events returned so far.
  std::uint64_t events() const { return this->event_count; }
  /// Events in the last answer of `Append`.
  std::uint64_t new_events() const { return this->last_count; }
  /// The identifier of the last event returned that has one.
  const std::optional<std::string>& last_id() const { return this->last_identifier; }
  /// The identifier of the first event in the last answer of `Append`.
  const std::optional<std::string>& first_new_id() const { return this->first_identifier; }

 private:
  void NoteEvent(std::string_view event);

  std::string buffer;
  std::size_t returned = 0;
  std::uint64_t event_count = 0;
  std::uint64_t last_count = 0;
  std::optional<std::string> last_identifier;
  std::optional<std::string> first_identifier;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EVENT_SPLITTER_H_
