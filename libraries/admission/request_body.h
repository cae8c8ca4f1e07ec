#ifndef POMELOSPAR_LIBRARIES_ADMISSION_REQUEST_BODY_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_REQUEST_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/core/result.h"

namespace pomelospar::admission {

/// The fields of a JSON request body that the router uses.
struct RequestBody {
  std::string model;
  std::string user;
  bool stream = false;
  /// The higher of `max_tokens` and `max_completion_tokens`; empty if the body has neither.
  std::optional<std::uint64_t> maximum_tokens;
  /// Estimated from the length of the whole body.
  std::uint64_t input_tokens = 0;
};

/// Estimates the number of tokens in a text of this length: one for every four bytes, rounded up,
/// which is about the average of English text.
std::uint64_t EstimateTokens(std::size_t bytes);

/// Reads the fields of `RequestBody` from the top level of a JSON body. The parser is event-based:
/// it builds no tree and holds at most one string of the body at a time. A field whose value has an
/// unexpected type is ignored, because plain services may use these names for other things.
/// Errors: `kMalformed` for invalid JSON, for more than 64 levels of nesting, and for a field that
/// occurs twice, because two parsers could read such a body differently.
core::Result<RequestBody> ParseRequestBody(std::string_view body);

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_REQUEST_BODY_H_
