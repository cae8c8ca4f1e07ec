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

/// A response as it is kept for repeats.
struct RecordedAnswer {
  unsigned status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  bool operator==(const RecordedAnswer&) const = default;
};

/// The right to run one request once. Held by the attempt that wrote the row.
struct Claim {
  std::string row_key;
  /// Unique among all attempts of all routers.
  std::string attempt;
  /// SHA-256 of the request body, hexadecimal.
  std::string body_hash;
  /// Version of the row that this attempt wrote.
  std::uint64_t version = 0;
};

enum class ClaimVerdict {
  /// The claim is held; the request may be sent once.
  kProceed,
  /// The request was answered before: replay `answer`.
  kAnsweredBefore,
  /// Status 422: the key belongs to a request with another body.
  kKeyReused,
  /// Status 409, outcome unknown: the request runs, was cut off, or its answer was not kept.
  kRunningOrUnknown,
  /// Status 503, outcome not_run.
  kUnavailable,
  /// Status 400, outcome not_run.
  kInvalidKey,
};

struct BeginResult {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  /// Set with `kProceed`.
  Claim claim;
  /// Set with `kAnsweredBefore`.
  std::optional<RecordedAnswer> answer;
  /// Cause and remedy for the caller, unless the request may proceed or was answered.
  std::string message;
};

using BeginCallback = std::function<void(BeginResult)>;

/// HTTP status for a verdict that refuses the request; 0 for the two that do not.
unsigned StatusOf(ClaimVerdict verdict);

}  // namespace pomelospar::claims

#endif  // POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_H_
