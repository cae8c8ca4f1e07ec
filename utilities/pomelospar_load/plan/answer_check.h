#ifndef POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_PLAN_ANSWER_CHECK_H_
#define POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_PLAN_ANSWER_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "utilities/pomelospar_load/plan/load_plan.h"

namespace pomelospar::load {

/// Checks that the body of a successful response is the complete answer to its own request, as
/// the engine and service emulators give it: the engine's text begins with "user=USER nonce=NONCE"
/// and has as many tokens as `usage` says; a stream ends with `[DONE]`; the service echoes key and
/// nonce.
class AnswerCheck {
 public:
  explicit AnswerCheck(const PlannedRequest& request);

  /// Takes the next piece of the body, which may end at any byte. Returns the number of events that
  /// the piece completed; for a body that is not a stream, 1 for the first piece and 0 after it.
  std::uint32_t Feed(std::string_view piece);

  /// Returns an empty string if the body is complete and correct, otherwise a description of what
  /// is wrong with it. Call it once, after the whole body was passed to `Feed`.
  std::string Finish();

  /// Tokens received so far.
  std::uint64_t tokens() const;

 private:
  void ReadLine();
  void ReadEvent(std::string_view data);
  void ReadDocument();
  void ReadText(std::string_view text);

  RequestKind kind;
  std::string key;
  std::string nonce;
  std::string expected_prefix;
  std::string buffer;
  std::string prefix;
  std::string problem;
  bool is_done = false;
  bool is_started = false;
  std::uint32_t completed_events = 0;
  std::uint64_t word_count = 0;
  std::uint64_t usage_tokens = 0;
};

}  // namespace pomelospar::load

#endif  // POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_PLAN_ANSWER_CHECK_H_
