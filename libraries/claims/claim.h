#ifndef POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_H_
#define POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelospar::claims {

/// A response stored with its claim, which is sent again when the request is repeated.
struct RecordedAnswer {
  unsigned status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  bool operator==(const RecordedAnswer&) const = default;
};

/// The exclusive right to send one request once. It belongs to the attempt that wrote the row of
/// the idempotency key in the table service.
struct Claim {
  std::string row_key;
  /// Identifies the attempt; unique among all routers.
  std::string attempt;
  /// SHA-256 of the request body, hexadecimal.
  std::string body_hash;
  /// Version of the row after this attempt wrote it.
  std::uint64_t version = 0;
};

/// Whether a request with an idempotency key may be sent, and if not, why.
enum class ClaimVerdict {
  /// This attempt holds the claim and may send the request once.
  kProceed,
  /// The request was already answered; send `BeginResult::answer` again.
  kAnsweredBefore,
  /// Status 422: the key was used for a request with a different body.
  kKeyReused,
  /// Status 409, outcome `unknown`: the request is running, it was interrupted, its answer was not
  /// stored, or the row cannot be read.
  kRunningOrUnknown,
  /// Status 503, outcome `not_run`: the table service did not confirm the claim, or too many are
  /// pending.
  kUnavailable,
  /// Status 400, outcome `not_run`: the idempotency key is empty, too long or not visible ASCII.
  kInvalidKey,
};

/// Result of `ClaimStore::Begin`.
struct BeginResult {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  /// Set with `kProceed`.
  Claim claim;
  /// Set with `kAnsweredBefore`.
  std::optional<RecordedAnswer> answer;
  /// Tells the caller the cause and what to do. Empty with `kProceed` and `kAnsweredBefore`.
  std::string message;
};

using BeginCallback = std::function<void(BeginResult)>;

/// Returns the HTTP status of a verdict that rejects the request, and 0 for `kProceed` and
/// `kAnsweredBefore`.
unsigned StatusOf(ClaimVerdict verdict);

}  // namespace pomelospar::claims

#endif  // POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_H_
