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

// A proof must not count as younger than it is, whatever the delays of the calls; otherwise a
// revoked key would be accepted for too long.
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
    clock.Record(asked, now, stamp);
    now += microseconds(*rc::gen::inRange(0, 5'000'000));
  }
  RC_ASSERT(*clock.EarliestRemote(now) <= now - offset);
  RC_ASSERT(*clock.EarliestLocal(now - offset) <= now);
}

// The bounds must not stay wrong forever after one of the clocks was set.
TEST(RemoteClockTest, FollowsAClockThatWasSet) {
  RemoteClock clock;
  EXPECT_EQ(clock.EarliestLocal(seconds(1)), std::nullopt);
  clock.Record(seconds(10), seconds(10) + milliseconds(4), seconds(100));
  clock.Record(seconds(20), seconds(20) + milliseconds(4), seconds(50));
  EXPECT_EQ(*clock.EarliestLocal(seconds(50)), seconds(20) - milliseconds(1));
  EXPECT_EQ(*clock.EarliestRemote(seconds(20) + milliseconds(4)), seconds(50));
}

// An old or missing report must not count as a proof, and a change that another router has already
// seen must be noticed.
TEST(CompareProofsTest, ComparesTimesAndContents) {
  const TableProof own = {7, seconds(5)};
  EXPECT_EQ(CompareProofs(own, TableProof{7, seconds(6)}), ProofEffect::kConfirms);
  EXPECT_EQ(CompareProofs(own, TableProof{8, seconds(6)}), ProofEffect::kOutdates);
  EXPECT_EQ(CompareProofs(own, TableProof{7, seconds(5)}), ProofEffect::kNone);
  EXPECT_EQ(CompareProofs(own, TableProof{6, seconds(4)}), ProofEffect::kNone);
  EXPECT_EQ(CompareProofs(std::nullopt, own), ProofEffect::kNone);
  EXPECT_EQ(CompareProofs(own, std::nullopt), ProofEffect::kNone);
}

// Guards against a proof that confirms content across a return of the store from an older copy:
// times and states before and after it cannot be compared.
TEST(CompareProofsTest, ALaterEpochOutdatesAndAnEarlierOneHasNoEffect) {
  const TableProof own = {7, seconds(5), 2};
  EXPECT_EQ(CompareProofs(own, TableProof{7, seconds(6), 2}), ProofEffect::kConfirms);
  EXPECT_EQ(CompareProofs(own, TableProof{7, seconds(6), 3}), ProofEffect::kOutdates);
  EXPECT_EQ(CompareProofs(own, TableProof{7, seconds(1), 3}), ProofEffect::kOutdates);
  EXPECT_EQ(CompareProofs(own, TableProof{7, seconds(6), 1}), ProofEffect::kNone);
  EXPECT_EQ(CompareProofs(own, TableProof{8, seconds(6), 1}), ProofEffect::kNone);
  EXPECT_EQ(CompareProofs(own, TableProof{7, seconds(6), std::nullopt}), ProofEffect::kNone);
  const TableProof unknown = {7, seconds(5), std::nullopt};
  EXPECT_EQ(CompareProofs(unknown, TableProof{7, seconds(6), 2}), ProofEffect::kNone);
}

// After the first router has died, the others must not all poll at once, and the last of them must
// not poll too late.
TEST(PollAgeTest, GrowsWithTheRankUpToABound) {
  const PollSchedule schedule = {.second_poll_age = milliseconds(1200), .step = milliseconds(100)};
  EXPECT_EQ(PollAge(schedule, 0), core::Duration::zero());
  EXPECT_EQ(PollAge(schedule, 1), milliseconds(1200));
  EXPECT_EQ(PollAge(schedule, 3), milliseconds(1400));
  EXPECT_EQ(PollAge(schedule, 80), milliseconds(1600));
}

// Two routers must not each leave the polling to the other, and a dead router must lose its rank.
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

// A change of any field of an entry must be noticed by the other routers.
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
