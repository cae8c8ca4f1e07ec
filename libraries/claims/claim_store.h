#ifndef POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_STORE_H_
#define POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_STORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/admission/outcome.h"
#include "libraries/claims/claim.h"
#include "libraries/claims/claim_row.h"
#include "libraries/core/clock.h"
#include "libraries/platform/platform_client.h"

namespace pomelospar::claims {

/// Settings of a `ClaimStore`.
struct ClaimSettings {
  /// Incarnation of the router. It makes the attempt identifiers unique among all routers and is
  /// the seed of the retry jitter.
  std::uint64_t incarnation = 0;
  /// How long a new claim or outcome waits for others, which are then written in the same call to
  /// the platform.
  core::Duration batch_window = std::chrono::milliseconds(5);
  /// Maximum number of rows in one call. A full batch of claims is sent without waiting.
  std::size_t maximum_batch = 64;
  /// `Begin` is answered within this time, with `kUnavailable` if the platform does not respond.
  core::Duration begin_timeout = std::chrono::seconds(3);
  /// Maximum number of claims being begun and outcomes still to be written, together. `Begin` is
  /// refused beyond it, so the outcome of a claim whose write was lost can always be added.
  /// `Finish` and `MarkNotRun` drop the outcome if this many outcomes alone are pending.
  std::size_t maximum_pending = 1024;
  /// Maximum number of bytes in row values that wait to be written. Beyond it an outcome is
  /// recorded without its answer.
  std::size_t maximum_pending_bytes = 4 * 1024 * 1024;
  /// The answer is not stored if its body is larger.
  std::size_t maximum_answer_bytes = 64 * 1024;
};

/// Counters of a `ClaimStore` since its construction.
struct ClaimStatistics {
  /// Calls of `Begin`.
  std::uint64_t begun = 0;
  /// Calls of `Begin` that were answered with `kProceed`.
  std::uint64_t proceeded = 0;
  /// Calls to the platform, each with a batch of rows.
  std::uint64_t commits = 0;
  /// Calls to the platform that failed or returned an incomplete result.
  std::uint64_t lost_commits = 0;
  /// Claims answered with `kUnavailable` although their row may have been written. A `kNotRun` is
  /// then written over it.
  std::uint64_t unconfirmed = 0;
  /// Outcomes that were not recorded because too many were pending. Repeated requests get status
  /// 409.
  std::uint64_t dropped_outcomes = 0;
  /// Answered requests whose answer was not stored: it was too large or absent, or too many bytes
  /// were pending.
  std::uint64_t dropped_answers = 0;
};

/// Stores idempotency claims in the table service of the platform. For each idempotency key, at
/// most one attempt of all routers gets `kProceed`, unless an attempt recorded that it sent
/// nothing. A claim has no lease and no other attempt takes it over, so a holder may be paused for
/// any time. Writes are conditional on the version of the row and are sent in batches, one call at
/// a time. If a response is lost, the same conditional write is repeated: its result shows the
/// present row, and after it the first write, if delayed, can no longer take effect. Not
/// thread-safe: all calls and callbacks run on the I/O thread.
class ClaimStore {
 public:
  ClaimStore(ClaimSettings settings, platform::PlatformClient platform);
  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  /// Claims the idempotency key for a request with this body hash. The callback is called once,
  /// possibly before `Begin` returns. Errors are reported in its `verdict` and `message`.
  void Begin(core::TimePoint now, std::string_view workspace, std::string_view key,
             std::string_view body_hash, BeginCallback callback);

  /// Records in the background how the claimed request ended. The answer is stored only with
  /// `kAnswered`. `kNotRun` has the same effect as `MarkNotRun`.
  void Finish(core::TimePoint now, const Claim& claim, admission::Outcome outcome,
              std::optional<RecordedAnswer> answer);

  /// Permits another attempt to send the request. Call it only if nothing was or will be sent under
  /// this claim.
  void MarkNotRun(core::TimePoint now, const Claim& claim);

  /// Sends the writes that are due and answers the calls of `Begin` that have timed out. Call it
  /// every few milliseconds while `pending()` is not zero.
  void Tick(core::TimePoint now);

  /// Number of claims being begun and outcomes still to be written.
  std::size_t pending() const { return this->attempts.size() + this->pending_outcomes.size(); }
  const ClaimStatistics& statistics() const { return this->counts; }

 private:
  /// A call of `Begin` that has not been answered.
  struct Attempt {
    Claim claim;
    BeginCallback callback;
    /// When the call is answered with `kUnavailable`.
    core::TimePoint deadline;
    /// When the write becomes due. A new attempt may join an earlier batch, a failed one may not.
    core::TimePoint due;
    /// Version of the row that this attempt replaces; 0 if there must be no row yet.
    std::uint64_t expected_version = 0;
    /// Writes that failed or found that the row had been removed.
    unsigned failures = 0;
    /// An earlier write may have taken effect although it failed.
    bool may_be_written = false;
    bool in_flight = false;
  };
  /// An outcome that is to be written to its row in the background.
  struct PendingOutcome {
    std::string row_key;
    std::string attempt;
    std::string value;
    std::uint64_t expected_version = 0;
    core::TimePoint due;
    unsigned failures = 0;
    bool in_flight = false;
  };
  /// Names the `Attempt` or `PendingOutcome` that a transaction of a batch belongs to.
  struct BatchItem {
    bool is_attempt = false;
    std::uint64_t id = 0;
  };

  void AddPendingOutcome(core::TimePoint now, const Claim& claim, std::uint64_t expected_version,
                         ClaimState state, std::optional<RecordedAnswer> answer);
  void ExpireAttempts(core::TimePoint now);
  void Flush(core::TimePoint now);
  bool IsBatchDue(core::TimePoint now) const;
  void CollectBatch(core::TimePoint now, std::vector<BatchItem>& items,
                    std::vector<platform::Transaction>& transactions);
  void OnCommit(const std::vector<BatchItem>& items,
                const core::Result<std::vector<platform::TransactionResult>>& results);
  void OnAttemptResult(std::uint64_t id, const platform::TransactionResult& result);
  void OnAttemptError(std::uint64_t id, const core::Error& error);
  void RetryLater(Attempt& attempt);
  void OnOutcomeWriteResult(std::uint64_t id, const platform::TransactionResult& result);
  void OnOutcomeWriteError(std::uint64_t id);
  /// Answers or repeats an attempt whose write found another version of the row.
  void HandleExistingRow(std::uint64_t id, const platform::Row& row);
  void Reply(std::uint64_t id, BeginResult result);
  void ReplyUnavailable(std::uint64_t id);
  void ErasePendingOutcome(std::uint64_t id);
  /// Returns the delay before the next write after this many failures.
  core::Duration Backoff(unsigned failures);

  ClaimSettings settings;
  platform::PlatformClient platform;
  /// The latest time passed to a public function; the callbacks of the platform pass none.
  core::TimePoint last_call_time;
  std::mt19937_64 random;
  std::uint64_t next_id = 1;
  /// By ascending identifier, which is the order of arrival.
  std::map<std::uint64_t, Attempt> attempts;
  std::map<std::uint64_t, PendingOutcome> pending_outcomes;
  /// Total size of the row values in `pending_outcomes`.
  std::size_t pending_outcome_bytes = 0;
  bool commit_in_flight = false;
  ClaimStatistics counts;
  /// Expires with this object, so that later callbacks of the platform do nothing.
  std::shared_ptr<bool> alive;
};

}  // namespace pomelospar::claims

#endif  // POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_STORE_H_
