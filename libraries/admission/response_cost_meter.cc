#include "libraries/admission/response_cost_meter.h"

#include <algorithm>
#include <boost/algorithm/string/trim.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "libraries/admission/cost_estimator.h"
#include "libraries/admission/request_body.h"

namespace pomelospar::admission {
namespace {

constexpr std::size_t kMaximumLineBytes = 64 * 1024;
constexpr std::size_t kDocumentTailBytes = 16 * 1024;
constexpr std::string_view kUsageKey = "\"usage\"";
constexpr std::string_view kDataField = "data:";

struct Usage {
  std::optional<std::uint64_t> input;
  std::uint64_t output = 0;
};

std::optional<Usage> ParseUsage(const nlohmann::json& usage) {
  if (!usage.is_object()) {
    return std::nullopt;
  }
  const auto output = usage.find("completion_tokens");
  if (output == usage.end() || !output->is_number_unsigned()) {
    return std::nullopt;
  }
  Usage result{.output = output->get<std::uint64_t>()};
  const auto input = usage.find("prompt_tokens");
  if (input != usage.end() && input->is_number_unsigned()) {
    result.input = input->get<std::uint64_t>();
  }
  return result;
}

std::optional<Usage> ParseUsageOfEvent(std::string_view data) {
  // Most events have no `usage` field; searching for it is cheaper than parsing each event.
  if (data.find(kUsageKey) == std::string_view::npos) {
    return std::nullopt;
  }
  const auto event = nlohmann::json::parse(data, nullptr, false);
  if (!event.is_object() || !event.contains("usage")) {
    return std::nullopt;
  }
  return ParseUsage(event["usage"]);
}

/// Parses the usage object that begins at the first character of the text. Empty if its end is
/// missing or it has no `completion_tokens`.
std::optional<Usage> ParseObject(std::string_view text) {
  int depth = 0;
  for (std::size_t end = 0; end < text.size(); ++end) {
    depth += text[end] == '{' ? 1 : 0;
    depth -= text[end] == '}' ? 1 : 0;
    if (depth == 0) {
      return ParseUsage(nlohmann::json::parse(text.substr(0, end + 1), nullptr, false));
    }
  }
  return std::nullopt;
}

/// Parses the last `usage` object in the tail of a JSON document. Quotes within a JSON string are
/// escaped, so generated text cannot be mistaken for the key `usage`, even if a caller makes the
/// engine repeat it.
std::optional<Usage> ParseUsageOfTail(std::string_view tail) {
  constexpr std::string_view kSpace = " \t\r\n";
  while (true) {
    const auto key = tail.rfind(kUsageKey);
    if (key == std::string_view::npos) {
      return std::nullopt;
    }
    const auto colon = tail.find_first_not_of(kSpace, key + kUsageKey.size());
    const bool is_key = colon != std::string_view::npos && tail[colon] == ':';
    const auto begin = is_key ? tail.find_first_not_of(kSpace, colon + 1) : std::string_view::npos;
    if (begin != std::string_view::npos && tail[begin] == '{') {
      return ParseObject(tail.substr(begin));
    }
    tail = tail.substr(0, key);
  }
}

}  // namespace

ResponseCostMeter::ResponseCostMeter(const configuration::CostUnits& units, ResponseFormat format,
                                     std::uint64_t estimated_input_tokens)
    : units(units), format(format), input(estimated_input_tokens) {}

void ResponseCostMeter::Feed(std::string_view piece) {
  switch (this->format) {
    case ResponseFormat::kServerSentEvents:
      this->FeedEvents(piece);
      return;
    case ResponseFormat::kJson:
      this->FeedDocument(piece);
      return;
    case ResponseFormat::kOther:
      return;
  }
}

void ResponseCostMeter::FeedEvents(std::string_view piece) {
  while (!piece.empty()) {
    if (this->skip_line_feed && piece.front() == '\n') {
      piece.remove_prefix(1);
    }
    this->skip_line_feed = false;
    const auto end = piece.find_first_of("\r\n");
    const auto part = piece.substr(0, end);
    const auto room = kMaximumLineBytes - this->buffer.size();
    this->line_too_long = this->line_too_long || part.size() > room;
    this->buffer.append(part.substr(0, room));
    if (end == std::string_view::npos) {
      return;
    }
    this->skip_line_feed = piece[end] == '\r';
    this->EndLine();
    piece.remove_prefix(end + 1);
  }
}

void ResponseCostMeter::EndLine() {
  if (this->buffer.empty()) {
    this->EndEvent();
  } else if (this->buffer.starts_with(kDataField)) {
    this->ReadEventData(std::string_view(this->buffer).substr(kDataField.size()));
  }
  this->buffer.clear();
  this->line_too_long = false;
}

void ResponseCostMeter::EndEvent() {
  // The count of the engine's `usage` object replaces the counted events; no event is added to it.
  if (this->event_has_token && !this->usage_reported) {
    this->output += 1;
  }
  this->event_has_token = false;
}

void ResponseCostMeter::ReadEventData(std::string_view data) {
  const auto text = boost::algorithm::trim_copy(data.substr(0, 16));
  if (text == "[DONE]") {
    this->is_done = true;
    return;
  }
  this->event_has_token = true;
  if (this->line_too_long) {
    return;
  }
  const auto usage = ParseUsageOfEvent(data);
  if (usage.has_value()) {
    this->usage_reported = true;
    this->input = usage->input.value_or(this->input);
    this->output = usage->output;
  }
}

void ResponseCostMeter::FeedDocument(std::string_view piece) {
  this->document_bytes += piece.size();
  if (!this->usage_reported) {
    this->output = EstimateTokens(this->document_bytes);
  }
  if (piece.size() > kDocumentTailBytes) {
    piece.remove_prefix(piece.size() - kDocumentTailBytes);
  }
  this->buffer.append(piece);
  // Trimming only at twice the kept size makes the total work linear, also for many small pieces.
  if (this->buffer.size() > 2 * kDocumentTailBytes) {
    this->buffer.erase(0, this->buffer.size() - kDocumentTailBytes);
  }
}

void ResponseCostMeter::Finish() {
  if (this->format == ResponseFormat::kServerSentEvents) {
    this->EndLine();
    this->EndEvent();
    return;
  }
  const auto usage = ParseUsageOfTail(this->buffer);
  if (usage.has_value()) {
    this->usage_reported = true;
    this->input = usage->input.value_or(this->input);
    this->output = usage->output;
  }
}

double ResponseCostMeter::cost() const { return CostOf(this->units, this->input, this->output); }

}  // namespace pomelospar::admission
