#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_HELD_BYTES_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_HELD_BYTES_H_

#include <cstddef>

namespace pomelospar::edge {

/// Bytes of responses that this router holds until an event or a body is whole.
struct HeldBytesTotal {
  std::size_t bytes = 0;
  std::size_t limit = 0;
};

/// The part of one response. Answers many runners that send events or bodies without end at the
/// same time: together they take no more memory than the limit.
class HeldBytes {
 public:
  /// Small parts are always granted, so that sound responses go on while others use up the limit.
  static constexpr std::size_t kAlwaysGranted = 16U << 10U;

  explicit HeldBytes(HeldBytesTotal& total);
  ~HeldBytes();
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  /// Sets the size of this part. False, and nothing changes, if the total would exceed the limit.
  [[nodiscard]] bool Resize(std::size_t bytes);

 private:
  HeldBytesTotal& total;
  std::size_t held = 0;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_HELD_BYTES_H_
