#ifndef POMELOSPAR_LIBRARIES_DISPATCH_PREFIX_INDEX_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace pomelospar::dispatch {

/// Knows which prefix caches hold which leading parts of prompts. One look-up for each part of a
/// prompt serves all caches; with a look-up in the record of each runner, a router before many
/// runners spends most of the time of a placement on them.
class PrefixIndex {
 public:
  /// Returns the number of a new, empty cache. Numbers of removed caches are used again.
  std::size_t AddCache();
  /// The cache must be empty.
  void RemoveCache(std::size_t cache);

  /// Records that the cache holds the last part of a prefix, which has this many tokens. It must
  /// not hold it already.
  void Add(std::size_t cache, std::uint64_t prefix_hash, double tokens);
  void Remove(std::size_t cache, std::uint64_t prefix_hash);

  /// Returns the tokens in the leading parts of a prompt that each cache holds, by the number of
  /// the cache. `prefix_hashes` are those of the prompt.
  std::vector<double> CachedTokens(std::span<const std::uint64_t> prefix_hashes) const;

 private:
  struct Holders {
    double tokens = 0.0;
    std::vector<std::size_t> caches;
  };

  std::unordered_map<std::uint64_t, Holders> holders;
  /// Length of the result of `CachedTokens`.
  std::size_t caches = 0;
  std::vector<std::size_t> unused_numbers;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PREFIX_INDEX_H_
