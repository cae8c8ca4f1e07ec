#ifndef POMELOSPAR_LIBRARIES_ADMISSION_REQUEST_BODY_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_REQUEST_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/core/result.h"

namespace pomelospar::admission {

/// What the router needs to know of a JSON body.
struct RequestBody {
  std::string model;
  std::string user;
  bool stream = false;
  /// `max_tokens` or `max_completion_tokens`, the higher of the two.
  std::optional<std::uint64_t> maximum_tokens;
  /// Rough count from the body's length.
  std::uint64_t input_tokens = 0;
};

/// Input tokens estimated from the length: about four bytes of English text make one token.
std::uint64_t RoughTokens(std::size_t bytes);

/// Reads the top-level fields above from a JSON body. The body is parsed as a stream of events; no
/// tree is built, and at most one string of the body is held at a time. Fields of another type are
/// ignored because plain services may use these names for other things.
/// Errors: `kMalformed` for invalid JSON, more than 64 levels of nesting, or one of the fields
/// given twice (two parsers could read such a body differently).
core::Result<RequestBody> PeekRequestBody(std::string_view body);

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_REQUEST_BODY_H_
