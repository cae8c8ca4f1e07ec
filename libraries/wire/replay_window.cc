#include "libraries/wire/replay_window.h"

namespace pomelospar::wire {

bool ReplayWindow::Accept(std::uint64_t sequence) {
  if (sequence == 0) {
    return false;
  }
  if (sequence > this->highest) {
    if (sequence - this->highest >= kWindow) {
      this->seen.reset();
    } else {
      for (std::uint64_t skipped = this->highest + 1; skipped < sequence; ++skipped) {
        this->seen.reset(skipped % kWindow);
      }
    }
    this->highest = sequence;
    this->seen.set(sequence % kWindow);
    return true;
  }
  if (this->highest - sequence >= kWindow || this->seen.test(sequence % kWindow)) {
    return false;
  }
  this->seen.set(sequence % kWindow);
  return true;
}

}  // namespace pomelospar::wire
