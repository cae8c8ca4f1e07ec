#ifndef POMELOSPAR_TESTS_STAND_INS_ENGINE_STAND_IN_ENGINE_TEXT_H_
#define POMELOSPAR_TESTS_STAND_INS_ENGINE_STAND_IN_ENGINE_TEXT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace pomelospar::stand_in {

struct ResponseFormat {
  std::string id;
  std::string model;
  bool chat = true;
};

/// One server-sent event with a piece of the answer.
std::string PieceEvent(const ResponseFormat& format, const std::string& piece);
/// The event that ends the answer and carries the usage, and the end mark after it.
std::string FinalEvents(const ResponseFormat& format, const nlohmann::json& usage);
/// The body of a response that is not streamed.
std::string WholeBody(const ResponseFormat& format, const std::string& text,
                      const nlohmann::json& usage);
nlohmann::json Usage(std::uint64_t prompt_tokens, std::uint64_t completion_tokens);

}  // namespace pomelospar::stand_in

#endif  // POMELOSPAR_TESTS_STAND_INS_ENGINE_STAND_IN_ENGINE_TEXT_H_
