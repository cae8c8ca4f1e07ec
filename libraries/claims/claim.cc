#include "libraries/claims/claim.h"

namespace pomelospar::claims {

unsigned StatusOf(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kProceed:
    case ClaimVerdict::kAnsweredBefore:
      return 0;
    case ClaimVerdict::kKeyReused:
      return 422;
    case ClaimVerdict::kRunningOrUnknown:
      return 409;
    case ClaimVerdict::kUnavailable:
      return 503;
    case ClaimVerdict::kInvalidKey:
      return 400;
  }
  return 503;
}

}  // namespace pomelospar::claims
