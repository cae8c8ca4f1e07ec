#include "libraries/dispatch/crash_suspects.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <utility>
#include <vector>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr core::Duration kApart = CrashSuspects::kMomentLength + milliseconds(50);

class CrashSuspectsTest : public testing::Test {
 protected:
  void Crash(CrashSuspects& suspects, std::uint64_t crash,
             std::initializer_list<std::uint64_t> subjects) {
    this->clock.Advance(kApart);
    suspects.RecordLocalCrash(this->clock.now(), crash, std::vector(subjects));
  }
  void Answer(CrashSuspects& suspects, std::uint64_t subject) {
    suspects.OnAnswer(this->clock.now(), std::array{subject});
  }
  void Report(CrashSuspects& from, CrashSuspects& to) {
    to.Apply(this->clock.now(), from.TakeNews(this->clock.now()));
  }
  /// Records a crash under a whole request that was sent to the runner some time before.
  void CrashAfter(CrashSuspects& suspects, std::uint64_t crash, core::Duration in_progress) {
    const auto at = this->clock.now();
    suspects.RecordLocalCrash(
        at, {.crash = crash, .at = at, .subjects = {{.subject = 7, .sent_at = at - in_progress}}});
  }
  SuspectVerdict Verdict(const CrashSuspects& suspects, std::uint64_t subject) {
    return suspects.VerdictFor(this->clock.now(), subject);
  }
  bool IsRefused(const CrashSuspects& suspects, std::uint64_t subject) {
    return this->Verdict(suspects, subject) == SuspectVerdict::kRefused;
  }

  core::ManualClock clock;
  CrashSuspects local;
  CrashSuspects remote;
};

TEST(SubjectsOfTest, SeparatesRequestsAndLeavesOutTheLastPart) {
  const std::vector<PromptPart> parts = {{1, 10.0}, {2, 10.0}, {3, 10.0}};
  const auto subjects = SubjectsOf("w", "POST", "/x", "body", parts);
  ASSERT_EQ(subjects.size(), 3U);
  EXPECT_NE(subjects[0], SubjectsOf("w", "GET", "/x", "body", parts)[0]);
  EXPECT_NE(subjects[0], SubjectsOf("w", "POST", "/xb", "ody", parts)[0]);
  EXPECT_NE(subjects[0], SubjectsOf("v", "POST", "/x", "body", parts)[0]);
  const auto others = SubjectsOf("v", "POST", "/y", "text", std::array{parts[1], parts[0]});
  EXPECT_EQ(others[1], subjects[2]);
  EXPECT_EQ(SubjectsOf("w", "POST", "/x", "body", {}).size(), 1U);
}

// What crashes every runner must be refused after the third crash, whichever routers observed the
// crashes.
TEST_F(CrashSuspectsTest, RefusesAfterThreeCrashesOfTheFleet) {
  this->Crash(this->local, 1, {7});
  this->Crash(this->local, 2, {7});
  EXPECT_EQ(this->Verdict(this->local, 7), SuspectVerdict::kAllowed);
  this->Report(this->local, this->remote);
  this->Report(this->local, this->remote);
  EXPECT_EQ(this->Verdict(this->remote, 7), SuspectVerdict::kAllowed);
  this->Crash(this->remote, 2, {7});
  EXPECT_EQ(this->Verdict(this->remote, 7), SuspectVerdict::kAllowed);
  this->Crash(this->remote, 3, {7});
  EXPECT_TRUE(this->IsRefused(this->remote, 7));
  this->Report(this->remote, this->local);
  EXPECT_TRUE(this->IsRefused(this->local, 7));
}

// A failure domain or a rack that fails must not look like a request that ends one runner after
// the other.
TEST_F(CrashSuspectsTest, CountsCrashesOfOneMomentOnce) {
  for (std::uint64_t crash = 0; crash < 10; ++crash) {
    this->local.RecordLocalCrash(this->clock.now(), crash, std::array<std::uint64_t, 1>{7});
    this->clock.Advance(milliseconds(10));
  }
  EXPECT_EQ(this->Verdict(this->local, 7), SuspectVerdict::kAllowed);
  EXPECT_EQ(this->local.CrashesOf(7), 10U);
}

// A request whose retries take down one runner after the other must be refused after the third,
// although all three fall within one moment; one that was in progress on all of them when they fell
// is a victim like others.
TEST_F(CrashSuspectsTest, CountsCrashesUnderRetriesOfOneRequest) {
  for (std::uint64_t crash = 0; crash < 3; ++crash) {
    this->clock.Advance(milliseconds(10));
    this->CrashAfter(this->local, crash, milliseconds(5));
    this->CrashAfter(this->remote, crash, seconds(1));
  }
  EXPECT_TRUE(this->IsRefused(this->local, 7));
  EXPECT_EQ(this->Verdict(this->remote, 7), SuspectVerdict::kAllowed);
  CrashSuspects third;
  this->Report(this->local, third);
  EXPECT_TRUE(this->IsRefused(third, 7));
}

// A subject must not escape quarantine because the crashes of its first moment fill the list.
TEST_F(CrashSuspectsTest, CountsEachMomentAfterManyCrashesOfOne) {
  std::uint64_t crash = 0;
  for (int moment = 0; moment < 3; ++moment) {
    this->clock.Advance(kApart);
    for (int runner = 0; runner < 20; ++runner) {
      this->local.RecordLocalCrash(this->clock.now(), ++crash, std::array<std::uint64_t, 1>{7});
    }
  }
  EXPECT_TRUE(this->IsRefused(this->local, 7));
}

// A request that often runs beside one that crashes runners must not be refused.
TEST_F(CrashSuspectsTest, ForgetsWhatIsAnswered) {
  for (std::uint64_t crash = 0; crash < 5; ++crash) {
    this->Crash(this->local, crash, {7});
    this->Answer(this->local, 7);
  }
  EXPECT_EQ(this->Verdict(this->local, 7), SuspectVerdict::kAllowed);
}

// A repeated report of a crash must not revive a suspicion that an answer has refuted.
TEST_F(CrashSuspectsTest, IgnoresLateReportsOfCrashesBeforeTheLatestAnswer) {
  for (std::uint64_t crash = 0; crash < 3; ++crash) this->Crash(this->local, crash, {7});
  this->Report(this->local, this->remote);
  EXPECT_TRUE(this->IsRefused(this->remote, 7));
  this->clock.Advance(milliseconds(10));
  this->Answer(this->remote, 7);
  this->Report(this->local, this->remote);
  EXPECT_EQ(this->Verdict(this->remote, 7), SuspectVerdict::kAllowed);
  this->Report(this->remote, this->local);
  EXPECT_EQ(this->Verdict(this->local, 7), SuspectVerdict::kAllowed);
}

// A part that many requests share fails while all runners fail. It must not be refused as soon as
// something that was never answered.
TEST_F(CrashSuspectsTest, NeedsMoreCrashesOfWhatWasAnsweredBefore) {
  this->Answer(this->remote, 7);
  this->clock.Advance(seconds(30));
  for (std::uint64_t crash = 0; crash < 3; ++crash) {
    this->Crash(this->local, crash, {7, 8});
    this->Report(this->local, this->remote);
    this->Report(this->remote, this->local);
  }
  EXPECT_EQ(this->Verdict(this->local, 7), SuspectVerdict::kAllowed);
  EXPECT_TRUE(this->IsRefused(this->local, 8));
  for (std::uint64_t crash = 3; crash < 6; ++crash) this->Crash(this->local, crash, {7});
  EXPECT_TRUE(this->IsRefused(this->local, 7));
}

// What was in progress beside a worse suspect must come free without an answer of its own.
TEST_F(CrashSuspectsTest, DoesNotCountCrashesThatAWorseSuspectExplains) {
  for (std::uint64_t crash = 0; crash < 3; ++crash) this->Crash(this->local, crash, {7, 8});
  EXPECT_TRUE(this->IsRefused(this->local, 8));
  this->Crash(this->local, 3, {7});
  EXPECT_EQ(this->Verdict(this->local, 8), SuspectVerdict::kAllowed);
  EXPECT_TRUE(this->IsRefused(this->local, 7));
}

// A sound subject in quarantine must come free although nobody may send it, and a dangerous one
// must not cost a runner at each router.
TEST_F(CrashSuspectsTest, SendsRareTrials) {
  for (std::uint64_t crash = 0; crash < 3; ++crash) this->Crash(this->local, crash, {7});
  this->Report(this->local, this->remote);
  static_cast<void>(this->local.Update(this->clock.now()));
  this->clock.Advance(seconds(5));
  EXPECT_EQ(this->Verdict(this->local, 7), SuspectVerdict::kTrial);
  // Both may ask, but the coordinator grants one trial.
  EXPECT_EQ(this->Verdict(this->remote, 7), SuspectVerdict::kTrial);
  EXPECT_TRUE(this->local.TryGrantTrial(this->clock.now(), 7));
  EXPECT_FALSE(this->local.TryGrantTrial(this->clock.now(), 7));
  this->remote.DeferTrial(this->clock.now(), 7);
  EXPECT_TRUE(this->IsRefused(this->remote, 7));
  EXPECT_TRUE(this->IsRefused(this->local, 7));
  this->clock.Advance(milliseconds(200));
  this->Report(this->local, this->remote);
  this->clock.Advance(milliseconds(800));
  EXPECT_EQ(this->Verdict(this->remote, 7), SuspectVerdict::kRefused);
  this->Crash(this->local, 3, {7});
  this->clock.Advance(seconds(59));
  EXPECT_TRUE(this->IsRefused(this->local, 7));
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->Verdict(this->local, 7), SuspectVerdict::kTrial);
  this->Crash(this->local, 4, {7});
  this->clock.Advance(minutes(9));
  EXPECT_TRUE(this->IsRefused(this->local, 7));
}

// A router that was restarted knows no crash. It must refuse what the others refuse, and pass it on
// if they are restarted in turn, also if no such request has come meanwhile. Telling it must not
// extend it, and an answer anywhere must end it.
TEST_F(CrashSuspectsTest, LearnsQuarantinesFromOtherRouters) {
  for (std::uint64_t crash = 0; crash < 3; ++crash) this->Crash(this->local, crash, {7});
  const auto last = this->clock.now();
  for (int report = 0; report < 12; ++report) static_cast<void>(this->local.TakeNews({}));
  this->Report(this->local, this->remote);
  EXPECT_TRUE(this->IsRefused(this->remote, 7));
  this->clock.Advance(seconds(20));
  CrashSuspects third;
  this->Report(this->remote, third);
  EXPECT_EQ(this->Verdict(third, 7), SuspectVerdict::kTrial);
  static_cast<void>(third.Update(this->clock.now()));
  // The trial crashes its runner, and the third router is restarted too.
  EXPECT_TRUE(third.TryGrantTrial(this->clock.now(), 7));
  this->clock.Advance(seconds(3));
  this->Crash(third, 9, {7});
  CrashSuspects fourth;
  this->Report(third, fourth);
  this->clock.Advance(seconds(30));
  EXPECT_TRUE(this->IsRefused(fourth, 7));
  while (this->clock.now() - last < 2 * CrashSuspects::kQuarantineRetention) {
    this->Report(this->remote, fourth);
    this->Report(fourth, this->remote);
    this->clock.Advance(seconds(20));
  }
  EXPECT_EQ(this->Verdict(fourth, 7), SuspectVerdict::kAllowed);
  EXPECT_EQ(this->Verdict(this->remote, 7), SuspectVerdict::kAllowed);
}

// A restarted router must not go on refusing what a runner has answered at another one.
TEST_F(CrashSuspectsTest, ForgetsToldQuarantinesAfterAnAnswer) {
  for (std::uint64_t crash = 0; crash < 3; ++crash) this->Crash(this->local, crash, {7});
  this->Report(this->local, this->remote);
  CrashSuspects third;
  this->Report(this->remote, third);
  this->clock.Advance(milliseconds(10));
  this->Answer(this->local, 7);
  this->Report(this->local, third);
  EXPECT_EQ(this->Verdict(third, 7), SuspectVerdict::kAllowed);
  // A router that missed the answer tells the quarantine again.
  this->Report(this->remote, third);
  EXPECT_EQ(this->Verdict(third, 7), SuspectVerdict::kAllowed);
  this->Report(third, this->remote);
  EXPECT_EQ(this->Verdict(this->remote, 7), SuspectVerdict::kAllowed);
}

// Each report arrives some time after its ages were written. In a fleet of many routers one of them
// reports every few milliseconds; a time that grew by these delays would stay recent for ever.
TEST_F(CrashSuspectsTest, DoesNotAddTheDelaysOfReports) {
  for (std::uint64_t crash = 0; crash < 3; ++crash) this->Crash(this->local, crash, {7});
  const auto last = this->clock.now();
  std::array<CrashSuspects*, 2> routers = {&this->local, &this->remote};
  while (this->clock.now() - last < seconds(5)) {
    const auto news = routers[0]->TakeNews(this->clock.now());
    this->clock.Advance(milliseconds(1));
    routers[1]->Apply(this->clock.now(), news);
    this->clock.Advance(milliseconds(2));
    std::swap(routers[0], routers[1]);
  }
  this->clock.Advance(milliseconds(10));
  EXPECT_EQ(this->Verdict(this->local, 7), SuspectVerdict::kTrial);
  EXPECT_EQ(this->Verdict(this->remote, 7), SuspectVerdict::kTrial);
}

// The quarantine is told by late reports while the request of its trial is answered. The answer is
// newer, although the told time looks later by the delay.
TEST_F(CrashSuspectsTest, EndsAQuarantineThatIsToldLate) {
  for (std::uint64_t crash = 0; crash < 3; ++crash) this->Crash(this->local, crash, {7});
  this->Report(this->local, this->remote);
  this->clock.Advance(seconds(5));
  EXPECT_TRUE(this->local.TryGrantTrial(this->clock.now(), 7));
  const auto late_news = this->local.TakeNews(this->clock.now());
  this->clock.Advance(milliseconds(20));
  this->Answer(this->local, 7);
  CrashSuspects third;
  this->clock.Advance(milliseconds(30));
  third.Apply(this->clock.now(), late_news);
  const auto acquittal = this->local.TakeNews(this->clock.now());
  for (auto* router : {&this->remote, &third}) {
    router->Apply(this->clock.now(), acquittal);
    router->Apply(this->clock.now(), late_news);
    EXPECT_EQ(this->Verdict(*router, 7), SuspectVerdict::kAllowed);
  }
}

// The coordinator may have ended a quarantine that another router still keeps, because it has seen
// no refused request since or because it knows a worse suspect. If it granted no trial, the subject
// would be refused there for as long as requests come.
TEST_F(CrashSuspectsTest, GrantsATrialOfWhatOnlyTheOtherRouterRefuses) {
  for (std::uint64_t crash = 0; crash < 3; ++crash) this->Crash(this->local, crash, {7});
  this->Report(this->local, this->remote);
  static_cast<void>(this->local.Update(this->clock.now()));
  static_cast<void>(this->remote.Update(this->clock.now()));
  this->clock.Advance(CrashSuspects::kQuarantineRetention - seconds(1));
  this->local.OnRefused(this->clock.now(), 7);
  this->clock.Advance(seconds(2));
  static_cast<void>(this->local.Update(this->clock.now()));
  static_cast<void>(this->remote.Update(this->clock.now()));
  EXPECT_EQ(this->Verdict(this->local, 7), SuspectVerdict::kTrial);
  EXPECT_EQ(this->Verdict(this->remote, 7), SuspectVerdict::kAllowed);
  EXPECT_TRUE(this->remote.TryGrantTrial(this->clock.now(), 7));
  // Two routers that ask at once still get one trial.
  this->clock.Advance(milliseconds(100));
  EXPECT_FALSE(this->remote.TryGrantTrial(this->clock.now(), 7));
}

// Routers that know a quarantine only from others must count a failed trial also if its beginning
// is told after its crash. Otherwise a request that crashes runners gets the next trial too early.
TEST_F(CrashSuspectsTest, KeepsFailedTrialsWhenTheirBeginningIsTold) {
  const SuspectNews news = {.quarantines = {{.subject = 7, .failed_trials = 1, .age = minutes(2)}}};
  this->clock.Advance(minutes(10));
  CrashSuspects third;
  for (auto* router : {&this->local, &this->remote, &third}) {
    router->Apply(this->clock.now(), news);
    static_cast<void>(router->Update(this->clock.now()));
  }
  this->clock.Advance(seconds(1));
  EXPECT_TRUE(this->local.TryGrantTrial(this->clock.now(), 7));
  const auto begun = this->local.TakeNews(this->clock.now());
  this->CrashAfter(this->remote, 9, milliseconds(20));
  this->clock.Advance(milliseconds(40));
  this->Report(this->remote, third);
  this->remote.Apply(this->clock.now(), begun);
  third.Apply(this->clock.now(), begun);
  this->clock.Advance(minutes(2));
  EXPECT_TRUE(this->IsRefused(this->remote, 7));
  EXPECT_TRUE(this->IsRefused(third, 7));
}

// A number of failed trials that overflows would make the next trial due at once.
TEST_F(CrashSuspectsTest, BoundsTheNumberOfFailedTrialsThatIsTold) {
  const SuspectNews news = {
      .quarantines = {{.subject = 7, .failed_trials = ~std::uint64_t{0}, .age = seconds(0)}}};
  this->clock.Advance(minutes(10));
  this->local.Apply(this->clock.now(), news);
  this->clock.Advance(seconds(3));
  this->Crash(this->local, 9, {7});
  this->clock.Advance(minutes(2));
  EXPECT_TRUE(this->IsRefused(this->local, 7));
}

// A suspicion must end when nothing confirms it.
TEST_F(CrashSuspectsTest, ExpiresSuspicionsAndQuarantines) {
  this->Crash(this->local, 1, {7});
  for (std::uint64_t crash = 2; crash < 5; ++crash) this->Crash(this->local, crash, {8});
  const auto begun = this->local.Update(this->clock.now());
  ASSERT_EQ(begun.size(), 1U);
  EXPECT_TRUE(begun[0].begins);
  EXPECT_EQ(begun[0].subject, 8U);
  this->clock.Advance(CrashSuspects::kRetention + seconds(1));
  EXPECT_TRUE(this->local.Update(this->clock.now()).empty());
  EXPECT_EQ(this->local.size(), 1U);
  this->local.OnRefused(this->clock.now(), 8);
  this->clock.Advance(CrashSuspects::kQuarantineRetention - seconds(1));
  EXPECT_TRUE(this->local.Update(this->clock.now()).empty());
  this->clock.Advance(seconds(2));
  const auto ended = this->local.Update(this->clock.now());
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_FALSE(ended[0].begins);
  EXPECT_TRUE(this->local.empty());
}

// Guards against a fleet that lets a request crash runners again after a loss of all routers.
TEST_F(CrashSuspectsTest, RestoresQuarantinesAndTrialsFromARecord) {
  for (const std::uint64_t crash : {1, 2, 3}) this->Crash(this->local, crash, {7});
  this->local.Update(this->clock.now());
  this->clock.Advance(seconds(5));
  ASSERT_TRUE(this->local.TryGrantTrial(this->clock.now(), 7));
  // The trial has begun, and all routers are killed before its end is known.
  const auto record = this->local.MakeRecord(this->clock.now());
  ASSERT_EQ(record.quarantines.size(), 1U);
  EXPECT_EQ(record.quarantines[0].spent_trials, 1);
  CrashSuspects started;
  started.Apply(this->clock.now(), record);
  EXPECT_TRUE(this->IsRefused(started, 7));
  this->clock.Advance(seconds(59));
  EXPECT_TRUE(this->IsRefused(started, 7));
  this->clock.Advance(seconds(1));
  EXPECT_EQ(this->Verdict(started, 7), SuspectVerdict::kTrial);
  // A second loss of all routers during the next trial.
  started.BeginTrial(this->clock.now(), 7);
  CrashSuspects again;
  again.Apply(this->clock.now(), started.MakeRecord(this->clock.now()));
  this->clock.Advance(seconds(61));
  EXPECT_TRUE(this->IsRefused(again, 7));
}

// Guards against a trial that does not count because it fails soon after the router has started.
TEST_F(CrashSuspectsTest, CountsATrialThatFailsSoonAfterTheStart) {
  this->local.Apply(this->clock.now(), {.quarantines = {{7, 0, seconds(5), 0}}});
  this->local.Update(this->clock.now());
  ASSERT_TRUE(this->local.TryGrantTrial(this->clock.now(), 7));
  this->clock.Advance(milliseconds(20));
  this->CrashAfter(this->local, 4, milliseconds(10));
  EXPECT_EQ(this->local.MakeRecord(this->clock.now()).quarantines[0].spent_trials, 1);
  this->clock.Advance(seconds(59));
  EXPECT_TRUE(this->IsRefused(this->local, 7));
  this->clock.Advance(seconds(2));
  EXPECT_EQ(this->Verdict(this->local, 7), SuspectVerdict::kTrial);
}

// Guards against a fleet that begins to count anew although one more crash would have convicted the
// subject.
TEST_F(CrashSuspectsTest, RestoresCrashesBeforeTheLastOne) {
  this->Crash(this->local, 1, {7, 8});
  this->Crash(this->local, 2, {7, 9});
  const auto record = this->local.MakeRecord(this->clock.now());
  EXPECT_EQ(record.suspicions.size(), 2U);
  this->remote.Apply(this->clock.now(), record);
  this->Crash(this->remote, 3, {7});
  EXPECT_TRUE(this->IsRefused(this->remote, 7));
}

TEST_F(CrashSuspectsTest, RecordsNothingThatWasAnswered) {
  for (const std::uint64_t crash : {1, 2, 3}) this->Crash(this->local, crash, {7});
  ASSERT_EQ(this->local.MakeRecord(this->clock.now()).quarantines.size(), 1U);
  this->Answer(this->local, 7);
  const auto record = this->local.MakeRecord(this->clock.now());
  EXPECT_TRUE(record.quarantines.empty());
  EXPECT_TRUE(record.suspicions.empty());
}

// Guards against a record that outgrows its row.
TEST_F(CrashSuspectsTest, BoundsTheRecord) {
  for (std::uint64_t subject = 1; subject <= 2 * CrashSuspects::kMaxRecordedSubjects; ++subject) {
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
      this->Crash(this->local, 10 * subject + crash, {subject});
    }
  }
  const auto record = this->local.MakeRecord(this->clock.now());
  ASSERT_EQ(record.quarantines.size(), CrashSuspects::kMaxRecordedSubjects);
  EXPECT_EQ(record.quarantines[0].subject, 2 * CrashSuspects::kMaxRecordedSubjects);
}

// Guards against a trial that the others take for one that has not begun.
TEST_F(CrashSuspectsTest, TellsATrialThatHasBegun) {
  for (const std::uint64_t crash : {1, 2, 3}) this->Crash(this->local, crash, {7});
  this->local.Update(this->clock.now());
  this->Report(this->local, this->remote);
  this->clock.Advance(seconds(5));
  this->local.BeginTrial(this->clock.now(), 7);
  this->Report(this->local, this->remote);
  EXPECT_EQ(this->remote.MakeRecord(this->clock.now()).quarantines[0].spent_trials, 1);
}

// The state and the reports must not grow with what callers send.
TEST_F(CrashSuspectsTest, IsBounded) {
  for (std::uint64_t crash = 0; crash < 40; ++crash) {
    std::vector<std::uint64_t> subjects(1000);
    for (std::size_t index = 0; index < subjects.size(); ++index) {
      subjects[index] = crash * 1000 + index;
    }
    this->local.RecordLocalCrash(this->clock.now(), crash, subjects);
  }
  EXPECT_LE(this->local.size(), 8192U);
  EXPECT_GT(this->local.dropped(), 0U);
  const auto news = this->local.TakeNews(this->clock.now());
  EXPECT_LE(news.suspicions.size() + news.acquittals.size() + news.quarantines.size(), 200U);
}

}  // namespace
}  // namespace pomelospar::dispatch
