// When the share of a workspace limits what one router sends for it.

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <limits>
#include <string>

#include "libraries/core/buffered_log.h"
#include "libraries/core/clock.h"
#include "libraries/core/milliseconds.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {
namespace {

using core::ToMilliseconds;
using std::chrono::milliseconds;

constexpr double kUnlimited = std::numeric_limits<double>::infinity();

class ShareLimitTest : public testing::Test {
 protected:
  static adapter::InstanceSettings Settings() {
    adapter::InstanceSettings settings;
    settings.share_window = std::chrono::seconds(4);
    return settings;
  }

  void Send(double tokens) {
    WindowOf(this->state, this->workspace).asked.Add(this->clock.now(), tokens);
    dispatch::RequestUse use(tokens);
    CountServed(this->state, this->workspace, use);
  }
  core::Duration Wait() { return TimeUntilAllowed(this->state, this->workspace); }

  const std::string workspace = "w";
  boost::asio::io_context io;
  core::ManualClock clock;
  core::BufferedLog log{-1, clock.clock()};
  RouterState state{io, clock.clock(), Settings(), log};
};

// Guards against a workspace that is held back for long because it used capacity that nobody else
// asked for.
TEST_F(ShareLimitTest, UseOfIdleCapacityIsNotHeldAgainstAWorkspace) {
  this->state.share_level = 100'000.0;
  EXPECT_EQ(this->Wait(), core::Duration::zero());
  this->Send(10'000.0);
  this->state.share_level = kUnlimited;
  for (int step = 0; step < 100; ++step) {
    this->clock.Advance(milliseconds(100));
    EXPECT_EQ(this->Wait(), core::Duration::zero());
    this->Send(50'000.0);
  }
  this->state.share_level = 100'000.0;
  // What it was sent in the last window, at 1.5 times the level in each window.
  const double windows =
      WindowOf(this->state, this->workspace).served.Sum(this->clock.now()) / 150'000.0;
  EXPECT_LE(this->Wait(), ShareWindow(this->state) * windows);
}

// What a workspace was sent in the window before there was a level is a part of its share.
TEST_F(ShareLimitTest, ABurstBeforeThereIsALevelCounts) {
  this->state.share_level = kUnlimited;
  this->Send(900'000.0);
  this->state.share_level = 100'000.0;
  // 1.5 times the level is sent in each window.
  EXPECT_NEAR(ToMilliseconds(this->Wait()), 5.0 * ToMilliseconds(ShareWindow(this->state)), 1.0);
}

}  // namespace
}  // namespace pomelospar::edge
