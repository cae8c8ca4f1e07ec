#include "libraries/dispatch/entry_rate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{50};

struct Outcome {
  double accepted = 0.0;
  double refused = 0.0;
  double longest_wait_s = 0.0;
};

class EntryRateTest : public testing::Test {
 protected:
  /// A router that serves `capacity` connections a second in order of arrival and is offered
  /// `offered`, for some seconds. Returns what happened after the first second.
  Outcome Play(double offered, double capacity, seconds length) {
    Outcome outcome;
    double accepted = 0.0;
    double unaccepted = 0.0;
    const auto begin = this->clock.now();
    while (this->clock.now() < begin + length) {
      this->clock.Advance(kTick);
      const double tick_s = std::chrono::duration<double>(kTick).count();
      accepted = std::max(accepted - capacity * tick_s, 0.0);
      const auto turn = std::chrono::duration_cast<core::Duration>(
          std::chrono::duration<double>(accepted / capacity));
      this->entry.OnTurn(this->clock.now(), turn);
      // Without a limit, connections are not accepted while accepted work is late.
      const bool is_paused = !this->entry.is_limited() && turn > kTick;
      const bool counts = this->clock.now() - begin > seconds(1);
      unaccepted += offered * tick_s;
      while (unaccepted >= 1.0 && !is_paused && this->entry.MayAccept()) {
        this->entry.OnAccepted();
        unaccepted -= 1.0;
        accepted += 1.0;
        if (counts) outcome.accepted += 1.0;
      }
      if (this->entry.is_limited()) {
        if (counts) outcome.refused += unaccepted;
        unaccepted = 0.0;
      }
      if (counts) {
        outcome.longest_wait_s =
            std::max(outcome.longest_wait_s, (accepted + unaccepted) / capacity);
      }
    }
    return outcome;
  }

  core::ManualClock clock;
  EntryRate entry;
};

// Guards against callers that wait until they give up at a router that one of them floods. The
// processor must stay busy meanwhile.
TEST_F(EntryRateTest, ServesWhatItCanAndRefusesTheRestOfAFlood) {
  const auto outcome = this->Play(1300.0, 150.0, seconds(10));
  EXPECT_TRUE(this->entry.is_limited());
  EXPECT_GT(outcome.accepted, 0.8 * 150.0 * 9);
  EXPECT_LT(outcome.longest_wait_s, 0.35);
}

// A load that is a little too large must be refused a little only.
TEST_F(EntryRateTest, RefusesLittleOfALoadThatIsALittleTooLarge) {
  const auto outcome = this->Play(220.0, 200.0, seconds(20));
  EXPECT_GT(outcome.accepted, 0.8 * 200.0 * 19);
  EXPECT_LT(outcome.longest_wait_s, 0.35);
}

TEST_F(EntryRateTest, LimitsNothingWithoutOverload) {
  const auto outcome = this->Play(100.0, 150.0, seconds(10));
  EXPECT_FALSE(this->entry.is_limited());
  EXPECT_EQ(outcome.refused, 0.0);
}

// The end of a flood must lift the limit.
TEST_F(EntryRateTest, LiftsTheLimitAfterAFlood) {
  this->Play(1300.0, 150.0, seconds(5));
  this->Play(20.0, 150.0, seconds(3));
  EXPECT_FALSE(this->entry.is_limited());
}

// A router whose turns are long for a reason other than its connections must not refuse all of
// them.
TEST_F(EntryRateTest, AcceptsSomeConnectionsHoweverLongTheTurnsAre) {
  int accepted = 0;
  for (int tick = 0; tick < 200; ++tick) {
    this->clock.Advance(kTick);
    this->entry.OnTurn(this->clock.now(), seconds(1));
    for (int connection = 0; connection < 50 && this->entry.MayAccept(); ++connection) {
      this->entry.OnAccepted();
      ++accepted;
    }
  }
  EXPECT_GE(accepted, 150);
}

}  // namespace
}  // namespace pomelospar::dispatch
