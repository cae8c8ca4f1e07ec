#include "libraries/dispatch/prefix_record.h"

#include "libraries/core/identifiers.h"

namespace pomelospar::dispatch {

double PrefixRecord::CachedTokens(std::span<const PromptPart> parts) const {
  double tokens = 0.0;
  std::uint64_t chain = 0;
  for (const auto& part : parts) {
    chain = core::CombineHashes(chain, part.id);
    const auto found = this->entries.find(chain);
    if (found == this->entries.end()) break;
    tokens += found->second->tokens;
  }
  return tokens;
}

void PrefixRecord::Insert(std::span<const PromptPart> parts, double capacity_tokens) {
  std::uint64_t chain = 0;
  for (const auto& part : parts) {
    chain = core::CombineHashes(chain, part.id);
    const auto found = this->entries.find(chain);
    if (found != this->entries.end()) {
      this->by_use.splice(this->by_use.begin(), this->by_use, found->second);
      continue;
    }
    this->by_use.push_front({chain, part.tokens});
    this->entries.emplace(chain, this->by_use.begin());
    this->total_tokens += part.tokens;
  }
  while (this->total_tokens > capacity_tokens && !this->by_use.empty()) {
    this->total_tokens -= this->by_use.back().tokens;
    this->entries.erase(this->by_use.back().chain);
    this->by_use.pop_back();
  }
}

void PrefixRecord::Clear() {
  this->by_use.clear();
  this->entries.clear();
  this->total_tokens = 0.0;
}

std::uint64_t SharedPrefixKey(std::span<const PromptPart> parts) {
  if (parts.size() < 2) return 0;
  std::uint64_t chain = 0;
  for (const auto& part : parts.first(parts.size() - 1)) {
    chain = core::CombineHashes(chain, part.id);
  }
  return chain;
}

}  // namespace pomelospar::dispatch
