#ifndef POMELOSPAR_LIBRARIES_ADMISSION_RESPONSE_COST_METER_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_RESPONSE_COST_METER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/configuration/configuration.h"

namespace pomelospar::admission {

/// Format of a response body, which determines how its cost is measured.
enum class ResponseFormat {
  /// `text/event-stream`.
  kServerSentEvents,
  /// One JSON document.
  kJson,
  /// Any other body. Its length does not matter; only the call and the input tokens count.
  kOther,
};

/// Measures the cost of one response while it is relayed. The body may be split into pieces at any
/// byte. Memory is bounded: at most 64 KiB of a line of an event stream are held, and the event of
/// a longer line is counted but not searched for a `usage` object. Of a JSON document at least the
/// last 16 KiB, where engines put the `usage` object, and at most twice as much are held between
/// calls.
class ResponseCostMeter {
 public:
  ResponseCostMeter(const configuration::CostUnits& units, ResponseFormat format,
                    std::uint64_t estimated_input_tokens);

  /// Processes the next piece of the body, after any transfer encoding has been removed.
  void Feed(std::string_view piece);

  /// Call it at the end of the body. Counts an event without a final empty line, or reads the
  /// `usage` object of a JSON document.
  void Finish();

  /// Returns the cost so far, in cost units. Until a `usage` object is read, each event or each
  /// four bytes of a JSON document count as one output token. The cost may decrease when the counts
  /// of the `usage` object replace these estimates.
  double cost() const;
  std::uint64_t input_tokens() const { return this->input; }
  std::uint64_t output_tokens() const { return this->output; }
  /// Whether the token counts come from a `usage` object of the engine.
  bool has_reported_usage() const { return this->usage_reported; }
  /// Whether the `[DONE]` event, which ends an event stream, was received.
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
  bool usage_reported = false;
  bool is_done = false;

  /// The beginning of the current line of an event stream, or the end of a JSON document.
  std::string buffer;
  bool line_too_long = false;
  /// The last byte was a carriage return; a line feed after it belongs to the same line end.
  bool skip_line_feed = false;
  bool event_has_token = false;
  std::uint64_t document_bytes = 0;
};

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_RESPONSE_COST_METER_H_
