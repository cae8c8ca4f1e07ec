#include "utilities/pomelospar_load/plan/answer_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pomelospar::load {
namespace {

constexpr std::string_view kDataField = "data:";
// The emulated engine's first token consists of two words, "user=USER" and "nonce=NONCE".
constexpr std::uint64_t kWordsOfFirstToken = 2;

}  // namespace

AnswerCheck::AnswerCheck(const PlannedRequest& request)
    : kind(request.kind),
      key(request.key),
      nonce(request.nonce),
      expected_prefix(fmt::format("user={} nonce={} ", request.caller, request.nonce)) {}

std::uint32_t AnswerCheck::Feed(std::string_view piece) {
  if (this->kind != RequestKind::kChatStream) {
    this->buffer += piece;
    const bool first = !this->is_started && !piece.empty();
    this->is_started = this->is_started || first;
    return first ? 1 : 0;
  }
  this->completed_events = 0;
  for (const char character : piece) {
    if (character == '\n') {
      this->ReadLine();
    } else if (character != '\r') {
      this->buffer += character;
    }
  }
  return this->completed_events;
}

void AnswerCheck::ReadLine() {
  if (this->buffer.starts_with(kDataField)) {
    auto data = std::string_view(this->buffer).substr(kDataField.size());
    data.remove_prefix(std::min(data.find_first_not_of(' '), data.size()));
    this->ReadEvent(data);
  }
  this->buffer.clear();
}

void AnswerCheck::ReadEvent(std::string_view data) {
  if (this->is_done) {
    this->problem = "event after [DONE]";
  }
  if (data == "[DONE]") {
    this->is_done = true;
    return;
  }
  this->completed_events += 1;
  try {
    const auto event = nlohmann::json::parse(data);
    for (const auto& choice : event.at("choices")) {
      this->ReadText(choice.at("delta").value("content", ""));
    }
    if (event.contains("usage") && event["usage"].is_object()) {
      this->usage_tokens = event["usage"].at("completion_tokens").get<std::uint64_t>();
    }
  } catch (const nlohmann::json::exception&) {
    this->problem = "event that is no chat completion chunk";
  }
}

void AnswerCheck::ReadText(std::string_view text) {
  if (this->prefix.size() < this->expected_prefix.size()) {
    this->prefix += text.substr(0, this->expected_prefix.size() - this->prefix.size());
  }
  // Every word of the emulated engine's text ends with a space.
  this->word_count += static_cast<std::uint64_t>(std::ranges::count(text, ' '));
}

void AnswerCheck::ReadDocument() {
  try {
    const auto document = nlohmann::json::parse(this->buffer);
    if (this->kind == RequestKind::kPost) {
      const bool own = document.at("key").get<std::string>() == this->key &&
                       document.at("nonce").get<std::string>() == this->nonce;
      this->problem = own ? "" : "answer to another request";
      return;
    }
    this->ReadText(document.at("choices").at(0).at("message").at("content").get<std::string>());
    this->usage_tokens = document.at("usage").at("completion_tokens").get<std::uint64_t>();
  } catch (const nlohmann::json::exception&) {
    this->problem = "body that is not the expected JSON document";
  }
}

std::uint64_t AnswerCheck::tokens() const {
  return this->word_count < kWordsOfFirstToken ? 0 : this->word_count - kWordsOfFirstToken + 1;
}

std::string AnswerCheck::Finish() {
  if (this->kind != RequestKind::kChatStream) {
    this->ReadDocument();
  }
  if (this->kind == RequestKind::kPost || !this->problem.empty()) {
    return this->problem;
  }
  if (this->prefix != this->expected_prefix) {
    return "answer to another request";
  }
  if (this->kind == RequestKind::kChatStream && !this->is_done) {
    return "stream without [DONE]";
  }
  if (this->tokens() != this->usage_tokens) {
    return fmt::format("{} tokens received of {}", this->tokens(), this->usage_tokens);
  }
  return "";
}

}  // namespace pomelospar::load
