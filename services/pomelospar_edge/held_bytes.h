#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_HELD_BYTES_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_HELD_BYTES_H_

#include <cstddef>

namespace pomelospar::edge {

/// Memory of all response parts that this router buffers until an event or a body is complete.
struct HeldBytesTotal {
  std::size_t bytes = 0;
  std::size_t limit = 0;
};

/// Memory that one response takes from a HeldBytesTotal; the destructor returns it. The total
/// bounds the memory when many faulty runners send endless events or bodies at the same time.
class HeldBytes {
 public:
  /// Sizes up to this many bytes are always granted, so that responses of sound runners continue
  /// while faulty ones use up the limit.
  static constexpr std::size_t kAlwaysGrantedBytes = 16U << 10U;

  explicit HeldBytes(HeldBytesTotal& total);
  ~HeldBytes();
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  /// Sets the bytes that this response takes. Returns false and changes nothing if `bytes` is above
  /// `kAlwaysGrantedBytes` and the total would exceed its limit.
  [[nodiscard]] bool Resize(std::size_t bytes);

 private:
  HeldBytesTotal& total;
  std::size_t held = 0;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_HELD_BYTES_H_
