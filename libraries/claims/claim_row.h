#ifndef POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_ROW_H_
#define POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_ROW_H_

#include <optional>
#include <string>
#include <string_view>

#include "libraries/claims/claim.h"
#include "libraries/core/result.h"

namespace pomelospar::claims {

/// Longest idempotency key in bytes. Keys are one byte or more of visible ASCII.
inline constexpr std::size_t kMaximumKeyBytes = 255;

enum class ClaimState {
  /// Written before anything is sent; stays if the router dies.
  kRunning,
  /// Nothing was sent under this claim and nothing will be.
  kNotRun,
  kAnswered,
  kUnknown,
};

/// The content of the row `claim/<workspace>/<key>`.
struct ClaimRow {
  std::string attempt;
  std::string body_hash;
  ClaimState state = ClaimState::kRunning;
  std::optional<RecordedAnswer> answer;
};

/// The row's key. Errors: `kInvalidArgument` for an idempotency key that is too long, empty or not
/// visible ASCII.
core::Result<std::string> ClaimRowKey(std::string_view workspace, std::string_view key);

/// The row's value: JSON, with the answer as base64 of CBOR so that any header and body byte is
/// kept.
std::string EncodeClaimRow(const ClaimRow& row);

/// Errors: `kMalformed`.
core::Result<ClaimRow> DecodeClaimRow(std::string_view value);

}  // namespace pomelospar::claims

#endif  // POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_ROW_H_
