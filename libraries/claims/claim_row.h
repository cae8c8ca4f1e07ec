#ifndef POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_ROW_H_
#define POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_ROW_H_

#include <optional>
#include <string>
#include <string_view>

#include "libraries/claims/claim.h"
#include "libraries/core/result.h"

namespace pomelospar::claims {

/// Maximum length of an idempotency key. A key has at least one byte, all visible ASCII characters.
inline constexpr std::size_t kMaximumKeyBytes = 255;

/// State of the request that an idempotency key belongs to.
enum class ClaimState {
  /// Written before anything is sent. The row keeps this state if the router process ends early.
  kRunning,
  /// Nothing was or will be sent under this claim, so another attempt may replace the row.
  kNotRun,
  /// The request was answered; the answer itself may not have been stored.
  kAnswered,
  /// The request was sent, fully or in part, and its effect is not known.
  kUnknown,
};

/// Value of the table row `claim/<workspace>/<key>`, where `<key>` is the idempotency key.
struct ClaimRow {
  std::string attempt;
  std::string body_hash;
  ClaimState state = ClaimState::kRunning;
  std::optional<RecordedAnswer> answer;
};

/// Returns the key of the row. "%" and "/" in the workspace name are percent-encoded.
/// Errors: `kInvalidArgument` if the idempotency key is empty, too long or not visible ASCII.
core::Result<std::string> ClaimRowKey(std::string_view workspace, std::string_view key);

/// Encodes the value of the row as JSON. The answer is CBOR in Base64, because JSON strings cannot
/// hold arbitrary bytes of headers and body.
std::string EncodeClaimRow(const ClaimRow& row);

/// Decodes the value of a row. A state that is not known becomes `kUnknown`.
/// Errors: `kMalformed` if the value is not valid JSON, or a field is missing or has the wrong
/// type.
core::Result<ClaimRow> DecodeClaimRow(std::string_view value);

}  // namespace pomelospar::claims

#endif  // POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_ROW_H_
