#include "libraries/admission/outcome.h"

namespace pomelospar::admission {

std::string_view HeaderValue(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace pomelospar::admission
