#ifndef POMELOSPAR_LIBRARIES_DISPATCH_PROMPT_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_PROMPT_H_

#include <cstdint>
#include <vector>

namespace pomelospar::dispatch {

/// One part of a prompt. Engines keep parts and need not read them again for another prompt that
/// begins with the same parts.
struct PromptPart {
  std::uint64_t id = 0;
  double tokens = 0.0;
};

struct Prompt {
  /// In order; the last one belongs to the request or its session alone.
  std::vector<PromptPart> parts;
  double input_tokens = 0.0;
  /// The caller's limit.
  double maximum_output_tokens = 0.0;
  /// The caller's estimate, accurate at the median only; 0 if not given.
  double estimated_output_tokens = 0.0;
};

/// The caller's estimate, or half of its limit.
inline double ExpectedOutputTokens(const Prompt& prompt) {
  constexpr double kShareOfLimit = 0.5;
  if (prompt.estimated_output_tokens > 0.0) return prompt.estimated_output_tokens;
  return prompt.maximum_output_tokens * kShareOfLimit;
}

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PROMPT_H_
