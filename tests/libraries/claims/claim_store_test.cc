#include "libraries/claims/claim_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <map>
#include <utility>

#include "tests/libraries/claims/claim_simulation.h"

namespace pomelospar::claims {
namespace {

// Guards against sending a request twice (such as a booking), against reporting "not run" for a
// request that was or may still be sent, against running two bodies with one key, and against keys
// that stay blocked after an outage. The causes are paused routers, lost responses and late writes.
RC_GTEST_PROP(ClaimStoreProperty, AtMostOneSendForEachKey, ()) {
  SimulationSettings settings;
  settings.seed = *rc::gen::arbitrary<std::uint64_t>();
  settings.routers = *rc::gen::inRange(1U, 4U);
  settings.keys = *rc::gen::inRange(1U, 4U);
  settings.callers = *rc::gen::inRange(1U, 10U);
  settings.fault_percent = *rc::gen::element(0U, 40U, 80U);
  settings.pause_percent = *rc::gen::element(0U, 5U, 20U);
  // Each setting runs with ten seeds because a single run rarely reaches the rare interleavings.
  for (unsigned history = 0; history < 10; ++history) {
    settings.seed += 1;
    ClaimSimulation simulation(settings);
    simulation.Run();
    RC_ASSERT(simulation.violations == std::vector<std::string>());
  }
}

/// A platform whose calls are answered only when the test calls `CommitAll`.
struct ManualPlatform {
  /// Number of transactions in each call.
  std::vector<std::size_t> calls;
  std::vector<platform::Transaction> last;
  platform::Callback<std::vector<platform::TransactionResult>> callback;

  platform::PlatformClient Client() {
    platform::PlatformClient client;
    client.commit = [this](auto transactions, auto done) {
      this->calls.push_back(transactions.size());
      this->last = std::move(transactions);
      this->callback = std::move(done);
    };
    return client;
  }
  void CommitAll() {
    std::vector<platform::TransactionResult> results;
    for (const auto& transaction : this->last) {
      const auto& write = transaction.writes.front();
      results.push_back({true, {{write.key, write.value, *write.expected_version + 1}}});
    }
    std::exchange(this->callback, nullptr)(results);
  }
};

// Guards against one call per claim, which exceeds the few hundred writes per second that the
// platform sustains, and against an unbounded number of pending claims while the platform is slow.
TEST(ClaimStoreTest, GroupsClaimsAndBoundsThem) {
  ManualPlatform platform;
  ClaimStore store({.maximum_batch = 8, .maximum_pending = 20}, platform.Client());
  core::ManualClock clock;
  std::map<ClaimVerdict, unsigned> verdicts;
  const std::function<void(unsigned)> begin = [&](unsigned key) {
    store.Begin(clock.now(), "atlas", std::to_string(key), "hash",
                [&, key](const BeginResult& result) {
                  verdicts[result.verdict] += 1;
                  // A `Begin` in a callback must not send the claims of the same batch again.
                  if (key == 0) {
                    begin(100);
                  }
                });
  };
  begin(0);
  begin(1);
  store.Tick(clock.now());
  EXPECT_TRUE(platform.calls.empty());
  clock.Advance(std::chrono::milliseconds(5));
  store.Tick(clock.now());
  EXPECT_EQ(platform.calls, (std::vector<std::size_t>{2}));
  for (unsigned key = 2; key < 30; ++key) {
    begin(key);
  }
  EXPECT_EQ(platform.calls.size(), 1U) << "a second call was made while one was in flight";
  EXPECT_EQ(verdicts[ClaimVerdict::kUnavailable], 10U);
  while (platform.callback) {
    platform.CommitAll();
    clock.Advance(std::chrono::milliseconds(5));
    store.Tick(clock.now());
  }
  EXPECT_EQ(platform.calls, (std::vector<std::size_t>{2, 8, 8, 3}));
  EXPECT_EQ(verdicts[ClaimVerdict::kProceed], 21U);
  EXPECT_EQ(store.pending(), 0U);
}

// Guards against two workspaces whose claims share a row because the row key is ambiguous, and
// against keys that the platform or a log cannot represent.
TEST(ClaimRowTest, KeysAreBoundedAndUnambiguous) {
  EXPECT_NE(ClaimRowKey("a/b", "c").value(), ClaimRowKey("a", "b/c").value());
  EXPECT_TRUE(ClaimRowKey("a", std::string(255, 'k')).has_value());
  EXPECT_TRUE(ClaimRowKey("a", std::string(256, 'k')).has_error());
  EXPECT_TRUE(ClaimRowKey("a", "").has_error());
  EXPECT_TRUE(ClaimRowKey("a", "line\nbreak").has_error());
}

// Guards against a replayed answer that differs from the first one in any byte, and against sending
// a request because its row is damaged or was written by a later version of the program.
RC_GTEST_PROP(ClaimRowProperty, KeepsAnyAnswer,
              (std::string name, std::string value, std::string body)) {
  const ClaimRow row{"1-1", "hash", ClaimState::kAnswered,
                     RecordedAnswer{201, {{name, value}}, std::move(body)}};
  const auto text = EncodeClaimRow(row);
  const auto decoded = DecodeClaimRow(text);
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded.value().answer == row.answer);
  const auto cut = *rc::gen::inRange<std::size_t>(0, text.size());
  RC_ASSERT(DecodeClaimRow(text.substr(0, cut)).has_error());
  const auto newer = DecodeClaimRow(R"({"attempt":"a","body_hash":"b","state":"paused"})");
  RC_ASSERT(newer.value().state == ClaimState::kUnknown);
}

}  // namespace
}  // namespace pomelospar::claims
