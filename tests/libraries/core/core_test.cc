#include <gtest/gtest.h>

#include <chrono>

#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/core/log.h"
#include "libraries/core/result.h"

namespace pomelospar::core {
namespace {

// Guards against an error that loses its kind or message when `BOOST_OUTCOME_TRY` returns it.
TEST(ResultTest, EarlyReturnKeepsKindAndMessage) {
  const auto fail = []() -> Result<int> {
    return MakeError(ErrorKind::kConflict, "retry with the current generation");
  };
  const auto outer = [&]() -> Result<std::string> {
    BOOST_OUTCOME_TRY(const int value, fail());
    return std::to_string(value);
  };
  const auto result = outer();
  ASSERT_TRUE(result.has_error());
  EXPECT_TRUE(Is(result.error(), ErrorKind::kConflict));
  EXPECT_EQ(result.error().message, "retry with the current generation");
}

// Guards against a test clock that moves on its own.
TEST(ManualClockTest, StandsStillUntilAdvanced) {
  ManualClock manual;
  const Clock clock = manual.clock();
  const auto start = clock.now();
  EXPECT_EQ(clock.now(), start);
  manual.Advance(std::chrono::milliseconds(3));
  EXPECT_EQ(clock.now() - start, std::chrono::milliseconds(3));
}

// Guards against identifiers that differ between builds: routers of different versions must agree.
TEST(IdentifiersTest, HashIsStable) {
  EXPECT_EQ(HashName("atlas"), 13759235592772414204ULL);
  EXPECT_NE(HashOf(ShardIdentity{UpstreamId{1}, DomainId{2}, 0}),
            HashOf(ShardIdentity{UpstreamId{1}, DomainId{2}, 1}));
}

// Guards against lines lost at shutdown and against bytes that make the line invalid JSON.
TEST(LogTest, WritesQueuedLinesBeforeDestruction) {
  testing::internal::CaptureStderr();
  {
    auto log = Log::Create(LogLevel::kInfo);
    ASSERT_TRUE(log.has_value());
    log.value()->Write(LogLevel::kDebug, "hidden");
    log.value()->Write(LogLevel::kInfo, "shown", {{"path", std::string_view("/\xff\"")}});
  }
  const auto output = testing::internal::GetCapturedStderr();
  EXPECT_EQ(output.find("hidden"), std::string::npos);
  EXPECT_NE(output.find(R"("message":"shown")"), std::string::npos);
  EXPECT_NE(output.find(R"(\")"), std::string::npos);
}

TEST(LogTest, RefusesUnknownLevelWithRemedy) {
  const auto level = ParseLogLevel("loud");
  ASSERT_TRUE(level.has_error());
  EXPECT_NE(level.error().message.find("use debug, info, warning or error"), std::string::npos);
}

}  // namespace
}  // namespace pomelospar::core
