#ifndef POMELOSPAR_LIBRARIES_DISPATCH_CRASH_SUSPECTS_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_CRASH_SUSPECTS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/dispatch/prompt.h"
#include "libraries/dispatch/recent_subjects.h"

namespace pomelospar::dispatch {

/// Records that a subject was in progress on a runner when that runner crashed. A subject is what
/// may have caused the crash: a whole request, or one part of its prompt.
struct Suspicion {
  std::uint64_t subject = 0;
  /// Identifies the run of the runner that ended, so that a crash reported by several routers
  /// counts once.
  std::uint64_t crash = 0;
  /// Time since the crash.
  core::Duration age{};
  /// How long the subject had been in progress on the runner, if it was a whole request.
  std::optional<core::Duration> in_progress;
};

/// A crash that this router observed.
struct LocalCrash {
  struct Subject {
    std::uint64_t subject = 0;
    /// When the earliest request with the subject was sent to the runner; set for whole requests.
    std::optional<core::TimePoint> sent_at;
  };
  std::uint64_t crash = 0;
  /// When the connections to the runner broke.
  core::TimePoint at;
  std::vector<Subject> subjects;
};

/// States that a runner answered a request with the subject completely.
struct Acquittal {
  std::uint64_t subject = 0;
  /// Time since that answer.
  core::Duration age{};
};

/// States that a router refuses requests with the subject. Routers that have seen none of the
/// crashes, because they were restarted or cut off, refuse them too.
struct Quarantine {
  std::uint64_t subject = 0;
  /// Number of trials in which the subject crashed a runner again.
  std::uint64_t failed_trials = 0;
  /// Time since the latest crash or trial.
  core::Duration age{};
  /// The same number with a trial of which it is not known yet how it ends.
  std::uint64_t spent_trials = 0;
};

/// What the routers tell each other about suspects.
struct SuspectNews {
  std::vector<Suspicion> suspicions;
  std::vector<Acquittal> acquittals;
  std::vector<Quarantine> quarantines;
};

/// Whether a request with a subject may be sent to a runner.
enum class SuspectVerdict {
  kAllowed,
  /// The subject is in quarantine, and one router of the fleet may send one request to find out
  /// whether it still is a danger, if the subject's coordinator grants it.
  kTrial,
  kRefused,
};

/// A subject whose quarantine began or ended at this router, for the log.
struct QuarantineChange {
  std::uint64_t subject = 0;
  std::uint64_t crashes = 0;
  bool begins = false;
};

/// Returns the subjects of a request: first the request as a whole, then each part of its prompt
/// but the last one, which no other request has.
std::vector<std::uint64_t> SubjectsOf(std::string_view workspace, std::string_view method,
                                      std::string_view target, std::string_view body,
                                      std::span<const PromptPart> parts);

/// Detects what crashes every runner that starts to execute it: equal requests, or requests that
/// have one part of their prompts in common. An engine runs about a hundred requests at once, so
/// one crash proves little about any of them. A subject is put in quarantine if it was in progress
/// in crashes at several moments and no runner has answered it completely since; crashes that a
/// worse suspect explains do not count. A complete answer at any router ends the quarantine. A
/// quarantine outlives the routers that saw the crashes: each router tells it with the time of the
/// latest crash or trial, so that telling it again does not extend it.
class CrashSuspects {
 public:
  /// A subject that was never answered is put in quarantine after crashes at this many moments.
  static constexpr unsigned kCrashMoments = 3;
  /// The same for a subject that was answered before the crashes. It is probably sound, and fails
  /// only as long as all runners fail.
  static constexpr unsigned kCrashMomentsAfterAnswers = 6;
  /// Crashes within this time are one moment: a failure domain, a rack or a release that ends many
  /// runners at once is one event. A whole request that was sent to a runner only after the crash
  /// before, as a retry is, was no victim of the same event there, so such a crash is a moment of
  /// its own.
  static constexpr core::Duration kMomentLength = std::chrono::milliseconds(250);
  /// A crash counts for this long after the latest one of its subject.
  static constexpr core::Duration kRetention = std::chrono::minutes(2);
  /// A quarantine lasts for this long after the latest crash, trial or refused request.
  static constexpr core::Duration kQuarantineRetention = std::chrono::minutes(10);
  static constexpr std::size_t kMaxRecordedSubjects = 64;

  /// Records a crash that this router observed with the subjects that were in progress, and queues
  /// it for the reports to the other routers.
  void RecordLocalCrash(core::TimePoint now, const LocalCrash& crash);
  /// The same for a crash at `now` of which it is not known when the subjects were sent.
  void RecordLocalCrash(core::TimePoint now, std::uint64_t crash,
                        std::span<const std::uint64_t> subjects);
  /// Records that a runner answered a request with the subjects completely.
  void OnAnswer(core::TimePoint now, std::span<const std::uint64_t> subjects);
  /// Applies what another router reported. Repeated news has no further effect.
  void Apply(core::TimePoint now, const SuspectNews& news);

  bool IsInQuarantine(core::TimePoint now, std::uint64_t subject) const;
  /// Returns whether a request with the subject may be sent now.
  SuspectVerdict VerdictFor(core::TimePoint now, std::uint64_t subject) const;
  /// Call at the subject's coordinator, the one router that grants its trials. Returns true if a
  /// trial is due, and counts it as begun. A subject that this router does not refuse may still be
  /// in quarantine at the router that asks, so its trials are granted too, one at a time.
  bool TryGrantTrial(core::TimePoint now, std::uint64_t subject);
  /// Call when the coordinator has granted a trial, right before the request is sent.
  void BeginTrial(core::TimePoint now, std::uint64_t subject);
  /// Call when the coordinator did not grant a trial. The subject is refused for a moment.
  void DeferTrial(core::TimePoint now, std::uint64_t subject);
  /// Call when a request with the subject was refused.
  void OnRefused(core::TimePoint now, std::uint64_t subject);

  /// Returns the news for the next report to the other routers. Suspicions and acquittals are
  /// included in several reports, because reports may be lost; quarantines in all.
  SuspectNews TakeNews(core::TimePoint now);
  /// Returns what a fleet must know again after all of its routers have ended: the quarantines, and
  /// the crashes of subjects that need one more. The latest ones come first; there are at most
  /// `kMaxRecordedSubjects` subjects. Trials that may have failed count as failed. Give it to
  /// `Apply` at the start.
  SuspectNews MakeRecord(core::TimePoint now) const;
  /// Drops what has expired. Returns the quarantines that began or ended since the last call.
  std::vector<QuarantineChange> Update(core::TimePoint now);

  /// True if no subject is suspected.
  bool empty() const { return this->suspects.empty(); }
  std::size_t size() const { return this->suspects.size(); }
  std::uint64_t CrashesOf(std::uint64_t subject) const;
  /// Number of suspicions that were not recorded because there were too many suspects.
  std::uint64_t dropped() const { return this->dropped_suspicions; }

 private:
  struct Crash {
    std::uint64_t identifier = 0;
    core::TimePoint at;
    /// When the subject was sent to the runner; set for whole requests.
    std::optional<core::TimePoint> sent_at;
  };
  struct Suspect {
    /// Crashes since the subject was last answered, in order of time.
    std::vector<Crash> crashes;
    /// Time of the latest crash or trial by what another router told that refuses the subject, and
    /// the trials that had failed until then.
    std::optional<core::TimePoint> told_last;
    std::uint64_t told_failed_trials = 0;
    std::uint64_t told_spent_trials = 0;
    /// When the latest trial began whose end is not known, if this router granted it or was granted
    /// it, and the trials that had failed after the crash of the one before.
    std::optional<core::TimePoint> trial_begun;
    std::uint64_t known_failed_trials = 0;
    /// The coordinator is not asked for a trial before this time.
    core::TimePoint trial_deferred_until;
    /// Time of the latest crash or trial at any router.
    core::TimePoint last;
    core::TimePoint last_refused;
    bool in_quarantine = false;
    core::TimePoint quarantine_begin;
  };
  struct PendingSuspicion {
    std::uint64_t subject = 0;
    std::uint64_t crash = 0;
    core::TimePoint crashed_at;
    std::optional<core::Duration> in_progress;
    unsigned sends_left = 0;
  };
  struct PendingAcquittal {
    std::uint64_t subject = 0;
    core::TimePoint answered_at;
    unsigned sends_left = 0;
  };

  /// Records a crash, whichever router observed it.
  void RecordCrash(core::TimePoint now, const Suspicion& suspicion);
  /// Inserts a crash in order of time. At the limit it takes the place of an earlier one.
  static void InsertCrash(Suspect& suspect, const Crash& crash);
  /// Returns false if there is no room for another suspect.
  bool MakeRoom(core::TimePoint now);
  void RecordAnswer(std::uint64_t subject, core::TimePoint at);
  void ApplyQuarantine(core::TimePoint now, const Quarantine& told);
  void QueueAcquittal(core::TimePoint now, std::uint64_t subject);
  unsigned MomentsNeeded(std::uint64_t subject) const;
  /// Returns true if the crashes of the suspect, or another router, put it in quarantine.
  bool IsConvicted(core::TimePoint now, std::uint64_t subject, const Suspect& suspect) const;
  /// Returns the number of moments in which the suspect was in progress in a crash.
  unsigned CountMoments(std::uint64_t subject, const Suspect& suspect, bool only_unexplained) const;
  /// Returns true if a worse suspect was in progress in the crash too.
  bool IsExplained(std::uint64_t subject, const Suspect& suspect, const Crash& crash) const;
  /// Finds the suspects that explain the crashes of others.
  void FindWorst();
  static std::uint64_t FailedTrials(const Suspect& suspect);
  static std::uint64_t SpentTrials(const Suspect& suspect);
  static bool IsTold(core::TimePoint now, const Suspect& suspect);
  static bool IsExpired(core::TimePoint now, const Suspect& suspect);

  std::unordered_map<std::uint64_t, Suspect> suspects;
  /// Suspects with as many moments as a quarantine needs, explained or not.
  std::vector<std::uint64_t> worst;
  /// Times of the latest crashes, as far as this router knows.
  RecentSubjects crash_times;
  /// Times of the latest complete answers.
  RecentSubjects answers;
  RecentSubjects sent_acquittals;
  /// Times of the latest trials that this router granted.
  RecentSubjects granted_trials;
  std::vector<PendingSuspicion> pending_suspicions;
  std::vector<PendingAcquittal> pending_acquittals;
  std::uint64_t dropped_suspicions = 0;
  core::TimePoint last_cleanup;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_CRASH_SUSPECTS_H_
