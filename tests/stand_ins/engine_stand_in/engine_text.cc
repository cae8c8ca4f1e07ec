#include "tests/stand_ins/engine_stand_in/engine_text.h"

namespace pomelospar::stand_in {
namespace {

std::string Dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json Envelope(const ResponseFormat& format, const char* chat_object) {
  return {{"id", format.id},
          {"object", format.chat ? chat_object : "text_completion"},
          {"model", format.model}};
}

}  // namespace

std::string PieceEvent(const ResponseFormat& format, const std::string& piece) {
  auto event = Envelope(format, "chat.completion.chunk");
  nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (format.chat) {
    choice["delta"] = {{"content", piece}};
  } else {
    choice["text"] = piece;
  }
  event["choices"] = nlohmann::json::array({std::move(choice)});
  return "data: " + Dump(event) + "\n\n";
}

std::string FinalEvents(const ResponseFormat& format, const nlohmann::json& usage) {
  auto event = Envelope(format, "chat.completion.chunk");
  nlohmann::json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (format.chat) {
    choice["delta"] = nlohmann::json::object();
  } else {
    choice["text"] = "";
  }
  event["choices"] = nlohmann::json::array({std::move(choice)});
  event["usage"] = usage;
  return "data: " + Dump(event) + "\n\ndata: [DONE]\n\n";
}

std::string WholeBody(const ResponseFormat& format, const std::string& text,
                      const nlohmann::json& usage) {
  auto body = Envelope(format, "chat.completion");
  nlohmann::json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (format.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  body["choices"] = nlohmann::json::array({std::move(choice)});
  body["usage"] = usage;
  return Dump(body);
}

nlohmann::json Usage(std::uint64_t prompt_tokens, std::uint64_t completion_tokens) {
  return {{"prompt_tokens", prompt_tokens},
          {"completion_tokens", completion_tokens},
          {"total_tokens", prompt_tokens + completion_tokens}};
}

}  // namespace pomelospar::stand_in
