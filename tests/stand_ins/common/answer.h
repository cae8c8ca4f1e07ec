#ifndef POMELOSPAR_TESTS_STAND_INS_COMMON_ANSWER_H_
#define POMELOSPAR_TESTS_STAND_INS_COMMON_ANSWER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace pomelospar::stand_in {

/// What determines the text that the engine emulator answers with. A caller that knows its own
/// request can compute the whole answer and tell it from any other.
struct AnswerSource {
  std::string prompt;
  std::string user;
  std::string nonce;
};

/// Reads `prompt` or the contents of `messages`, and `user` and `nonce`, from a request body.
AnswerSource AnswerSourceOf(const nlohmann::json& body);

/// Depends on all fields. Computed once for a request, because hashing a long prompt takes time.
std::uint64_t AnswerSeed(const AnswerSource& source);

/// Token number `index`. The first one names user and nonce; the others depend on the seed.
std::string AnswerToken(const AnswerSource& source, std::uint64_t seed, std::uint64_t index);

/// The first `count` tokens in sequence.
std::string AnswerText(const AnswerSource& source, std::uint64_t count);

/// About four bytes a token, at least one.
std::uint64_t PromptTokens(const AnswerSource& source);

}  // namespace pomelospar::stand_in

#endif  // POMELOSPAR_TESTS_STAND_INS_COMMON_ANSWER_H_
