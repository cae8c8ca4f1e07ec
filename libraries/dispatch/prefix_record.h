#ifndef POMELOSPAR_LIBRARIES_DISPATCH_PREFIX_RECORD_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_PREFIX_RECORD_H_

#include <cstdint>
#include <list>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include "libraries/dispatch/prefix_index.h"
#include "libraries/dispatch/prompt.h"

namespace pomelospar::dispatch {

/// Returns one hash for each part of a prompt: that of the part and all parts before it.
std::vector<std::uint64_t> PrefixHashes(std::span<const PromptPart> parts);

/// Estimates the content of a runner's prefix cache from the prompts that the router knows were
/// sent to it. Beyond the capacity the least recently used parts are dropped, as engines do.
class PrefixRecord {
 public:
  /// Adds an empty cache to the index, in which the content of the record is looked up.
  explicit PrefixRecord(std::shared_ptr<PrefixIndex> prefix_index);
  ~PrefixRecord();
  PrefixRecord(const PrefixRecord&) = delete;
  PrefixRecord& operator=(const PrefixRecord&) = delete;

  /// Number of the runner's cache in the index.
  std::size_t cache() const { return this->cache_number; }
  /// Records that the runner prefills these parts. `capacity_tokens` is the capacity of its cache.
  void Insert(std::span<const PromptPart> parts, double capacity_tokens);
  /// Empties the record after a restart of the runner, which empties its cache.
  void Clear();

 private:
  struct Entry {
    std::uint64_t prefix_hash = 0;
    double tokens = 0.0;
  };

  std::shared_ptr<PrefixIndex> index;
  std::size_t cache_number = 0;
  std::list<Entry> by_recency;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entries;
  double total_tokens = 0.0;
};

/// Returns a hash of the leading parts that a request may share with others: all but the last.
/// Requests with the same key should go to the same runner. Returns 0 if nothing is shared.
std::uint64_t SharedPrefixKey(std::span<const PromptPart> parts);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PREFIX_RECORD_H_
