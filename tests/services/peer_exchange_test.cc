#include "services/pomelospar_edge/peer_exchange.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libraries/http/byte_stream.h"
#include "services/pomelospar_edge/crash_probe.h"
#include "services/pomelospar_edge/crash_trials.h"
#include "services/pomelospar_edge/engine_coordinator.h"
#include "services/pomelospar_edge/peer_message.h"
#include "services/pomelospar_edge/router_state.h"
#include "tests/services/sample_report.h"

namespace pomelospar::edge {
namespace {

/// The state of a router in the failure domain "a", with a clock that the test advances.
class RouterTest : public testing::Test {
 protected:
  RouterTest() : log(-1, clock.clock()), state(io, clock.clock(), Settings(), log) {}

  static adapter::InstanceSettings Settings() {
    adapter::InstanceSettings settings;
    settings.ip = "127.0.0.1";
    settings.domain = "a";
    return settings;
  }

  core::ManualClock clock;
  boost::asio::io_context io;
  core::BufferedLog log;
  RouterState state;
};

using PeerExchangeTest = RouterTest;
using EngineCoordinatorTest = RouterTest;
using ConfirmTrialsTest = RouterTest;

// Guards against a failure domain whose cold runners get nothing, because more than half of the
// listed routers ended without removing their rows.
TEST_F(PeerExchangeTest, FindsListedRoutersThatAreSilent) {
  auto created = PeerExchange::Create(this->state);
  ASSERT_TRUE(created.has_value());
  auto& peers = *created.value();
  const auto limit = std::chrono::seconds(60);
  peers.SetPeer("127.0.0.2", "127.0.0.2:7000", "a", 5);
  EXPECT_EQ(peers.ListedInDomain(), 2U);
  this->clock.Advance(limit);
  // Reading the same row again is no sign of life.
  peers.SetPeer("127.0.0.2", "127.0.0.2:7000", "a", 5);
  ASSERT_EQ(peers.SilentListedPeers(limit).size(), 1U);
  EXPECT_EQ(peers.SilentListedPeers(limit)[0].row_version, 5U);
  peers.SetPeer("127.0.0.2", "127.0.0.2:7000", "a", 6);
  EXPECT_TRUE(peers.SilentListedPeers(limit).empty());
  peers.RemovePeersExcept({});
  EXPECT_EQ(peers.ListedInDomain(), 1U);
}

// While a router is busy, an iteration of its event loop takes so long that many reports arrive.
// Guards against a reply or news of a draining runner that waits behind them for as many
// iterations.
TEST_F(PeerExchangeTest, ReadsAllQueuedDatagramsInOneTurn) {
  constexpr std::size_t kReports = 100;
  auto exchange = std::move(PeerExchange::Create(this->state).value());
  exchange->SetKey(std::string(wire::kMinimumSecretBytes, 'k'));
  exchange->Start();
  this->io.poll();
  const auto address = http::ParseEndpoint(exchange->address()).value();
  const boost::asio::ip::udp::endpoint target(address.address(), address.port());
  boost::asio::ip::udp::socket sender(this->io, boost::asio::ip::udp::v4());
  for (std::size_t report = 0; report < kReports; ++report) {
    auto content = Report();
    content.sender = "10.0.0." + std::to_string(report);
    sender.send_to(boost::asio::buffer(EncodeSignedReport(content, Key())), target);
  }
  while (this->state.peers.size() == 0) this->io.run_one();
  EXPECT_EQ(this->state.peers.size(), kReports);
}

// Guards against several routers that each take themselves for the only one of their failure domain
// and grant starts, because the store did not answer the reads of the routers' rows.
TEST_F(EngineCoordinatorTest, GrantsColdStartsOnlyAfterReadingTheRouters) {
  auto exchange = std::move(PeerExchange::Create(this->state).value());
  const EngineCoordinator coordinator(this->state, *exchange);
  auto policy = std::make_shared<dispatch::Policy>();
  policy->upstreams["desk"].cold_starts_per_second = 10.0;
  this->state.policy = policy;
  auto runner = std::make_shared<Runner>(this->state.prefix_index);
  runner->record = {.id = "i-1", .upstream = "desk", .domain = "a"};
  const auto is_granted = [&] {
    bool granted = false;
    boost::asio::co_spawn(this->io, this->state.confirm_cold_start(runner, {}),
                          [&](const std::exception_ptr&, bool result) { granted = result; });
    this->io.restart();
    this->io.poll();
    return granted;
  };
  this->clock.Advance(std::chrono::seconds(10));
  EXPECT_FALSE(is_granted());
  exchange->SetKey(std::string(wire::kMinimumSecretBytes, 'k'));
  EXPECT_TRUE(is_granted());
}

// Guards against two trials of a part at the same time: another request with it may get its trial
// while this one still asks for that of another part.
TEST_F(ConfirmTrialsTest, RefusesWhatIsRefusedMeanwhile) {
  const std::vector<std::uint64_t> subjects = {1, 2};
  for (std::uint64_t crash = 0; crash < 3; ++crash) {
    this->clock.Advance(std::chrono::seconds(1));
    this->state.suspects.RecordLocalCrash(this->clock.now(), crash, subjects);
  }
  this->clock.Advance(std::chrono::seconds(6));
  const auto confirm = [&] {
    bool granted = false;
    boost::asio::co_spawn(this->io, ConfirmTrials(this->state, subjects, "r-1"),
                          [&](const std::exception_ptr&, bool result) { granted = result; });
    this->io.restart();
    this->io.poll();
    return granted;
  };
  this->state.confirm_crash_trial = [&](std::uint64_t) -> boost::asio::awaitable<bool> {
    this->state.suspects.BeginTrial(this->clock.now(), 1);
    this->state.suspects.BeginTrial(this->clock.now(), 2);
    co_return true;
  };
  EXPECT_FALSE(confirm());
  this->clock.Advance(std::chrono::seconds(6));
  this->state.confirm_crash_trial = [&](std::uint64_t subject) -> boost::asio::awaitable<bool> {
    co_return this->state.suspects.TryGrantTrial(this->clock.now(), subject);
  };
  EXPECT_TRUE(confirm());
}

// Guards against a request that waits without end at a runner that breaks connections all the time:
// each of them begins another probe.
TEST(AwaitProbeTest, DoesNotWaitForLaterProbes) {
  boost::asio::io_context io;
  const core::Clock clock;
  core::BufferedLog log(-1, clock);
  RouterState state(io, clock, {}, log);
  state.interrupted_requests.try_emplace(1);
  bool is_done = false;
  boost::asio::co_spawn(io, AwaitProbe(state, 1),
                        [&](const std::exception_ptr&) { is_done = true; });
  io.run_for(2 * (kCrashProbeDelay + kCrashProbeTimeout));
  EXPECT_TRUE(is_done);
}

}  // namespace
}  // namespace pomelospar::edge
