#ifndef POMELOSPAR_SERVICES_POMELOSPARD_EVENT_STREAM_BUFFER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_EVENT_STREAM_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelospar::daemon {

/// Splits a stream of server-sent events at event boundaries. Only whole events are passed on, so
/// that another runner can resume a broken stream without the caller having received part of an
/// event.
class EventStreamBuffer {
 public:
  /// An event larger than this is passed on in parts, and the stream can no longer be resumed.
  static constexpr std::size_t kMaximumEventBytes = 256 * 1024;

  /// Adds bytes as they arrive and returns all whole events that are now complete. The view is
  /// valid until the next call.
  std::string_view Append(std::string_view bytes);

  /// Bytes of an incomplete event, to be passed on when the upstream ended the stream normally.
  std::string_view Rest() const { return this->pending; }

  /// Discards an incomplete event: the runner that resumes the stream sends it again.
  void DropRest() { this->pending.clear(); }

  /// Whole events returned so far.
  std::uint64_t events() const { return this->event_count; }

  bool resumable() const { return !this->oversized; }

 private:
  std::string ready;
  std::string pending;
  std::uint64_t event_count = 0;
  bool oversized = false;
};

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_EVENT_STREAM_BUFFER_H_
