#include "libraries/dispatch/engine_model.h"

#include <algorithm>

namespace pomelospar::dispatch {
namespace {

// Assumed context of the prompts in the queue, because only the sum of their sizes is known.
constexpr double kTypicalContextTokens = 6000.0;

double ChunkMs(const EngineSpeed& speed, double context_tokens, double active) {
  return speed.chunk_tokens / speed.prompt_tokens_per_ms + speed.step_ms +
         speed.step_ms_per_request * active +
         speed.attention_ms_per_million_pairs * speed.chunk_tokens * context_tokens / 2.0 / 1e6;
}

}  // namespace

EngineLoad& EngineLoad::operator+=(const EngineLoad& other) {
  this->prefill_tokens += other.prefill_tokens;
  this->active += other.active;
  this->memory_tokens += other.memory_tokens;
  return *this;
}

EngineLoad& EngineLoad::operator-=(const EngineLoad& other) {
  this->prefill_tokens = std::max(this->prefill_tokens - other.prefill_tokens, 0.0);
  this->active = std::max(this->active - other.active, 0.0);
  this->memory_tokens = std::max(this->memory_tokens - other.memory_tokens, 0.0);
  return *this;
}

double PrefillMs(const EngineSpeed& speed, double tokens, double context_tokens, double active) {
  return tokens / speed.chunk_tokens * ChunkMs(speed, context_tokens, active);
}

double QueueMs(const EngineSpeed& speed, const EngineLoad& load) {
  return PrefillMs(speed, load.prefill_tokens, kTypicalContextTokens, load.active);
}

}  // namespace pomelospar::dispatch
