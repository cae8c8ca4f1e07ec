#include "libraries/dispatch/table_proof.h"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include "libraries/dispatch/peer_view.h"
#include "libraries/dispatch/remote_clock.h"
#include "libraries/dispatch/runner.h"

namespace pomelospar::dispatch {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a proof that counts as younger than it is, whatever the delays of the calls, so
// that a key that was taken away would be accepted for too long.
RC_GTEST_PROP(RemoteClockTest, NeverMakesAProofYounger, ()) {
  const auto offset = microseconds(*rc::gen::inRange<std::int64_t>(-5'000'000'000, 5'000'000'000));
  RemoteClock clock;
  core::Duration now = seconds(10);
  const int calls = *rc::gen::inRange(1, 8);
  for (int call = 0; call < calls; ++call) {
    const auto asked = now;
    now += microseconds(*rc::gen::inRange(0, 900'000));
    const auto stamp = std::chrono::floor<milliseconds>(now - offset);
    now += microseconds(*rc::gen::inRange(0, 900'000));
    clock.Note(asked, now, stamp);
    now += microseconds(*rc::gen::inRange(0, 5'000'000));
  }
  RC_ASSERT(*clock.EarliestRemote(now) <= now - offset);
  RC_ASSERT(*clock.EarliestLocal(now - offset) <= now);
}

// Guards against bounds that stay wrong for ever after one of the clocks was set.
TEST(RemoteClockTest, FollowsAClockThatWasSet) {
  RemoteClock clock;
  EXPECT_EQ(clock.EarliestLocal(seconds(1)), std::nullopt);
  clock.Note(seconds(10), seconds(10) + milliseconds(4), seconds(100));
  clock.Note(seconds(20), seconds(20) + milliseconds(4), seconds(50));
  EXPECT_EQ(*clock.EarliestLocal(seconds(50)), seconds(20) - milliseconds(1));
  EXPECT_EQ(*clock.EarliestRemote(seconds(20) + milliseconds(4)), seconds(50));
}

// Guards against an old or missing report that counts as a proof, and against a change that another
// router has seen and that this one waits for.
TEST(JudgeTest, ComparesTimesAndContents) {
  const TableProof own = {7, seconds(5)};
  EXPECT_EQ(Judge(own, TableProof{7, seconds(6)}), ProofEffect::kConfirms);
  EXPECT_EQ(Judge(own, TableProof{8, seconds(6)}), ProofEffect::kOutdates);
  EXPECT_EQ(Judge(own, TableProof{7, seconds(5)}), ProofEffect::kNone);
  EXPECT_EQ(Judge(own, TableProof{6, seconds(4)}), ProofEffect::kNone);
  EXPECT_EQ(Judge(std::nullopt, own), ProofEffect::kNone);
  EXPECT_EQ(Judge(own, std::nullopt), ProofEffect::kNone);
}

// Guards against a fleet in which all routers ask at once after the first has died, and against one
// whose last routers ask too late.
TEST(AskAgeTest, GrowsWithTheRankUpToABound) {
  const AskSchedule schedule = {.longest_age = milliseconds(1200), .step = milliseconds(100)};
  EXPECT_EQ(AskAge(schedule, 0), core::Duration::zero());
  EXPECT_EQ(AskAge(schedule, 1), milliseconds(1200));
  EXPECT_EQ(AskAge(schedule, 3), milliseconds(1400));
  EXPECT_EQ(AskAge(schedule, 80), milliseconds(1600));
}

// Guards against two routers that both leave the calls to the other, and against a dead one that
// keeps its place.
TEST(PeerViewTest, RanksLiveRoutersOfADomain) {
  PeerView view;
  const core::TimePoint start(seconds(1));
  view.Apply({.sender = "10.0.0.1", .domain = "a"}, start);
  view.Apply({.sender = "10.0.0.2", .domain = "b"}, start + seconds(3));
  EXPECT_EQ(view.RankOf("10.0.0.3", ""), 2U);
  EXPECT_EQ(view.RankOf("10.0.0.3", "b"), 1U);
  EXPECT_EQ(view.RankOf("10.0.0.1", ""), 0U);
  view.Expire(start + seconds(4), seconds(2));
  EXPECT_EQ(view.RankOf("10.0.0.3", ""), 1U);
  EXPECT_EQ(view.RankOf("10.0.0.2", ""), 0U);
}

// Guards against a change of an entry that the other routers do not notice.
TEST(RunnerHashTest, ChangesWithEachField) {
  const RunnerRecord record = {"i-1", "pool", "10.0.0.1:80", "a", 8, false, 5};
  EXPECT_EQ(HashOf(record), HashOf(RunnerRecord(record)));
  auto draining = record;
  draining.draining = true;
  auto restarted = record;
  restarted.started_unix_ms = 6;
  auto moved = record;
  moved.address = "10.0.0.1:81";
  EXPECT_NE(HashOf(record), HashOf(draining));
  EXPECT_NE(HashOf(record), HashOf(restarted));
  EXPECT_NE(HashOf(record), HashOf(moved));
}

}  // namespace
}  // namespace pomelospar::dispatch
