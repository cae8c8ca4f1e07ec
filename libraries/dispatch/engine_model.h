#ifndef POMELOSPAR_LIBRARIES_DISPATCH_ENGINE_MODEL_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_ENGINE_MODEL_H_

namespace pomelospar::dispatch {

/// Speed of a model engine that uses continuous batching and prefills prompts in chunks between the
/// decoding steps. The defaults come from the users' deployment sheets. A runner with another speed
/// is corrected by its observed `slowdown`.
struct EngineSpeed {
  double prompt_tokens_per_ms = 112.0;
  double step_ms = 3.23;
  double step_ms_per_request = 0.0483;
  double chunk_tokens = 2048.0;
  /// Cost of attention over a long context, in milliseconds per million pairs of tokens.
  double attention_ms_per_million_pairs = 0.154;
  /// Time from the end of prefill to the first event.
  double first_event_ms = 47.0;
};

/// Work that all routers together have sent to one engine.
struct EngineLoad {
  /// Prompt tokens still to be prefilled, of requests without a first event so far.
  double prefill_tokens = 0.0;
  /// Requests that were sent and have not ended.
  double active = 0.0;
  /// Engine memory that running requests occupy, in tokens.
  double memory_tokens = 0.0;

  EngineLoad& operator+=(const EngineLoad& other);
  EngineLoad& operator-=(const EngineLoad& other);
};

/// Returns the time to prefill `tokens` of a prompt with `context_tokens` in all, in milliseconds,
/// while `active` requests are in progress.
double PrefillMs(const EngineSpeed& speed, double tokens, double context_tokens, double active);

/// Returns the time until the engine has prefilled everything that was sent to it before, in
/// milliseconds.
double QueueMs(const EngineSpeed& speed, const EngineLoad& load);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_ENGINE_MODEL_H_
