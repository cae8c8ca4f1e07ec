#include "libraries/dispatch/prefix_record.h"

#include <utility>

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

PrefixRecord::PrefixRecord(std::shared_ptr<PrefixIndex> prefix_index)
    : index(std::move(prefix_index)), cache_number(this->index->AddCache()) {}

PrefixRecord::~PrefixRecord() {
  this->Clear();
  this->index->RemoveCache(this->cache_number);
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
    this->index->Add(this->cache_number, prefix_hash, part.tokens);
    this->total_tokens += part.tokens;
  }
  while (this->total_tokens > capacity_tokens && !this->by_recency.empty()) {
    const auto& oldest = this->by_recency.back();
    this->total_tokens -= oldest.tokens;
    this->index->Remove(this->cache_number, oldest.prefix_hash);
    this->entries.erase(oldest.prefix_hash);
    this->by_recency.pop_back();
  }
}

void PrefixRecord::Clear() {
  for (const auto& entry : this->by_recency) {
    this->index->Remove(this->cache_number, entry.prefix_hash);
  }
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
