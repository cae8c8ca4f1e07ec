#include "libraries/wire/replay_window.h"

namespace pomelospar::wire {

bool ReplayWindow::Accept(std::uint64_t sequence) {
  if (sequence == 0) {
    return false;
  }
  if (sequence > this->highest) {
    if (sequence - this->highest >= kWindowSize) {
      this->seen.reset();
    } else {
      for (std::uint64_t skipped = this->highest + 1; skipped < sequence; ++skipped) {
        this->seen.reset(skipped % kWindowSize);
      }
    }
    this->highest = sequence;
    this->seen.set(sequence % kWindowSize);
    return true;
  }
  if (this->highest - sequence >= kWindowSize || this->seen.test(sequence % kWindowSize)) {
    return false;
  }
  this->seen.set(sequence % kWindowSize);
  return true;
}

}  // namespace pomelospar::wire
