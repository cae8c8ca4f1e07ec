#include "libraries/dispatch/prefix_record.h"

#include "libraries/core/identifiers.h"

namespace pomelospar::dispatch {

std::vector<std::uint64_t> PrefixHashes(std::span<const PromptPart> parts) {
  std::vector<std::uint64_t> hashes;
  hashes.reserve(parts.size());
  std::uint64_t prefix_hash = 0;
  for (const auto& part : parts) {
    prefix_hash = core::CombineHashes(prefix_hash, part.id);
    hashes.push_back(prefix_hash);
  }
  return hashes;
}

double PrefixRecord::CachedTokens(std::span<const std::uint64_t> prefix_hashes) const {
  double tokens = 0.0;
  for (const auto prefix_hash : prefix_hashes) {
    const auto found = this->entries.find(prefix_hash);
    if (found == this->entries.end()) break;
    tokens += found->second->tokens;
  }
  return tokens;
}

void PrefixRecord::Insert(std::span<const PromptPart> parts, double capacity_tokens) {
  std::uint64_t prefix_hash = 0;
  for (const auto& part : parts) {
    prefix_hash = core::CombineHashes(prefix_hash, part.id);
    const auto found = this->entries.find(prefix_hash);
    if (found != this->entries.end()) {
      this->by_recency.splice(this->by_recency.begin(), this->by_recency, found->second);
      continue;
    }
    this->by_recency.push_front({prefix_hash, part.tokens});
    this->entries.emplace(prefix_hash, this->by_recency.begin());
    this->total_tokens += part.tokens;
  }
  while (this->total_tokens > capacity_tokens && !this->by_recency.empty()) {
    this->total_tokens -= this->by_recency.back().tokens;
    this->entries.erase(this->by_recency.back().prefix_hash);
    this->by_recency.pop_back();
  }
}

void PrefixRecord::Clear() {
  this->by_recency.clear();
  this->entries.clear();
  this->total_tokens = 0.0;
}

std::uint64_t SharedPrefixKey(std::span<const PromptPart> parts) {
  if (parts.size() < 2) return 0;
  std::uint64_t prefix_hash = 0;
  for (const auto& part : parts.first(parts.size() - 1)) {
    prefix_hash = core::CombineHashes(prefix_hash, part.id);
  }
  return prefix_hash;
}

}  // namespace pomelospar::dispatch
