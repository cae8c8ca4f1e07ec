#ifndef POMELOSPAR_LIBRARIES_ADMISSION_OUTCOME_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_OUTCOME_H_

#include <string_view>

namespace pomelospar::admission {

inline constexpr std::string_view kOutcomeHeader = "Pomelospar-Outcome";

/// What a caller may rely on after its request has ended.
enum class Outcome {
  /// The upstream's complete response was relayed.
  kAnswered,
  /// No byte of the request was sent to an upstream.
  kNotRun,
  /// The request was sent, fully or in part, and its effect is not known.
  kUnknown,
};

/// The value of `kOutcomeHeader`: "answered", "not_run" or "unknown".
std::string_view HeaderValue(Outcome outcome);

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_OUTCOME_H_
