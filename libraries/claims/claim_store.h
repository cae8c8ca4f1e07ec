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

struct ClaimSettings {
  /// The router's incarnation; makes attempt identifiers unique and seeds the jitter of retries.
  std::uint64_t incarnation = 0;
  /// A claim waits this long for others to share its call to the platform.
  core::Duration batch_window = std::chrono::milliseconds(5);
  std::size_t maximum_batch = 64;
  /// `Begin` answers within this time, also when the platform does not.
  core::Duration begin_timeout = std::chrono::seconds(3);
  /// Claims being begun and rows still to be written in the background. `Begin` refuses beyond it,
  /// so there is always room to resolve a claim whose write was lost.
  std::size_t maximum_pending = 1024;
  /// Bytes of recorded answers waiting for the platform; beyond it only the outcome is recorded.
  std::size_t maximum_pending_bytes = 4 * 1024 * 1024;
  /// Larger answers are not kept for repeats.
  std::size_t maximum_answer_bytes = 64 * 1024;
};

struct ClaimStatistics {
  std::uint64_t begun = 0;
  std::uint64_t proceeded = 0;
  std::uint64_t commits = 0;
  std::uint64_t lost_commits = 0;
  /// Claims answered with 503 although their row may have been written.
  std::uint64_t to_resolve = 0;
  /// Outcomes that were not recorded because too much was pending; repeats get 409.
  std::uint64_t dropped_outcomes = 0;
  std::uint64_t dropped_answers = 0;
};

/// Idempotency claims in the platform's table service: at most one attempt of all routers is told
/// to proceed for one key. A claim is never taken over and has no lease, so it does not matter how
/// long a holder is paused. Writes are conditional on the row's version and are sent in batches,
/// one call at a time. A lost response is resolved by the same conditional write again: its result
/// shows the row, and a delayed first write can then no longer take effect. All calls and callbacks
/// belong on the I/O thread.
class ClaimStore {
 public:
  ClaimStore(ClaimSettings settings, platform::PlatformClient platform);
  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  /// Claims the key for a request with this body hash. The callback runs once, possibly before
  /// `Begin` returns.
  void Begin(core::TimePoint now, std::string_view workspace, std::string_view key,
             std::string_view body_hash, BeginCallback callback);

  /// Records how the claimed request ended; an answer is kept for repeats with `kAnswered` only.
  /// `kNotRun` is the same as `MarkNotRun`.
  void Finish(core::TimePoint now, const Claim& claim, admission::Outcome outcome,
              std::optional<RecordedAnswer> answer);

  /// Permits a repeat. Only for a claim under which nothing was sent and nothing will be.
  void MarkNotRun(core::TimePoint now, const Claim& claim);

  /// Sends what is due and answers claims whose time is over. Call it every few milliseconds while
  /// `pending()` is not zero.
  void Tick(core::TimePoint now);

  std::size_t pending() const { return this->attempts.size() + this->works.size(); }
  const ClaimStatistics& statistics() const { return this->counts; }

 private:
  /// A claim being begun.
  struct Attempt {
    Claim claim;
    BeginCallback callback;
    core::TimePoint deadline;
    core::TimePoint due;
    /// The version of the row that this attempt may replace; 0 to insert.
    std::uint64_t expected_version = 0;
    unsigned failures = 0;
    bool may_be_written = false;
    bool in_flight = false;
  };
  /// A row to be written in the background.
  struct Work {
    std::string row_key;
    std::string attempt;
    std::string value;
    std::uint64_t expected_version = 0;
    core::TimePoint due;
    unsigned failures = 0;
    bool in_flight = false;
  };
  struct BatchItem {
    bool is_attempt = false;
    std::uint64_t id = 0;
  };

  void AddWork(core::TimePoint now, const Claim& claim, std::uint64_t expected_version,
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
  void OnWorkResult(std::uint64_t id, const platform::TransactionResult& result);
  void OnWorkError(std::uint64_t id);
  void Decide(std::uint64_t id, const platform::Row& row);
  void Reply(std::uint64_t id, BeginResult result);
  void ReplyUnavailable(std::uint64_t id);
  void EraseWork(std::uint64_t id);
  core::Duration Backoff(unsigned failures);

  ClaimSettings settings;
  platform::PlatformClient platform;
  /// Time of the last call; platform callbacks carry none.
  core::TimePoint latest;
  std::mt19937_64 random;
  std::uint64_t next_id = 1;
  /// In order of arrival.
  std::map<std::uint64_t, Attempt> attempts;
  std::map<std::uint64_t, Work> works;
  std::size_t work_bytes = 0;
  bool commit_in_flight = false;
  ClaimStatistics counts;
  /// Callbacks that outlive this object do nothing.
  std::shared_ptr<bool> alive;
};

}  // namespace pomelospar::claims

#endif  // POMELOSPAR_LIBRARIES_CLAIMS_CLAIM_STORE_H_
