#ifndef POMELOSPAR_LIBRARIES_DISPATCH_PROMPT_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_PROMPT_H_

#include <cstdint>
#include <vector>

namespace pomelospar::dispatch {

/// One part of a prompt. Engines cache parts and need not prefill them again for another prompt
/// that begins with the same parts.
struct PromptPart {
  std::uint64_t id = 0;
  double tokens = 0.0;
};

struct Prompt {
  /// Parts in order; the last one is not shared with other requests or sessions.
  std::vector<PromptPart> parts;
  double input_tokens = 0.0;
  /// The caller's limit of output tokens.
  double maximum_output_tokens = 0.0;
  /// The caller's estimate of the output tokens; accurate in the median only. 0 if not given.
  double estimated_output_tokens = 0.0;
};

/// Returns the caller's estimate of the output tokens, or half of its limit if it gave none.
inline double ExpectedOutputTokens(const Prompt& prompt) {
  constexpr double kShareOfLimit = 0.5;
  if (prompt.estimated_output_tokens > 0.0) return prompt.estimated_output_tokens;
  return prompt.maximum_output_tokens * kShareOfLimit;
}

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PROMPT_H_
