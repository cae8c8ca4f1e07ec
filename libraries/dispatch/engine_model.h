#ifndef POMELOSPAR_LIBRARIES_DISPATCH_ENGINE_MODEL_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_ENGINE_MODEL_H_

namespace pomelospar::dispatch {

/// Speed of a model engine that batches continuously and reads prompts in chunks between the
/// steps that generate tokens. The defaults are those of the users' deployment sheets; a runner
/// that differs shows as its `slowdown`.
struct EngineSpeed {
  double prompt_tokens_per_ms = 112.0;
  double step_ms = 3.23;
  double step_ms_per_request = 0.0483;
  double chunk_tokens = 2048.0;
  /// Attention over a long context: milliseconds for a million pairs of tokens.
  double attention_ms_per_million_pairs = 0.154;
  /// From the end of reading to the first event.
  double first_event_ms = 47.0;
};

/// Work at one engine, of all routers.
struct EngineLoad {
  /// Prompt tokens of requests that have not begun to answer.
  double unread_tokens = 0.0;
  /// Requests sent and not ended.
  double active = 0.0;
  /// Memory that running requests occupy, in tokens.
  double memory_tokens = 0.0;

  EngineLoad& operator+=(const EngineLoad& other);
  EngineLoad& operator-=(const EngineLoad& other);
};

/// Time to read `tokens` of a prompt whose whole context is `context_tokens`, in milliseconds,
/// while `active` requests generate.
double ReadingMs(const EngineSpeed& speed, double tokens, double context_tokens, double active);

/// Time until the engine has read what was sent to it before, in milliseconds.
double QueueMs(const EngineSpeed& speed, const EngineLoad& load);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_ENGINE_MODEL_H_
