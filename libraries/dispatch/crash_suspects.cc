#include "libraries/dispatch/crash_suspects.h"

#include <algorithm>
#include <array>
#include <optional>

#include "libraries/core/identifiers.h"

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Number of reports that include a suspicion or an acquittal. In a large fleet only every fourth
// report goes to other failure domains, and some datagrams are lost.
constexpr unsigned kReportsPerNews = 12;
// Limits of one report. A report to other failure domains has twice as many suspicions and must
// still fit into one datagram.
constexpr std::size_t kMaxSuspicionsPerReport = 96;
constexpr std::size_t kMaxAcquittalsPerReport = 64;
constexpr std::size_t kMaxQuarantinesPerReport = 32;
// One crash makes every request of this router on that runner a suspect, and every part of it.
constexpr std::size_t kMaxSuspects = 8192;
// If there is no room, suspects of one crash are dropped after this time. To look for them costs a
// pass over all suspects, so that it is not done for each suspicion.
constexpr core::Duration kCrowdedRetention = seconds(10);
constexpr core::Duration kCleanupPeriod = seconds(1);
constexpr std::size_t kMaxPendingSuspicions = 8192;
// More crashes of one subject prove nothing more.
constexpr std::size_t kMaxCrashesPerSuspect = 16;
// A subject that was answered at this router so recently is not reported to the others.
constexpr core::Duration kAnsweredJustNow = seconds(2);
constexpr core::Duration kAcquittalPeriod = milliseconds(300);
// Time without a crash after which one request with the subject is sent as a trial, by the number
// of trials that failed. The users bear three requests with a part that is known to crash runners.
constexpr std::array<core::Duration, 3> kTrialDelays = {seconds(5), minutes(1), minutes(10)};
// Time for which the coordinator is not asked again after it did not grant a trial, so that a flood
// of such requests is refused without a round trip for each.
constexpr core::Duration kTrialDeferral = milliseconds(500);
// Requests that were sent before the quarantine crash their runners within this time; a later crash
// is that of a trial. Times that other routers tell are late by less than this.
constexpr core::Duration kCrashesInFlight = seconds(2);
// A report says how old a time was when it was written, so the time looks later by the delay of
// each report that passed it on. A told time that is later by less than this is the known one, and
// not after an answer; trials are further apart.
constexpr core::Duration kToldTimeLateness = seconds(1);

core::Duration TrialDelay(std::uint64_t failed_trials) {
  return kTrialDelays[std::min<std::uint64_t>(failed_trials, kTrialDelays.size() - 1)];
}

}  // namespace

std::vector<std::uint64_t> SubjectsOf(std::string_view workspace, std::string_view method,
                                      std::string_view target, std::string_view body,
                                      std::span<const PromptPart> parts) {
  std::uint64_t request = core::HashName(workspace);
  for (const auto text : {method, target, body}) {
    request = core::CombineHashes(request, core::HashName(text));
  }
  std::vector<std::uint64_t> subjects = {request};
  const auto part_kind = core::HashName("prompt part");
  for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
    subjects.push_back(core::CombineHashes(part_kind, parts[index].id));
  }
  return subjects;
}

void CrashSuspects::RecordLocalCrash(core::TimePoint now, std::uint64_t crash,
                                     std::span<const std::uint64_t> subjects) {
  LocalCrash local = {.crash = crash, .at = now};
  for (const auto subject : subjects) local.subjects.push_back({.subject = subject});
  this->RecordLocalCrash(now, local);
}

void CrashSuspects::RecordLocalCrash(core::TimePoint now, const LocalCrash& crash) {
  for (const auto& [subject, sent_at] : crash.subjects) {
    std::optional<core::Duration> in_progress;
    if (sent_at) in_progress = crash.at - *sent_at;
    this->RecordCrash(now, {.subject = subject,
                            .crash = crash.crash,
                            .age = now - crash.at,
                            .in_progress = in_progress});
    const auto answered = this->answers.Find(subject);
    if (answered && now - *answered < kAnsweredJustNow) continue;
    if (this->pending_suspicions.size() >= kMaxPendingSuspicions) {
      ++this->dropped_suspicions;
      continue;
    }
    this->pending_suspicions.push_back(
        {subject, crash.crash, crash.at, in_progress, kReportsPerNews});
  }
  this->FindWorst();
}

void CrashSuspects::RecordCrash(core::TimePoint now, const Suspicion& suspicion) {
  auto at = this->crash_times.Find(suspicion.crash);
  if (!at) {
    at = now - suspicion.age;
    this->crash_times.Record(suspicion.crash, *at);
  }
  const auto answered = this->answers.Find(suspicion.subject);
  if (answered && *answered >= *at) return;
  if (!this->suspects.contains(suspicion.subject) && !this->MakeRoom(now)) {
    ++this->dropped_suspicions;
    return;
  }
  auto& suspect = this->suspects[suspicion.subject];
  const bool known =
      std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                  [&](const Crash& crash) { return crash.identifier == suspicion.crash; });
  if (known) return;
  Crash crash = {.identifier = suspicion.crash, .at = *at};
  if (suspicion.in_progress) crash.sent_at = *at - *suspicion.in_progress;
  if (suspect.trial_begun && *at > *suspect.trial_begun) {
    suspect.known_failed_trials = FailedTrials(suspect) + 1;
    suspect.trial_begun.reset();
  }
  InsertCrash(suspect, crash);
  suspect.last = std::max(suspect.last, *at);
}

void CrashSuspects::InsertCrash(Suspect& suspect, const Crash& crash) {
  auto& crashes = suspect.crashes;
  if (crashes.size() >= kMaxCrashesPerSuspect) {
    // More crashes of one moment prove nothing more, but each moment counts.
    auto dropped = std::find_if(crashes.begin(), crashes.end(), [&](const Crash& other) {
      return std::chrono::abs(other.at - crash.at) <= kMomentLength;
    });
    if (dropped == crashes.end()) {
      dropped = std::adjacent_find(crashes.begin(), crashes.end(),
                                   [](const Crash& first, const Crash& second) {
                                     return second.at - first.at <= kMomentLength;
                                   });
    }
    crashes.erase(dropped == crashes.end() ? crashes.begin() : dropped);
  }
  const auto position = std::find_if(crashes.begin(), crashes.end(),
                                     [&](const Crash& other) { return other.at > crash.at; });
  crashes.insert(position, crash);
}

bool CrashSuspects::MakeRoom(core::TimePoint now) {
  if (this->suspects.size() < kMaxSuspects) return true;
  if (now - this->last_cleanup < kCleanupPeriod) return false;
  this->last_cleanup = now;
  std::erase_if(this->suspects, [&](const auto& entry) {
    const auto& suspect = entry.second;
    return suspect.crashes.size() <= 1 && !suspect.in_quarantine &&
           now - suspect.last > kCrowdedRetention;
  });
  return this->suspects.size() < kMaxSuspects;
}

void CrashSuspects::OnAnswer(core::TimePoint now, std::span<const std::uint64_t> subjects) {
  bool any_suspected = false;
  for (const auto subject : subjects) {
    const bool suspected = this->suspects.contains(subject);
    this->RecordAnswer(subject, now);
    if (suspected) this->QueueAcquittal(now, subject);
    any_suspected = any_suspected || suspected;
  }
  if (any_suspected) this->FindWorst();
}

void CrashSuspects::RecordAnswer(std::uint64_t subject, core::TimePoint at) {
  this->answers.Record(subject, at);
  const auto found = this->suspects.find(subject);
  if (found == this->suspects.end()) return;
  auto& suspect = found->second;
  std::erase_if(suspect.crashes, [&](const Crash& crash) { return crash.at <= at; });
  if (suspect.told_last && *suspect.told_last <= at + kToldTimeLateness) suspect.told_last.reset();
  if (!suspect.trial_begun || *suspect.trial_begun <= at) {
    suspect.trial_begun.reset();
    suspect.known_failed_trials = 0;
  }
  // An empty suspect stays until `Update`, which tells that its quarantine has ended.
}

void CrashSuspects::QueueAcquittal(core::TimePoint now, std::uint64_t subject) {
  const auto sent = this->sent_acquittals.Find(subject);
  if (sent && now - *sent < kAcquittalPeriod) return;
  this->sent_acquittals.Record(subject, now);
  const auto answered_at = this->answers.Find(subject).value_or(now);
  std::erase_if(this->pending_acquittals,
                [&](const PendingAcquittal& pending) { return pending.subject == subject; });
  this->pending_acquittals.push_back({subject, answered_at, kReportsPerNews});
}

void CrashSuspects::Apply(core::TimePoint now, const SuspectNews& news) {
  for (const auto& acquittal : news.acquittals) {
    this->RecordAnswer(acquittal.subject, now - acquittal.age);
  }
  for (const auto& suspicion : news.suspicions) {
    this->RecordCrash(now, suspicion);
    // Another router suspects what this one has seen answered.
    if (this->answers.Find(suspicion.subject)) this->QueueAcquittal(now, suspicion.subject);
  }
  for (const auto& told : news.quarantines) this->ApplyQuarantine(now, told);
  if (!news.suspicions.empty() || !news.acquittals.empty()) this->FindWorst();
}

void CrashSuspects::ApplyQuarantine(core::TimePoint now, const Quarantine& told) {
  if (told.age >= kQuarantineRetention) return;
  const auto last = now - told.age;
  const auto answered = this->answers.Find(told.subject);
  if (answered && *answered + kToldTimeLateness >= last) {
    this->QueueAcquittal(now, told.subject);
    return;
  }
  if (!this->suspects.contains(told.subject) && !this->MakeRoom(now)) {
    ++this->dropped_suspicions;
    return;
  }
  auto& suspect = this->suspects[told.subject];
  const bool is_newer = !suspect.told_last || last > *suspect.told_last + kToldTimeLateness;
  if (is_newer || told.failed_trials > suspect.told_failed_trials) {
    // The crashes before a newer time are counted now. The report may be older than the latest.
    if (is_newer) suspect.told_failed_trials = FailedTrials(suspect);
    suspect.told_last = is_newer ? last : *suspect.told_last;
    // More failed trials than there are delays change nothing, but could overflow.
    const auto told_failed = std::min<std::uint64_t>(told.failed_trials, kTrialDelays.size());
    suspect.told_failed_trials = std::max(suspect.told_failed_trials, told_failed);
  }
  const auto told_spent = std::min<std::uint64_t>(told.spent_trials, kTrialDelays.size());
  suspect.told_spent_trials =
      is_newer ? told_spent : std::max(suspect.told_spent_trials, told_spent);
  if (last > suspect.last + kToldTimeLateness) suspect.last = last;
}

unsigned CrashSuspects::MomentsNeeded(std::uint64_t subject) const {
  return this->answers.Find(subject) ? kCrashMomentsAfterAnswers : kCrashMoments;
}

bool CrashSuspects::IsExplained(std::uint64_t subject, const Suspect& suspect,
                                const Crash& crash) const {
  return std::any_of(this->worst.begin(), this->worst.end(), [&](std::uint64_t other_subject) {
    const auto found = this->suspects.find(other_subject);
    if (other_subject == subject || found == this->suspects.end()) return false;
    const auto& other = found->second.crashes;
    if (other.size() <= suspect.crashes.size()) return false;
    return std::any_of(other.begin(), other.end(),
                       [&](const Crash& its) { return its.identifier == crash.identifier; });
  });
}

unsigned CrashSuspects::CountMoments(std::uint64_t subject, const Suspect& suspect,
                                     bool only_unexplained) const {
  unsigned moments = 0;
  std::optional<core::TimePoint> begin;
  std::optional<core::TimePoint> latest;
  for (const auto& crash : suspect.crashes) {
    const bool is_retry = crash.sent_at && latest && *crash.sent_at >= *latest;
    if (begin && crash.at - *begin <= kMomentLength && !is_retry) continue;
    if (only_unexplained && this->IsExplained(subject, suspect, crash)) continue;
    begin = crash.at;
    latest = crash.at;
    ++moments;
  }
  return moments;
}

void CrashSuspects::FindWorst() {
  this->worst.clear();
  for (const auto& [subject, suspect] : this->suspects) {
    if (suspect.crashes.size() < kCrashMoments) continue;
    const auto needed = this->MomentsNeeded(subject);
    if (this->CountMoments(subject, suspect, false) >= needed) this->worst.push_back(subject);
  }
}

bool CrashSuspects::IsTold(core::TimePoint now, const Suspect& suspect) {
  return suspect.told_last &&
         now - std::max(*suspect.told_last, suspect.last_refused) < kQuarantineRetention;
}

bool CrashSuspects::IsConvicted(core::TimePoint now, std::uint64_t subject,
                                const Suspect& suspect) const {
  const auto needed = this->MomentsNeeded(subject);
  if (suspect.crashes.size() < needed || this->CountMoments(subject, suspect, false) < needed) {
    return IsTold(now, suspect);
  }
  // A router that knows the crashes itself judges them itself.
  return this->CountMoments(subject, suspect, true) >= needed;
}

std::uint64_t CrashSuspects::FailedTrials(const Suspect& suspect) {
  const auto count_after = [&](core::TimePoint from) {
    return static_cast<std::uint64_t>(
        std::count_if(suspect.crashes.begin(), suspect.crashes.end(),
                      [from](const Crash& crash) { return crash.at > from; }));
  };
  std::uint64_t own = 0;
  if (suspect.in_quarantine) own = count_after(suspect.quarantine_begin + kCrashesInFlight);
  // After a restart only the trials since then are known by their crashes.
  std::uint64_t told = 0;
  if (suspect.told_last && suspect.told_failed_trials > 0) {
    told = suspect.told_failed_trials + count_after(*suspect.told_last + kCrashesInFlight);
  }
  return std::max({own, told, suspect.known_failed_trials});
}

std::uint64_t CrashSuspects::SpentTrials(const Suspect& suspect) {
  const auto spent = FailedTrials(suspect) + (suspect.trial_begun ? 1 : 0);
  return suspect.told_last ? std::max(spent, suspect.told_spent_trials) : spent;
}

bool CrashSuspects::IsInQuarantine(core::TimePoint now, std::uint64_t subject) const {
  const auto found = this->suspects.find(subject);
  return found != this->suspects.end() && this->IsConvicted(now, subject, found->second);
}

SuspectVerdict CrashSuspects::VerdictFor(core::TimePoint now, std::uint64_t subject) const {
  if (!this->IsInQuarantine(now, subject)) return SuspectVerdict::kAllowed;
  const auto& suspect = this->suspects.at(subject);
  const auto due =
      std::max(suspect.last + TrialDelay(FailedTrials(suspect)), suspect.trial_deferred_until);
  return now >= due ? SuspectVerdict::kTrial : SuspectVerdict::kRefused;
}

bool CrashSuspects::TryGrantTrial(core::TimePoint now, std::uint64_t subject) {
  const auto verdict = this->VerdictFor(now, subject);
  if (verdict == SuspectVerdict::kRefused) return false;
  // What is not in quarantine here has no time of its latest trial.
  const auto granted = this->granted_trials.Find(subject);
  if (verdict == SuspectVerdict::kAllowed && granted && now - *granted < kTrialDelays.front()) {
    return false;
  }
  this->granted_trials.Record(subject, now);
  this->BeginTrial(now, subject);
  return true;
}

std::uint64_t CrashSuspects::CrashesOf(std::uint64_t subject) const {
  const auto found = this->suspects.find(subject);
  return found == this->suspects.end() ? 0 : found->second.crashes.size();
}

void CrashSuspects::BeginTrial(core::TimePoint now, std::uint64_t subject) {
  const auto found = this->suspects.find(subject);
  if (found == this->suspects.end()) return;
  found->second.last = now;
  found->second.trial_begun = now;
}

void CrashSuspects::DeferTrial(core::TimePoint now, std::uint64_t subject) {
  const auto found = this->suspects.find(subject);
  if (found != this->suspects.end()) found->second.trial_deferred_until = now + kTrialDeferral;
}

void CrashSuspects::OnRefused(core::TimePoint now, std::uint64_t subject) {
  const auto found = this->suspects.find(subject);
  if (found != this->suspects.end()) found->second.last_refused = now;
}

SuspectNews CrashSuspects::TakeNews(core::TimePoint now) {
  SuspectNews news;
  const auto suspicions = std::min(this->pending_suspicions.size(), kMaxSuspicionsPerReport);
  for (std::size_t index = 0; index < suspicions; ++index) {
    auto& pending = this->pending_suspicions[index];
    news.suspicions.push_back(
        {pending.subject, pending.crash, now - pending.crashed_at, pending.in_progress});
    --pending.sends_left;
  }
  // If not all fit, the others come first next time.
  std::rotate(this->pending_suspicions.begin(),
              this->pending_suspicions.begin() + static_cast<std::ptrdiff_t>(suspicions),
              this->pending_suspicions.end());
  std::erase_if(this->pending_suspicions,
                [](const PendingSuspicion& pending) { return pending.sends_left == 0; });
  for (auto& pending : this->pending_acquittals) {
    if (news.acquittals.size() >= kMaxAcquittalsPerReport) break;
    news.acquittals.push_back({pending.subject, now - pending.answered_at});
    --pending.sends_left;
  }
  std::erase_if(this->pending_acquittals,
                [](const PendingAcquittal& pending) { return pending.sends_left == 0; });
  for (const auto& [subject, suspect] : this->suspects) {
    if (news.quarantines.size() >= kMaxQuarantinesPerReport) break;
    if (!this->IsConvicted(now, subject, suspect)) continue;
    news.quarantines.push_back(
        {subject, FailedTrials(suspect), now - suspect.last, SpentTrials(suspect)});
  }
  return news;
}

SuspectNews CrashSuspects::MakeRecord(core::TimePoint now) const {
  struct Candidate {
    bool is_convicted = false;
    core::TimePoint last;
    std::uint64_t subject = 0;

    auto operator<=>(const Candidate&) const = default;  // NOLINT(modernize-use-nullptr)
  };
  std::vector<Candidate> candidates;
  for (const auto& [subject, suspect] : this->suspects) {
    const bool is_convicted = this->IsConvicted(now, subject, suspect);
    const bool is_close =
        suspect.crashes.size() + 1 >= kCrashMoments &&
        this->CountMoments(subject, suspect, true) + 1 >= this->MomentsNeeded(subject);
    if (is_convicted || is_close) candidates.push_back({is_convicted, suspect.last, subject});
  }
  std::sort(candidates.rbegin(), candidates.rend());
  if (candidates.size() > kMaxRecordedSubjects) candidates.resize(kMaxRecordedSubjects);
  SuspectNews record;
  for (const auto& candidate : candidates) {
    const auto& suspect = this->suspects.at(candidate.subject);
    if (candidate.is_convicted) {
      const auto spent = SpentTrials(suspect);
      record.quarantines.push_back({candidate.subject, spent, now - suspect.last, spent});
      continue;
    }
    for (const auto& crash : suspect.crashes) {
      Suspicion suspicion = {
          .subject = candidate.subject, .crash = crash.identifier, .age = now - crash.at};
      if (crash.sent_at) suspicion.in_progress = crash.at - *crash.sent_at;
      record.suspicions.push_back(suspicion);
    }
  }
  return record;
}

bool CrashSuspects::IsExpired(core::TimePoint now, const Suspect& suspect) {
  if (!suspect.in_quarantine) {
    return !IsTold(now, suspect) && (suspect.crashes.empty() || now - suspect.last > kRetention);
  }
  return now - std::max(suspect.last, suspect.last_refused) > kQuarantineRetention;
}

std::vector<QuarantineChange> CrashSuspects::Update(core::TimePoint now) {
  std::vector<QuarantineChange> changes;
  for (auto& [subject, suspect] : this->suspects) {
    const bool in_quarantine = this->IsConvicted(now, subject, suspect);
    if (in_quarantine == suspect.in_quarantine) continue;
    suspect.in_quarantine = in_quarantine;
    suspect.quarantine_begin = now;
    changes.push_back({subject, this->CrashesOf(subject), in_quarantine});
  }
  std::erase_if(this->suspects, [&](const auto& entry) {
    const bool expired = this->IsExpired(now, entry.second);
    if (expired && entry.second.in_quarantine) {
      changes.push_back({entry.first, this->CrashesOf(entry.first), false});
    }
    return expired;
  });
  return changes;
}

}  // namespace pomelospar::dispatch
