#ifndef POMELOSPAR_LIBRARIES_WIRE_REPLAY_WINDOW_H_
#define POMELOSPAR_LIBRARIES_WIRE_REPLAY_WINDOW_H_

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace pomelospar::wire {

/// Sequence numbers seen from one sender incarnation. Numbers that are older than the window are
/// taken for replayed.
class ReplayWindow {
 public:
  static constexpr std::size_t kWindow = 1024;

  /// Records the sequence number; false if it was seen before or is too old.
  bool Accept(std::uint64_t sequence);

 private:
  std::uint64_t highest = 0;
  // Bit `sequence % kWindow` is set for each number seen in (highest - kWindow, highest].
  std::bitset<kWindow> seen;
};

}  // namespace pomelospar::wire

#endif  // POMELOSPAR_LIBRARIES_WIRE_REPLAY_WINDOW_H_
