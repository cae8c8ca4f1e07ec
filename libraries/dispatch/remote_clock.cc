#include "libraries/dispatch/remote_clock.h"

#include <algorithm>

namespace pomelospar::dispatch {
namespace {

// Timestamps are in whole milliseconds, rounded down.
constexpr core::Duration kStampResolution = std::chrono::milliseconds(1);

}  // namespace

void RemoteClock::Record(core::Duration asked_at, core::Duration answered_at,
                         core::Duration stamp) {
  const auto least = asked_at - stamp - kStampResolution;
  const auto greatest = answered_at - stamp;
  // Contradicting bounds mean that one of the clocks was set, or that the clocks have drifted apart
  // by more than the duration of a call.
  const bool contradicts = least > this->greatest_offset || greatest < this->least_offset;
  if (!this->known || contradicts) {
    this->known = true;
    this->least_offset = least;
    this->greatest_offset = greatest;
    return;
  }
  this->least_offset = std::max(this->least_offset, least);
  this->greatest_offset = std::min(this->greatest_offset, greatest);
}

std::optional<core::Duration> RemoteClock::EarliestRemote(core::Duration local) const {
  if (!this->known) return std::nullopt;
  return local - this->greatest_offset;
}

std::optional<core::Duration> RemoteClock::EarliestLocal(core::Duration remote) const {
  if (!this->known) return std::nullopt;
  return remote + this->least_offset;
}

}  // namespace pomelospar::dispatch
