#include "tests/stand_ins/common/answer.h"

#include <fmt/format.h>

#include <algorithm>

#include "libraries/core/identifiers.h"

namespace pomelospar::stand_in {
namespace {

constexpr std::uint64_t kBytesPerToken = 4;

std::string StringField(const nlohmann::json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end()) return {};
  return found->is_string() ? found->get<std::string>() : found->dump();
}

}  // namespace

AnswerSource AnswerSourceOf(const nlohmann::json& body) {
  AnswerSource source;
  source.prompt = StringField(body, "prompt");
  const auto messages = body.find("messages");
  if (messages != body.end() && messages->is_array()) {
    for (const auto& message : *messages) {
      if (message.is_object()) source.prompt += StringField(message, "content") + "\n";
    }
  }
  source.user = StringField(body, "user");
  source.nonce = StringField(body, "nonce");
  return source;
}

std::uint64_t AnswerSeed(const AnswerSource& source) {
  const auto seed = core::CombineHashes(core::HashName(source.prompt), core::HashName(source.user));
  return core::CombineHashes(seed, core::HashName(source.nonce));
}

std::string AnswerToken(const AnswerSource& source, std::uint64_t seed, std::uint64_t index) {
  if (index == 0) return fmt::format("user={} nonce={} ", source.user, source.nonce);
  constexpr std::uint64_t kWords = 100000;
  return fmt::format("w{} ", core::CombineHashes(seed, index) % kWords);
}

std::string AnswerText(const AnswerSource& source, std::uint64_t count) {
  const auto seed = AnswerSeed(source);
  std::string text;
  for (std::uint64_t i = 0; i < count; ++i) text += AnswerToken(source, seed, i);
  return text;
}

std::uint64_t PromptTokens(const AnswerSource& source) {
  return std::max<std::uint64_t>(1, source.prompt.size() / kBytesPerToken);
}

}  // namespace pomelospar::stand_in
