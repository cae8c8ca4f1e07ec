#ifndef POMELOSPAR_LIBRARIES_DISPATCH_PREFIX_RECORD_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_PREFIX_RECORD_H_

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "libraries/dispatch/prompt.h"

namespace pomelospar::dispatch {

/// What one router knows to lie in a runner's prefix cache: the prompts that it sent there. The
/// least recently used parts are forgotten beyond the capacity, as engines do.
class PrefixRecord {
 public:
  /// Tokens of the leading parts that the runner keeps.
  double CachedTokens(std::span<const PromptPart> parts) const;
  /// Notes that the runner reads these parts.
  void Insert(std::span<const PromptPart> parts, double capacity_tokens);
  /// The runner restarted and keeps nothing.
  void Clear();

 private:
  struct Entry {
    std::uint64_t chain = 0;
    double tokens = 0.0;
  };

  std::list<Entry> by_use;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entries;
  double total_tokens = 0.0;
};

/// Identifies the leading parts that a request shares with others: all but the last. Requests with
/// the same key should meet at the same runner; 0 if nothing is shared.
std::uint64_t SharedPrefixKey(std::span<const PromptPart> parts);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PREFIX_RECORD_H_
