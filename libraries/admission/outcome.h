#ifndef POMELOSPAR_LIBRARIES_ADMISSION_OUTCOME_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_OUTCOME_H_

#include <string_view>

namespace pomelospar::admission {

/// Response header that carries the `Outcome`.
inline constexpr std::string_view kOutcomeHeader = "Pomelospar-Outcome";

/// What a caller can assume about the effect of its request once the request has ended.
enum class Outcome {
  /// The complete response of the upstream was relayed.
  kAnswered,
  /// No byte of the request was sent to an upstream.
  kNotRun,
  /// The request was sent to an upstream, fully or in part, and its effect is not known.
  kUnknown,
};

/// Returns the value of `kOutcomeHeader`: "answered", "not_run" or "unknown".
std::string_view HeaderValue(Outcome outcome);

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_OUTCOME_H_
