#include "libraries/claims/claim_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelospar::claims {
namespace {

constexpr core::Duration kFirstBackoff = std::chrono::milliseconds(50);
// A router detects within this time that the platform is available again after an outage. 370
// routers that retry every 5 s cause 74 writes/s, and the platform sustains several hundred.
constexpr core::Duration kMaximumBackoff = std::chrono::seconds(5);
// Keeps a call well below the usual limits of request size.
constexpr std::size_t kMaximumBatchBytes = 512 * 1024;

std::string RunningValue(const Claim& claim) {
  return EncodeClaimRow(ClaimRow{claim.attempt, claim.body_hash, ClaimState::kRunning, {}});
}

BeginResult Refuse(ClaimVerdict verdict, std::string message) {
  BeginResult result;
  result.verdict = verdict;
  result.message = std::move(message);
  return result;
}

BeginResult Unavailable(std::string_view cause) {
  return Refuse(ClaimVerdict::kUnavailable,
                fmt::format("{}; the request was not run, repeat it with the same key", cause));
}

platform::Transaction ConditionalWrite(std::string key, std::string value, std::uint64_t version) {
  return platform::Transaction{{platform::Write{std::move(key), std::move(value), version}}};
}

}  // namespace

ClaimStore::ClaimStore(ClaimSettings settings, platform::PlatformClient platform)
    : settings(settings),
      platform(std::move(platform)),
      random(settings.incarnation),
      alive(std::make_shared<bool>(true)) {}

void ClaimStore::Begin(core::TimePoint now, std::string_view workspace, std::string_view key,
                       std::string_view body_hash, BeginCallback callback) {
  this->last_call_time = std::max(this->last_call_time, now);
  this->counts.begun += 1;
  auto row_key = ClaimRowKey(workspace, key);
  if (row_key.has_error()) {
    callback(Refuse(ClaimVerdict::kInvalidKey, row_key.error().message));
    return;
  }
  if (this->pending() >= this->settings.maximum_pending) {
    callback(Unavailable("too many claims wait for the platform's store"));
    return;
  }
  const auto id = this->next_id++;
  Attempt attempt;
  attempt.claim.row_key = std::move(row_key).value();
  attempt.claim.attempt = fmt::format("{:016x}-{}", this->settings.incarnation, id);
  attempt.claim.body_hash = body_hash;
  attempt.callback = std::move(callback);
  attempt.deadline = now + this->settings.begin_timeout;
  attempt.due = now + this->settings.batch_window;
  this->attempts.emplace(id, std::move(attempt));
  this->Flush(now);
}

void ClaimStore::Finish(core::TimePoint now, const Claim& claim, admission::Outcome outcome,
                        std::optional<RecordedAnswer> answer) {
  if (outcome == admission::Outcome::kNotRun) {
    this->MarkNotRun(now, claim);
    return;
  }
  if (this->pending_outcomes.size() >= this->settings.maximum_pending) {
    this->counts.dropped_outcomes += 1;
    return;
  }
  const bool answered = outcome == admission::Outcome::kAnswered;
  const bool keep =
      answered && answer.has_value() &&
      answer->body.size() <= this->settings.maximum_answer_bytes &&
      this->pending_outcome_bytes + answer->body.size() <= this->settings.maximum_pending_bytes;
  if (answered && !keep) {
    this->counts.dropped_answers += 1;
  }
  this->AddPendingOutcome(now, claim, claim.version,
                          answered ? ClaimState::kAnswered : ClaimState::kUnknown,
                          keep ? std::move(answer) : std::nullopt);
  this->Flush(now);
}

void ClaimStore::MarkNotRun(core::TimePoint now, const Claim& claim) {
  if (this->pending_outcomes.size() >= this->settings.maximum_pending) {
    this->counts.dropped_outcomes += 1;
    return;
  }
  this->AddPendingOutcome(now, claim, claim.version, ClaimState::kNotRun, std::nullopt);
  this->Flush(now);
}

void ClaimStore::AddPendingOutcome(core::TimePoint now, const Claim& claim,
                                   std::uint64_t expected_version, ClaimState state,
                                   std::optional<RecordedAnswer> answer) {
  this->last_call_time = std::max(this->last_call_time, now);
  PendingOutcome pending_outcome;
  pending_outcome.row_key = claim.row_key;
  pending_outcome.attempt = claim.attempt;
  pending_outcome.value =
      EncodeClaimRow(ClaimRow{claim.attempt, claim.body_hash, state, std::move(answer)});
  pending_outcome.expected_version = expected_version;
  pending_outcome.due = now + this->settings.batch_window;
  this->pending_outcome_bytes += pending_outcome.value.size();
  this->pending_outcomes.emplace(this->next_id++, std::move(pending_outcome));
}

void ClaimStore::Tick(core::TimePoint now) {
  this->last_call_time = std::max(this->last_call_time, now);
  this->ExpireAttempts(now);
  this->Flush(now);
}

void ClaimStore::ExpireAttempts(core::TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [id, attempt] : this->attempts) {
    if (now >= attempt.deadline) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    this->ReplyUnavailable(id);
  }
}

bool ClaimStore::IsBatchDue(core::TimePoint now) const {
  const auto is_due = [&](const auto& entry) { return now >= entry.second.due; };
  return this->attempts.size() >= this->settings.maximum_batch ||
         std::ranges::any_of(this->attempts, is_due) ||
         std::ranges::any_of(this->pending_outcomes, is_due);
}

void ClaimStore::Flush(core::TimePoint now) {
  if (this->commit_in_flight || !this->IsBatchDue(now)) {
    return;
  }
  std::vector<BatchItem> items;
  std::vector<platform::Transaction> transactions;
  this->CollectBatch(now, items, transactions);
  if (items.empty()) {
    return;
  }
  this->commit_in_flight = true;
  this->counts.commits += 1;
  this->platform.commit(std::move(transactions), [this, watch = std::weak_ptr<bool>(this->alive),
                                                  items = std::move(items)](const auto& results) {
    if (!watch.expired()) {
      this->OnCommit(items, results);
    }
  });
}

void ClaimStore::CollectBatch(core::TimePoint now, std::vector<BatchItem>& items,
                              std::vector<platform::Transaction>& transactions) {
  std::size_t bytes = 0;
  const auto add = [&](BatchItem item, platform::Transaction transaction) {
    bytes += transaction.writes.front().value.size();
    items.push_back(item);
    transactions.push_back(std::move(transaction));
  };
  const auto is_full = [&](std::size_t reserved) {
    return items.size() + reserved >= this->settings.maximum_batch || bytes >= kMaximumBatchBytes;
  };
  // Up to half of a batch is reserved for outcomes, so that a steady stream of claims does not
  // delay them indefinitely.
  const auto reserved_for_outcomes =
      std::min(this->pending_outcomes.size(), this->settings.maximum_batch / 2);
  for (auto& [id, attempt] : this->attempts) {
    // New claims join a batch before their batch window ends; failed ones wait for their backoff.
    const bool in_backoff = attempt.failures > 0 && now < attempt.due;
    if (!is_full(reserved_for_outcomes) && !in_backoff) {
      attempt.in_flight = true;
      add({true, id}, ConditionalWrite(attempt.claim.row_key, RunningValue(attempt.claim),
                                       attempt.expected_version));
    }
  }
  for (auto& [id, pending_outcome] : this->pending_outcomes) {
    const bool in_backoff = pending_outcome.failures > 0 && now < pending_outcome.due;
    if (!is_full(0) && !in_backoff) {
      pending_outcome.in_flight = true;
      add({false, id}, ConditionalWrite(pending_outcome.row_key, pending_outcome.value,
                                        pending_outcome.expected_version));
    }
  }
}

void ClaimStore::OnCommit(const std::vector<BatchItem>& items,
                          const core::Result<std::vector<platform::TransactionResult>>& results) {
  const bool complete = results.has_value() && results.value().size() == items.size();
  this->counts.lost_commits += complete ? 0 : 1;
  const auto error = results.has_error() ? results.error()
                                         : core::MakeError(core::ErrorKind::kUnknownOutcome,
                                                           "the platform's answer is incomplete");
  for (std::size_t index = 0; index < items.size(); ++index) {
    const auto [is_attempt, id] = items[index];
    if (is_attempt && complete) {
      this->OnAttemptResult(id, results.value()[index]);
    } else if (is_attempt) {
      this->OnAttemptError(id, error);
    } else if (complete) {
      this->OnOutcomeWriteResult(id, results.value()[index]);
    } else {
      this->OnOutcomeWriteError(id);
    }
  }
  // The flag is reset only here because a callback above may have called `Begin`, which would
  // otherwise have sent the items of this batch again.
  this->commit_in_flight = false;
  this->Flush(this->last_call_time);
}

void ClaimStore::OnAttemptResult(std::uint64_t id, const platform::TransactionResult& result) {
  const auto found = this->attempts.find(id);
  // An attempt that timed out has been answered; a pending outcome overwrites its row.
  if (found == this->attempts.end()) {
    return;
  }
  found->second.in_flight = false;
  if (result.rows.empty()) {
    this->OnAttemptError(id, core::MakeError(core::ErrorKind::kUnknownOutcome, "no row returned"));
    return;
  }
  const auto& row = result.rows.front();
  if (!result.committed) {
    this->HandleExistingRow(id, row);
    return;
  }
  BeginResult proceed;
  proceed.verdict = ClaimVerdict::kProceed;
  proceed.claim = found->second.claim;
  proceed.claim.version = row.version;
  this->Reply(id, std::move(proceed));
}

void ClaimStore::HandleExistingRow(std::uint64_t id, const platform::Row& row) {
  auto& attempt = this->attempts.at(id);
  if (row.version == 0) {
    // The row was removed after this attempt read its version, so the key is free again.
    attempt.expected_version = 0;
    this->RetryLater(attempt);
    return;
  }
  const auto decoded = DecodeClaimRow(row.value);
  if (decoded.has_error()) {
    this->Reply(id, Refuse(ClaimVerdict::kRunningOrUnknown, decoded.error().message));
    return;
  }
  const auto& existing = decoded.value();
  if (existing.body_hash != attempt.claim.body_hash) {
    this->Reply(id, Refuse(ClaimVerdict::kKeyReused,
                           "the idempotency key belongs to a request with another body; use a "
                           "new key for a new request"));
    return;
  }
  const bool is_own = existing.attempt == attempt.claim.attempt;
  if (is_own && existing.state == ClaimState::kRunning) {
    BeginResult proceed;
    proceed.verdict = ClaimVerdict::kProceed;
    proceed.claim = attempt.claim;
    proceed.claim.version = row.version;
    this->Reply(id, std::move(proceed));
    return;
  }
  if (existing.state == ClaimState::kNotRun) {
    attempt.expected_version = row.version;
    return;
  }
  if (existing.state == ClaimState::kAnswered && existing.answer.has_value()) {
    BeginResult answered;
    answered.verdict = ClaimVerdict::kAnsweredBefore;
    answered.answer = existing.answer;
    this->Reply(id, std::move(answered));
    return;
  }
  const bool was_answered = existing.state == ClaimState::kAnswered;
  this->Reply(id, Refuse(ClaimVerdict::kRunningOrUnknown,
                         was_answered ? "the request was answered before, but the answer was not "
                                        "kept; look up its effect at the service"
                                      : "a request with this idempotency key is running or its "
                                        "outcome is unknown; look up its effect at the service"));
}

void ClaimStore::OnAttemptError(std::uint64_t id, const core::Error& error) {
  const auto found = this->attempts.find(id);
  if (found == this->attempts.end()) {
    return;
  }
  auto& attempt = found->second;
  attempt.in_flight = false;
  const bool was_sent = !core::Is(error, core::ErrorKind::kUnavailable);
  attempt.may_be_written = attempt.may_be_written || was_sent;
  if (!attempt.may_be_written) {
    this->ReplyUnavailable(id);
    return;
  }
  this->RetryLater(attempt);
}

void ClaimStore::RetryLater(Attempt& attempt) {
  attempt.failures += 1;
  attempt.due = this->last_call_time + this->Backoff(attempt.failures);
}

void ClaimStore::ReplyUnavailable(std::uint64_t id) {
  const auto& attempt = this->attempts.at(id);
  if (attempt.may_be_written || attempt.in_flight) {
    this->counts.unconfirmed += 1;
    this->AddPendingOutcome(this->last_call_time, attempt.claim, attempt.expected_version,
                            ClaimState::kNotRun, std::nullopt);
  }
  this->Reply(id, Unavailable("the platform's store did not confirm the idempotency key"));
}

void ClaimStore::Reply(std::uint64_t id, BeginResult result) {
  auto node = this->attempts.extract(id);
  this->counts.proceeded += result.verdict == ClaimVerdict::kProceed ? 1 : 0;
  // The callback may call this object again.
  node.mapped().callback(std::move(result));
}

void ClaimStore::OnOutcomeWriteResult(std::uint64_t id, const platform::TransactionResult& result) {
  auto& pending_outcome = this->pending_outcomes.at(id);
  pending_outcome.in_flight = false;
  if (result.committed) {
    this->ErasePendingOutcome(id);
    return;
  }
  if (result.rows.empty()) {
    this->OnOutcomeWriteError(id);
    return;
  }
  const auto& row = result.rows.front();
  const auto decoded = DecodeClaimRow(row.value);
  // The write of the claim itself took effect after this outcome was added, so the outcome must
  // replace that version of the row.
  const bool is_own_insert = row.version > 0 && decoded.has_value() &&
                             decoded.value().attempt == pending_outcome.attempt &&
                             decoded.value().state == ClaimState::kRunning;
  if (!is_own_insert) {
    // An earlier write of this outcome took effect, the row belongs to another attempt, or it was
    // removed.
    this->ErasePendingOutcome(id);
    return;
  }
  pending_outcome.expected_version = row.version;
}

void ClaimStore::OnOutcomeWriteError(std::uint64_t id) {
  auto& pending_outcome = this->pending_outcomes.at(id);
  pending_outcome.in_flight = false;
  pending_outcome.failures += 1;
  pending_outcome.due = this->last_call_time + this->Backoff(pending_outcome.failures);
}

void ClaimStore::ErasePendingOutcome(std::uint64_t id) {
  const auto pending_outcome = this->pending_outcomes.find(id);
  this->pending_outcome_bytes -= pending_outcome->second.value.size();
  this->pending_outcomes.erase(pending_outcome);
}

core::Duration ClaimStore::Backoff(unsigned failures) {
  const auto doubled = kFirstBackoff * (std::int64_t{1} << std::min(failures, 10U));
  const auto longest = std::min<core::Duration>(kMaximumBackoff, doubled);
  std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2, longest.count());
  return core::Duration(jitter(this->random));
}

}  // namespace pomelospar::claims
