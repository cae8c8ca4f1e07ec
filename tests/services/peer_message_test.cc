#include "services/pomelospar_edge/peer_message.h"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "libraries/dispatch/cold_runners.h"
#include "libraries/dispatch/crash_suspects.h"
#include "libraries/dispatch/evacuations.h"
#include "tests/services/sample_report.h"

namespace pomelospar::edge {
namespace {

TEST(PeerMessageTest, VerifiesReportSignedWithTheSameKey) {
  const auto verified = DecodeSignedReport(EncodeSignedReport(Report(), Key()), Key());
  ASSERT_TRUE(verified.has_value());
  EXPECT_EQ(verified.value().sender, "10.0.0.1");
  EXPECT_DOUBLE_EQ(verified.value().runners.at(11).memory_tokens, 5000.0);
  EXPECT_DOUBLE_EQ(verified.value().workspaces.at(5).served, 4.0);
  ASSERT_EQ(verified.value().sent_prefixes.size(), 1U);
  EXPECT_EQ(verified.value().sent_prefixes[0].parts.at(0).id, 0x5c1e07a2U);
  EXPECT_FALSE(verified.value().policy.has_value());
}

TEST(PeerMessageTest, CarriesProposalsAndReplies) {
  auto report = Report();
  report.is_partial = true;
  report.proposal = dispatch::PlacementProposal{.id = 9,
                                                .engine = 11,
                                                .prefill_tokens = 700.0,
                                                .max_prefill_tokens = 1500.0,
                                                .max_active = 27.2};
  report.reply = dispatch::PlacementReply{
      .id = 8, .is_accepted = true, .others = {.prefill_tokens = 40.0, .active = 3.0}};
  const auto verified = DecodeSignedReport(EncodeSignedReport(report, Key()), Key());
  ASSERT_TRUE(verified.has_value());
  const auto& decoded = verified.value();
  EXPECT_TRUE(decoded.is_partial);
  EXPECT_EQ(decoded.proposal->id, 9U);
  EXPECT_EQ(decoded.proposal->engine, 11U);
  EXPECT_DOUBLE_EQ(decoded.proposal->prefill_tokens, 700.0);
  EXPECT_DOUBLE_EQ(decoded.proposal->max_prefill_tokens, 1500.0);
  // Rounded up: 27 running requests are below the limit.
  EXPECT_DOUBLE_EQ(decoded.proposal->max_active, 28.0);
  EXPECT_EQ(decoded.reply->id, 8U);
  EXPECT_TRUE(decoded.reply->is_accepted);
  EXPECT_DOUBLE_EQ(decoded.reply->others.active, 3.0);
}

TEST(PeerMessageTest, CarriesSuspectsAndLeavingRunners) {
  using std::chrono::milliseconds;
  auto report = Report();
  report.suspects.suspicions = {{.subject = 1, .crash = 2, .age = milliseconds(30)}};
  // A negative age would be a later time than now; a huge one would overflow.
  report.suspects.acquittals = {{3, milliseconds(-5)}, {3, std::chrono::hours(1'000)}};
  report.suspects.quarantines = {{.subject = 4, .failed_trials = 1, .age = milliseconds(700)}};
  report.leaving_runners = {{.runner = 11, .started_unix_ms = 1'700'000'000'000}};
  const auto verified = DecodeSignedReport(EncodeSignedReport(report, Key()), Key());
  ASSERT_TRUE(verified.has_value());
  const auto& suspects = verified.value().suspects;
  ASSERT_EQ(suspects.suspicions.size(), 1U);
  EXPECT_EQ(suspects.suspicions[0].crash, 2U);
  EXPECT_EQ(suspects.suspicions[0].age, milliseconds(30));
  ASSERT_EQ(suspects.acquittals.size(), 2U);
  EXPECT_EQ(suspects.acquittals[0].age, milliseconds(0));
  EXPECT_EQ(suspects.acquittals[1].age, std::chrono::hours(24));
  ASSERT_EQ(suspects.quarantines.size(), 1U);
  EXPECT_EQ(suspects.quarantines[0].failed_trials, 1U);
  EXPECT_EQ(suspects.quarantines[0].age, milliseconds(700));
  ASSERT_EQ(verified.value().leaving_runners.size(), 1U);
  EXPECT_EQ(verified.value().leaving_runners[0].runner, 11U);
  EXPECT_EQ(verified.value().leaving_runners[0].started_unix_ms, 1'700'000'000'000);
}

// Guards against a report that is cut off by its receivers after many crashes, which then know none
// of its content. Their buffer has 16 KB.
TEST(PeerMessageTest, FitsIntoOneDatagramAfterManyCrashes) {
  dispatch::CrashSuspects suspects;
  const core::TimePoint now(std::chrono::hours(1));
  for (std::uint64_t crash = 0; crash < 10; ++crash) {
    std::vector<std::uint64_t> subjects;
    for (std::uint64_t index = 0; index < 300; ++index) subjects.push_back(~(crash * 300 + index));
    suspects.RecordLocalCrash(now, ~crash, subjects);
  }
  auto report = Report();
  report.suspects = suspects.TakeNews(now);
  // A report to other failure domains has the suspicions of two.
  const auto more = suspects.TakeNews(now).suspicions;
  report.suspects.suspicions.insert(report.suspects.suspicions.end(), more.begin(), more.end());
  for (std::uint64_t key = 0; key < 100; ++key) {
    report.runners[~key] = {.prefill_tokens = 1e6, .active = 100.0, .memory_tokens = 1e6};
    report.workspaces[~key] = {.asked = 1e7, .forecast = 1e7, .served = 1e7};
  }
  EXPECT_LT(EncodeSignedReport(report, Key()).size(), 16'384U);
}

// Guards against reports that no router can read because a faulty writer put many rows with long
// names into the operator's table.
TEST(PeerMessageTest, FitsIntoOneDatagramWithManyEvacuationsAndColdRunners) {
  std::vector<dispatch::EvacuationRow> rows;
  for (std::size_t row = 0; row < dispatch::kMaxEvacuatedDomains; ++row) {
    rows.push_back({std::to_string(row) + std::string(dispatch::kMaxDomainNameBytes - 2, 'x')});
  }
  auto report = Report();
  report.evacuations = dispatch::AfterRows({}, rows, true, {1, 1'000'000});
  for (std::uint64_t key = 0; key < 120; ++key) {
    report.runners[~key] = {.prefill_tokens = 1e6, .active = 100.0, .memory_tokens = 1e6};
    report.cold_runners.push_back({{~key, 1'700'000'000'000}, dispatch::kLongestColdTime});
  }
  EXPECT_LT(EncodeSignedReport(report, Key()).size(), 16'384U);
  EXPECT_FALSE(report.evacuations->domains.empty());
}

// Guards against a proof for a later time than its sender knows: messages carry whole milliseconds,
// so the time must be rounded down.
TEST(PeerMessageTest, RoundsTheTimesOfProofsDown) {
  auto report = Report();
  report.domain = "a";
  report.policy = dispatch::TableProof{5, std::chrono::microseconds(7999)};
  report.directory = dispatch::TableProof{~0ULL, std::chrono::microseconds(-1)};
  report.store_regained_at = std::chrono::microseconds(2500);
  const auto verified = DecodeSignedReport(EncodeSignedReport(report, Key()), Key());
  ASSERT_TRUE(verified.has_value());
  EXPECT_EQ(verified.value().domain, "a");
  EXPECT_EQ(verified.value().store_regained_at, std::chrono::milliseconds(2));
  EXPECT_EQ(verified.value().policy->state, 5U);
  EXPECT_EQ(verified.value().policy->at, std::chrono::milliseconds(7));
  EXPECT_EQ(verified.value().directory->state, ~0ULL);
  EXPECT_EQ(verified.value().directory->at, std::chrono::milliseconds(-1));
}

// Guards against proofs and evacuations that are compared across a return of the store from an
// older copy because their epoch got lost on the way.
TEST(PeerMessageTest, CarriesTheEpochOfTheStore) {
  auto report = Report();
  report.policy = dispatch::TableProof{5, std::chrono::milliseconds(7), 0};
  report.directory = dispatch::TableProof{6, std::chrono::milliseconds(8), ~0ULL};
  report.evacuations = dispatch::Evacuations{.position = {3, 40}};
  report.policy_version = 17;
  auto verified = DecodeSignedReport(EncodeSignedReport(report, Key()), Key());
  ASSERT_TRUE(verified.has_value());
  EXPECT_EQ(verified.value().policy_version, 17U);
  EXPECT_EQ(verified.value().policy->epoch, 0U);
  EXPECT_EQ(verified.value().directory->epoch, ~0ULL);
  EXPECT_EQ(verified.value().evacuations->position, (dispatch::StorePosition{3, 40}));
  report.policy->epoch.reset();
  report.evacuations->position.epoch.reset();
  verified = DecodeSignedReport(EncodeSignedReport(report, Key()), Key());
  ASSERT_TRUE(verified.has_value());
  EXPECT_EQ(verified.value().policy->epoch, std::nullopt);
  EXPECT_EQ(verified.value().evacuations->position.epoch, std::nullopt);
}

// Guards against a removed entry that is decoded as an existing one, or the other way round.
TEST(PeerMessageTest, CarriesStepsOfTheDirectory) {
  auto report = Report();
  const dispatch::RunnerRecord record = {.id = "i-1",
                                         .upstream = "pool",
                                         .address = "10.1.0.1:80",
                                         .domain = "a",
                                         .slots = 12,
                                         .draining = true,
                                         .started_unix_ms = 1700000000123};
  report.directory_changes.push_back(
      {.before = 1, .after = ~0ULL, .entries = {{.id = "i-1", .record = record}, {.id = "i-2"}}});
  const auto verified = DecodeSignedReport(EncodeSignedReport(report, Key()), Key());
  ASSERT_TRUE(verified.has_value());
  ASSERT_EQ(verified.value().directory_changes.size(), 1U);
  const auto& change = verified.value().directory_changes[0];
  EXPECT_EQ(change.before, 1U);
  EXPECT_EQ(change.after, ~0ULL);
  ASSERT_EQ(change.entries.size(), 2U);
  EXPECT_EQ(change.entries[0].record, record);
  EXPECT_EQ(change.entries[1].id, "i-2");
  EXPECT_FALSE(change.entries[1].record.has_value());
}

// This test and the next two guard against reports of another fleet, and against changed or random
// datagrams that are taken as reports.
TEST(PeerMessageTest, RefusesAnotherKey) {
  EXPECT_FALSE(DecodeSignedReport(EncodeSignedReport(Report(), Key()), Key('o')).has_value());
}

RC_GTEST_PROP(PeerMessageTest, RefusesChangedBytes, ()) {
  auto datagram = EncodeSignedReport(Report(), Key());
  const auto position = *rc::gen::inRange<std::size_t>(0, datagram.size());
  const auto bit = *rc::gen::inRange(0, 8);
  datagram[position] = static_cast<char>(datagram[position] ^ (1 << bit));
  RC_ASSERT(!DecodeSignedReport(datagram, Key()).has_value());
}

RC_GTEST_PROP(PeerMessageTest, RejectsBytesOfAnyContent, (const std::string& bytes)) {
  const auto verified = DecodeSignedReport(bytes, Key());
  RC_ASSERT(!verified.has_value());
}

}  // namespace
}  // namespace pomelospar::edge
