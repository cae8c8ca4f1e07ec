#include "libraries/http/connection_replacement.h"

#include <gtest/gtest.h>

namespace pomelospar::http {
namespace {

using Kind = ReplacementRank::Kind;
using Stage = ConnectionStage;
using std::chrono::milliseconds;

constexpr core::Duration kGrace = milliseconds(1000);
const core::TimePoint kNow{std::chrono::hours(1)};

std::optional<ReplacementRank> Rank(Stage stage, bool served, int stage_age_ms, int input_age_ms) {
  return RankForReplacement(kNow, kGrace,
                            {.stage = stage,
                             .served_a_request = served,
                             .since = kNow - milliseconds(stage_age_ms),
                             .last_input = kNow - milliseconds(input_age_ms)});
}

// Guards against closing a connection whose request is on its way while others have been idle for
// seconds.
TEST(ConnectionReplacementTest, NewConnectionsAndRequestsKeepTheirPlace) {
  EXPECT_FALSE(Rank(Stage::kWaiting, false, 999, 999));
  EXPECT_FALSE(Rank(Stage::kReading, false, 999, 999));
  EXPECT_FALSE(Rank(Stage::kReading, true, 0, 0));
  EXPECT_FALSE(Rank(Stage::kDraining, false, 99, 99));
  EXPECT_FALSE(Rank(Stage::kDraining, false, 5000, 50));
  EXPECT_TRUE(Rank(Stage::kWaiting, true, 0, 0));
  for (const auto stage : {Stage::kBusy, Stage::kServing}) {
    EXPECT_FALSE(Rank(stage, true, 9000, 9000));
  }
}

// Guards against a crowd that sends nothing, or stops in the middle, and takes the places of
// callers that reuse their connections.
TEST(ConnectionReplacementTest, CrowdsGiveWayBeforeReusedConnections) {
  const auto drained = Rank(Stage::kDraining, false, 100, 100);
  const auto silent = Rank(Stage::kWaiting, false, 1000, 1000);
  const auto stalled = Rank(Stage::kReading, false, 1500, 1000);
  const auto idle = Rank(Stage::kWaiting, true, 9000, 9000);
  const auto less_idle = Rank(Stage::kWaiting, true, 10, 10);
  const auto slow = Rank(Stage::kReading, false, 9000, 999);
  ASSERT_TRUE(drained && silent && stalled && idle && less_idle && slow);
  EXPECT_EQ(slow->kind, Kind::kSlow);
  EXPECT_LT(*drained, *silent);
  EXPECT_LT(*silent, *stalled);
  EXPECT_LT(*stalled, *idle);
  EXPECT_LT(*idle, *less_idle);
  EXPECT_LT(*less_idle, *slow);
}

}  // namespace
}  // namespace pomelospar::http
