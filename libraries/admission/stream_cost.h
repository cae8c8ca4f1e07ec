#ifndef POMELOSPAR_LIBRARIES_ADMISSION_STREAM_COST_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_STREAM_COST_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/configuration/configuration.h"

namespace pomelospar::admission {

enum class ResponseFormat {
  /// `text/event-stream`.
  kServerSentEvents,
  /// One JSON document.
  kJson,
  /// Costs the call and the input only.
  kOther,
};

/// Measures the cost of one response while it passes. The body may be cut into pieces at any byte.
/// Memory is bounded: a line of more than 64 KiB counts as an event but is not parsed, and of a
/// JSON document only the last 16 KiB, where engines put the `usage` object, are kept.
class StreamCost {
 public:
  StreamCost(const configuration::CostUnits& units, ResponseFormat format,
             std::uint64_t estimated_input_tokens);

  /// The next piece of the body, without transfer encoding.
  void Feed(std::string_view piece);

  /// The body has ended; reads the `usage` object of a JSON document.
  void Finish();

  /// Cost units so far. Until a `usage` object was seen, each event counts as one output token and
  /// each four bytes of a JSON document as one. It may fall when `usage` settles the counts.
  double cost() const;
  std::uint64_t input_tokens() const { return this->input; }
  std::uint64_t output_tokens() const { return this->output; }
  /// Whether the counts are the engine's own.
  bool settled() const { return this->is_settled; }
  /// Whether the stream ended with its `[DONE]` event.
  bool saw_done() const { return this->is_done; }

 private:
  void FeedEvents(std::string_view piece);
  void EndLine();
  void EndEvent();
  void ReadEventData(std::string_view data);
  void FeedDocument(std::string_view piece);

  configuration::CostUnits units;
  ResponseFormat format;
  std::uint64_t input = 0;
  std::uint64_t output = 0;
  bool is_settled = false;
  bool is_done = false;

  /// The line that is not complete yet, or the end of the document.
  std::string buffer;
  bool line_too_long = false;
  bool skip_line_feed = false;
  bool event_has_token = false;
  std::uint64_t document_bytes = 0;
};

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_STREAM_COST_H_
