#include "libraries/core/identifiers.h"

#include <xxhash.h>

#include <array>
#include <random>

namespace pomelospar::core {

std::uint64_t HashName(std::string_view name) { return XXH64(name.data(), name.size(), 0); }

std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> parts = {first, second};
  return XXH64(parts.data(), sizeof(parts), 0);
}

std::uint64_t HashOf(const RouterIdentity& router) {
  return CombineHashes(HashName(router.address), router.incarnation);
}

std::uint64_t HashOf(const ShardIdentity& shard) {
  return CombineHashes(CombineHashes(Raw(shard.upstream), Raw(shard.domain)), shard.index);
}

std::uint64_t RandomNonZero() {
  static thread_local std::random_device device;
  std::uint64_t value = 0;
  while (value == 0) {
    value = (static_cast<std::uint64_t>(device()) << 32U) | device();
  }
  return value;
}

}  // namespace pomelospar::core
