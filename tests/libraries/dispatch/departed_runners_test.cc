#include "libraries/dispatch/departed_runners.h"

#include <gtest/gtest.h>

#include <string>

namespace pomelospar::dispatch {
namespace {

using std::chrono::seconds;

constexpr core::TimePoint kNow(std::chrono::hours(1));

RunnerRecord Record(std::string id, std::int64_t started) {
  return {.id = std::move(id), .started_unix_ms = started};
}

// Guards against a run that is used again after it has said that it leaves, and against a new run
// of the same runner that is taken for it.
TEST(DepartedRunnersTest, KnowsTheRunThatLeft) {
  DepartedRunners departed;
  RecordDeparture(departed, Record("i-1", 5), true, kNow);
  RecordDeparture(departed, Record("i-2", 5), false, kNow);
  EXPECT_FALSE(TakeDeparture(departed, Record("i-3", 5), kNow).has_value());
  const auto first = TakeDeparture(departed, Record("i-1", 5), kNow + seconds(1));
  ASSERT_TRUE(first.has_value());
  EXPECT_TRUE(first->leaving);
  EXPECT_FALSE(TakeDeparture(departed, Record("i-1", 5), kNow).has_value());
  EXPECT_FALSE(TakeDeparture(departed, Record("i-2", 6), kNow).has_value());
}

// Guards against runs that cannot be told apart and against memory that grows with each release.
TEST(DepartedRunnersTest, IsBounded) {
  DepartedRunners departed;
  RecordDeparture(departed, Record("i-0", 0), true, kNow);
  EXPECT_TRUE(departed.runs.empty());
  for (std::size_t run = 0; run < kMaxDepartures + 10; ++run) {
    RecordDeparture(departed, Record(std::to_string(run), 5), true, kNow + seconds(run) / 100);
  }
  EXPECT_EQ(departed.runs.size(), kMaxDepartures);
  EXPECT_FALSE(departed.runs.contains("0"));
  EXPECT_FALSE(
      TakeDeparture(departed, Record("100", 5), kNow + kDepartureLifetime * 2).has_value());
  RecordDeparture(departed, Record("i-1", 5), true, kNow + kDepartureLifetime * 2);
  EXPECT_EQ(departed.runs.size(), 1U);
}

}  // namespace
}  // namespace pomelospar::dispatch
