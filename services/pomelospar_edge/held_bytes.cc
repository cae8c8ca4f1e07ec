#include "services/pomelospar_edge/held_bytes.h"

namespace pomelospar::edge {

HeldBytes::HeldBytes(HeldBytesTotal& shared_total) : total(shared_total) {}

HeldBytes::~HeldBytes() { this->total.bytes -= this->held; }

bool HeldBytes::Resize(std::size_t bytes) {
  const auto others = this->total.bytes - this->held;
  if (bytes > kAlwaysGrantedBytes && others + bytes > this->total.limit) return false;
  this->total.bytes = others + bytes;
  this->held = bytes;
  return true;
}

}  // namespace pomelospar::edge
