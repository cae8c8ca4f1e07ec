#include "libraries/dispatch/prefix_index.h"

#include <algorithm>

namespace pomelospar::dispatch {

std::size_t PrefixIndex::AddCache() {
  if (this->unused_numbers.empty()) return this->caches++;
  const auto cache = this->unused_numbers.back();
  this->unused_numbers.pop_back();
  return cache;
}

void PrefixIndex::RemoveCache(std::size_t cache) { this->unused_numbers.push_back(cache); }

void PrefixIndex::Add(std::size_t cache, std::uint64_t prefix_hash, double tokens) {
  auto& held = this->holders[prefix_hash];
  held.tokens = tokens;
  held.caches.push_back(cache);
}

void PrefixIndex::Remove(std::size_t cache, std::uint64_t prefix_hash) {
  const auto found = this->holders.find(prefix_hash);
  if (found == this->holders.end()) return;
  std::erase(found->second.caches, cache);
  if (found->second.caches.empty()) this->holders.erase(found);
}

std::vector<double> PrefixIndex::CachedTokens(std::span<const std::uint64_t> prefix_hashes) const {
  std::vector<double> tokens(this->caches, 0.0);
  // Number of leading parts that each cache holds. A cache may have dropped a part and still hold
  // a later one, which does not count.
  std::vector<std::size_t> leading_parts(this->caches, 0);
  for (std::size_t part = 0; part < prefix_hashes.size(); ++part) {
    const auto found = this->holders.find(prefix_hashes[part]);
    if (found == this->holders.end()) break;
    for (const auto cache : found->second.caches) {
      if (leading_parts[cache] != part) continue;
      leading_parts[cache] = part + 1;
      tokens[cache] += found->second.tokens;
    }
  }
  return tokens;
}

}  // namespace pomelospar::dispatch
