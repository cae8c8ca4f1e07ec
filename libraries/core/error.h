#ifndef POMELOSPAR_LIBRARIES_CORE_ERROR_H_
#define POMELOSPAR_LIBRARIES_CORE_ERROR_H_

#include <string>
#include <system_error>

namespace pomelospar::core {

/// Classifies errors by what the caller can do about them.
enum class ErrorKind {
  kInvalidArgument = 1,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kTooLarge,
  kUnauthorized,
  kMalformed,
  /// The operation was sent, but it is not known whether it took effect.
  kUnknownOutcome,
  kExhausted,
  kClosed,
  kInternal,
};

const std::error_category& error_category();
std::error_code make_error_code(ErrorKind kind);

/// A typed error. The message states the cause and the remedy for the operator or caller.
struct Error {
  std::error_code code;
  std::string message;
};

Error MakeError(ErrorKind kind, std::string message);

/// True if the error has this kind.
bool Is(const Error& error, ErrorKind kind);

}  // namespace pomelospar::core

namespace std {
template <>
struct is_error_code_enum<pomelospar::core::ErrorKind> : true_type {};
}  // namespace std

#endif  // POMELOSPAR_LIBRARIES_CORE_ERROR_H_
