#ifndef POMELOSPAR_LIBRARIES_WIRE_REPLAY_WINDOW_H_
#define POMELOSPAR_LIBRARIES_WIRE_REPLAY_WINDOW_H_

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace pomelospar::wire {

/// Remembers which of the `kWindowSize` sequence numbers up to the highest one received from a
/// sender incarnation were recorded, and so detects replays. Numbers older than the window are
/// treated as replayed.
class ReplayWindow {
 public:
  /// Number of sequence numbers that the window covers.
  static constexpr std::size_t kWindowSize = 1024;

  /// Records the sequence number. Returns false if it is zero, was recorded before or is too old.
  bool Accept(std::uint64_t sequence);

 private:
  std::uint64_t highest = 0;
  // Bit `sequence % kWindowSize` is set for each recorded number in
  // (highest - kWindowSize, highest].
  std::bitset<kWindowSize> seen;
};

}  // namespace pomelospar::wire

#endif  // POMELOSPAR_LIBRARIES_WIRE_REPLAY_WINDOW_H_
