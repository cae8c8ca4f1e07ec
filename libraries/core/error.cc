#include "libraries/core/error.h"

#include <utility>

namespace pomelospar::core {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "pomelospar"; }

  std::string message(int condition) const override {
    switch (static_cast<ErrorKind>(condition)) {
      case ErrorKind::kInvalidArgument:
        return "invalid argument";
      case ErrorKind::kNotFound:
        return "not found";
      case ErrorKind::kConflict:
        return "conflict";
      case ErrorKind::kUnavailable:
        return "unavailable";
      case ErrorKind::kTimeout:
        return "timeout";
      case ErrorKind::kTooLarge:
        return "too large";
      case ErrorKind::kUnauthorized:
        return "unauthorized";
      case ErrorKind::kMalformed:
        return "malformed";
      case ErrorKind::kUnknownOutcome:
        return "unknown outcome";
      case ErrorKind::kExhausted:
        return "resource exhausted";
      case ErrorKind::kClosed:
        return "closed";
      case ErrorKind::kInternal:
        return "internal error";
    }
    return "unknown error";
  }
};

}  // namespace

const std::error_category& error_category() {
  static const Category category;
  return category;
}

std::error_code make_error_code(ErrorKind kind) {
  return {static_cast<int>(kind), error_category()};
}

Error MakeError(ErrorKind kind, std::string message) {
  return Error{make_error_code(kind), std::move(message)};
}

bool Is(const Error& error, ErrorKind kind) { return error.code == make_error_code(kind); }

}  // namespace pomelospar::core
