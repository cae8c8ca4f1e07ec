#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <exception>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libraries/dispatch/cold_runners.h"
#include "libraries/dispatch/evacuations.h"
#include "libraries/http/byte_stream.h"
#include "libraries/wire/fleet_keys.h"
#include "services/pomelospar_edge/crash_probe.h"
#include "services/pomelospar_edge/crash_trials.h"
#include "services/pomelospar_edge/engine_coordinator.h"
#include "services/pomelospar_edge/event_splitter.h"
#include "services/pomelospar_edge/held_bytes.h"
#include "services/pomelospar_edge/peer_exchange.h"
#include "services/pomelospar_edge/peer_message.h"
#include "services/pomelospar_edge/response_match.h"
#include "services/pomelospar_edge/router_row.h"
#include "services/pomelospar_edge/router_state.h"
#include "services/pomelospar_edge/wait_queue.h"

namespace pomelospar::edge {
namespace {

// Guards against an incomplete event that is sent to the caller: after it, a broken stream could
// not be resumed at another runner.
TEST(EventSplitterTest, ReturnsWholeEventsOnly) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Append("id: 1\ndata: a\n"), "");
  EXPECT_TRUE(splitter.has_rest());
  EXPECT_EQ(splitter.Append("\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"),
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
  EXPECT_EQ(splitter.events(), 2U);
  EXPECT_EQ(splitter.first_new_id(), "1");
  EXPECT_EQ(splitter.last_id(), "2");
  EXPECT_TRUE(splitter.has_rest());
  splitter.DropRest();
  EXPECT_FALSE(splitter.has_rest());
  EXPECT_EQ(splitter.last_id(), "2");
}

// Guards against lost or repeated bytes when the network splits the events at any position.
RC_GTEST_PROP(EventSplitterTest, KeepsAllBytesWhereverTheyAreCut, ()) {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\n";
  EventSplitter splitter;
  std::string output;
  std::size_t position = 0;
  while (position < stream.size()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, stream.size() - position + 1);
    output += splitter.Append(std::string_view(stream).substr(position, size));
    position += size;
  }
  RC_ASSERT(output == stream);
  RC_ASSERT(splitter.events() == 4U);
  RC_ASSERT(splitter.last_id() == std::optional<std::string>("3"));
}

// Guards against a search that starts again from the beginning for each piece of an endless event:
// it would take minutes for these bytes.
TEST(EventSplitterTest, SearchesEachByteOnce) {
  EventSplitter splitter;
  const std::string line = std::string(99, 'x') + "\n";
  for (int piece = 0; piece < 200'000; ++piece) {
    ASSERT_EQ(splitter.Append(line), "");
  }
  EXPECT_EQ(splitter.rest_bytes(), 20'000'000U);
  EXPECT_FALSE(splitter.Append("\n").empty());
  EXPECT_EQ(splitter.rest_bytes(), 0U);
}

// Many faulty runners send endless events at the same time: they must be refused beyond the limit,
// while the streams of sound runners continue.
TEST(HeldBytesTest, RefusesLargePartsBeyondTheLimitOnly) {
  HeldBytesTotal total = {.limit = 100'000};
  HeldBytes first(total);
  EXPECT_TRUE(first.Resize(60'000));
  HeldBytes second(total);
  EXPECT_TRUE(second.Resize(30'000));
  EXPECT_FALSE(second.Resize(60'000));
  EXPECT_EQ(total.bytes, 90'000U);
  HeldBytes sound(total);
  EXPECT_TRUE(sound.Resize(HeldBytes::kAlwaysGrantedBytes));
  EXPECT_TRUE(first.Resize(0));
  EXPECT_TRUE(second.Resize(60'000));
}

// Guards against memory that stays counted after its response has ended: the limit would be used up
// for all later responses.
TEST(HeldBytesTest, GivesBackWhatItHeld) {
  HeldBytesTotal total = {.limit = 100'000};
  {
    HeldBytes part(total);
    ASSERT_TRUE(part.Resize(90'000));
  }
  EXPECT_EQ(total.bytes, 0U);
}

wire::FleetKey Key(char letter = 'k') {
  return std::move(wire::FleetKey::Create(std::string(wire::kMinimumSecretBytes, letter)).value());
}

dispatch::PeerReport Report() {
  dispatch::PeerReport report = {.sender = "10.0.0.1", .incarnation = 7, .sequence = 3};
  report.runners[11] = {.prefill_tokens = 100.0, .active = 2.0, .memory_tokens = 5000.0};
  report.workspaces[5] = {.asked = 10.0, .served = 4.0};
  report.sent_prefixes.push_back({.runner = 11, .parts = {{0x5c1e07a2, 800.0}}});
  return report;
}

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
  report.evacuations = dispatch::AfterRows({}, rows, true, 1'000'000);
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

// Guards against a router that ends because of one entry that another program wrote.
TEST(RouterRowTest, RefusesEntriesThatNameNoRouter) {
  EXPECT_TRUE(DecodeRouterRow(R"({"address":"10.0.0.1:7","domain":"a"})").has_value());
  const std::vector<std::string> values = {R"({"address":7,"domain":"a"})",
                                           R"({"address":"10.0.0.1:7","domain":{}})",
                                           R"({"domain":"a"})",
                                           R"([])",
                                           R"({"address":1e999})",
                                           "",
                                           std::string(1'000'000, '[')};
  for (const auto& value : values) {
    EXPECT_FALSE(DecodeRouterRow(value).has_value()) << value.substr(0, 40);
  }
}

// Guards against a refusal of an earlier request that a faulty runner repeats on a kept connection:
// the caller would be told that its request did not run.
TEST(ResponseMatchTest, BelievesResponsesToThisRequestOnly) {
  const adapter::ResponseFacts own = {.attempt_id = "a"};
  const adapter::ResponseFacts other = {.attempt_id = "b"};
  const adapter::ResponseFacts unnamed = {};
  const adapter::ResponseFacts by_expected = {.runner_id = "r"};
  const adapter::ResponseFacts by_other = {.runner_id = "s"};
  for (const bool is_reused : {false, true}) {
    const PendingSend send = {"a", "r", is_reused};
    for (const unsigned status : {200U, 421U, 429U, 500U, 503U}) {
      EXPECT_TRUE(MayAnswer(own, status, send)) << status;
      EXPECT_FALSE(MayAnswer(other, status, send)) << status;
      EXPECT_EQ(MayAnswer(unnamed, status, send), !is_reused) << status;
      EXPECT_EQ(MayAnswer(by_expected, status, send), !is_reused) << status;
      EXPECT_EQ(MayAnswer(by_other, status, send), !is_reused || status == 421) << status;
    }
  }
}

// Guards against a share level far below what the engines serve. They serve more than the
// configured capacity when prompt parts are cached; all large workspaces would then count as far
// beyond their share, without any difference between them.
TEST(ShareLevelTest, GrowsWithWhatIsServed) {
  boost::asio::io_context io;
  core::ManualClock clock;
  core::BufferedLog log(-1, clock.clock());
  adapter::InstanceSettings settings;
  settings.share_window = std::chrono::seconds(3);
  RouterState state(io, clock.clock(), settings, log);
  auto policy = std::make_shared<dispatch::Policy>();
  policy->tokens_per_second = 1000.0;
  state.policy = policy;
  for (const auto* name : {"large", "larger"}) {
    WindowOf(state, name).asked.Add(clock.now(), 5000.0);
  }
  UpdateShareLevel(state);
  EXPECT_DOUBLE_EQ(state.share_level, 500.0);
  WindowOf(state, "large").served.Add(clock.now(), 3000.0);
  UpdateShareLevel(state);
  EXPECT_DOUBLE_EQ(state.share_level, 1500.0);
}

// Guards against a failure domain whose cold runners get nothing, because more than half of the
// listed routers ended without removing their rows.
TEST(PeerExchangeTest, FindsListedRoutersThatAreSilent) {
  boost::asio::io_context io;
  core::ManualClock clock;
  core::BufferedLog log(-1, clock.clock());
  adapter::InstanceSettings settings;
  settings.ip = "127.0.0.1";
  settings.domain = "a";
  RouterState state(io, clock.clock(), settings, log);
  auto created = PeerExchange::Create(state);
  ASSERT_TRUE(created.has_value());
  auto& peers = *created.value();
  const auto limit = std::chrono::seconds(60);
  peers.SetPeer("127.0.0.2", "127.0.0.2:7000", "a", 5);
  EXPECT_EQ(peers.ListedInDomain(), 2U);
  clock.Advance(limit);
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
TEST(PeerExchangeTest, ReadsAllQueuedDatagramsInOneTurn) {
  constexpr std::size_t kReports = 100;
  boost::asio::io_context io;
  core::ManualClock clock;
  core::BufferedLog log(-1, clock.clock());
  adapter::InstanceSettings settings;
  settings.ip = "127.0.0.1";
  RouterState state(io, clock.clock(), settings, log);
  auto exchange = std::move(PeerExchange::Create(state).value());
  exchange->SetKey(std::string(wire::kMinimumSecretBytes, 'k'));
  exchange->Start();
  io.poll();
  const auto address = http::ParseEndpoint(exchange->address()).value();
  const boost::asio::ip::udp::endpoint target(address.address(), address.port());
  boost::asio::ip::udp::socket sender(io, boost::asio::ip::udp::v4());
  for (std::size_t report = 0; report < kReports; ++report) {
    auto content = Report();
    content.sender = "10.0.0." + std::to_string(report);
    sender.send_to(boost::asio::buffer(EncodeSignedReport(content, Key())), target);
  }
  while (state.peers.size() == 0) io.run_one();
  EXPECT_EQ(state.peers.size(), kReports);
}

// Guards against several routers that each take themselves for the only one of their failure domain
// and grant starts, because the store did not answer the reads of the routers' rows.
TEST(EngineCoordinatorTest, GrantsColdStartsOnlyAfterReadingTheRouters) {
  boost::asio::io_context io;
  core::ManualClock clock;
  core::BufferedLog log(-1, clock.clock());
  adapter::InstanceSettings settings;
  settings.ip = "127.0.0.1";
  settings.domain = "a";
  RouterState state(io, clock.clock(), settings, log);
  auto exchange = std::move(PeerExchange::Create(state).value());
  const EngineCoordinator coordinator(state, *exchange);
  auto policy = std::make_shared<dispatch::Policy>();
  policy->upstreams["desk"].cold_starts_per_second = 10.0;
  state.policy = policy;
  auto runner = std::make_shared<Runner>(state.prefix_index);
  runner->record = {.id = "i-1", .upstream = "desk", .domain = "a"};
  const auto is_granted = [&] {
    bool granted = false;
    boost::asio::co_spawn(io, state.confirm_cold_start(runner, {}),
                          [&](const std::exception_ptr&, bool result) { granted = result; });
    io.restart();
    io.poll();
    return granted;
  };
  clock.Advance(std::chrono::seconds(10));
  EXPECT_FALSE(is_granted());
  exchange->SetKey(std::string(wire::kMinimumSecretBytes, 'k'));
  EXPECT_TRUE(is_granted());
}

// Guards against two trials of a part at the same time: another request with it may get its trial
// while this one still asks for that of another part.
TEST(ConfirmTrialsTest, RefusesWhatIsRefusedMeanwhile) {
  boost::asio::io_context io;
  core::ManualClock clock;
  core::BufferedLog log(-1, clock.clock());
  RouterState state(io, clock.clock(), {}, log);
  const std::vector<std::uint64_t> subjects = {1, 2};
  for (std::uint64_t crash = 0; crash < 3; ++crash) {
    clock.Advance(std::chrono::seconds(1));
    state.suspects.RecordLocalCrash(clock.now(), crash, subjects);
  }
  clock.Advance(std::chrono::seconds(6));
  const auto confirm = [&] {
    bool granted = false;
    boost::asio::co_spawn(io, ConfirmTrials(state, subjects, "r-1"),
                          [&](const std::exception_ptr&, bool result) { granted = result; });
    io.restart();
    io.poll();
    return granted;
  };
  state.confirm_crash_trial = [&](std::uint64_t) -> boost::asio::awaitable<bool> {
    state.suspects.BeginTrial(clock.now(), 1);
    state.suspects.BeginTrial(clock.now(), 2);
    co_return true;
  };
  EXPECT_FALSE(confirm());
  clock.Advance(std::chrono::seconds(6));
  state.confirm_crash_trial = [&](std::uint64_t subject) -> boost::asio::awaitable<bool> {
    co_return state.suspects.TryGrantTrial(clock.now(), subject);
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

// Guards against requests that were refused before and are placed ahead of requests that can still
// meet their objective.
TEST(WaitQueueTest, TriesCallerRetriesLastAndOthersInOrderOfArrival) {
  WaitQueue queue;
  std::string order;
  const auto waiter = [&](bool is_caller_retry, char name) {
    return Waiter{{.is_caller_retry = is_caller_retry}, [&order, name] {
                    order += name;
                    return true;
                  }};
  };
  queue.Add(waiter(true, 'c'));
  queue.Add(waiter(false, 'a'));
  const auto removed = queue.Add(waiter(false, 'x'));
  queue.Add(waiter(false, 'b'));
  queue.Remove(removed);
  queue.TryAll();
  EXPECT_EQ(order, "abc");
  queue.TryAll();
  EXPECT_EQ(order, "abc");
}

// Guards against a long queue that uses up the processor: without room at any runner, every event
// would try all waiting requests.
TEST(WaitQueueTest, StopsAfterSomeFailuresInARow) {
  WaitQueue queue;
  int tries = 0;
  for (int waiter = 0; waiter < 1000; ++waiter) {
    queue.Add({{}, [&tries] {
                 ++tries;
                 return false;
               }});
  }
  queue.TryAll();
  EXPECT_LE(tries, 10);
}

// The waiting requests of a workspace that floods the fleet must not stand before those of a
// workspace that has used less of its share.
TEST(WaitQueueTest, TriesTheLeastUsedShareFirst) {
  WaitQueue queue;
  std::string order;
  for (const auto& [share_use, name] : {std::pair(1.4, 'c'), {0.3, 'a'}, {0.9, 'b'}}) {
    queue.Add({{.share_use = share_use}, [&order, name = name] {
                 order += name;
                 return true;
               }});
  }
  queue.TryAll();
  EXPECT_EQ(order, "abc");
}

// Requests that wait for a full plain service must not keep those from being tried that wait for an
// engine.
TEST(WaitQueueTest, AFullUpstreamDoesNotHoldUpAnother) {
  boost::asio::io_context io;
  core::ManualClock clock;
  core::BufferedLog log(-1, clock.clock());
  RouterState state(io, clock.clock(), {}, log);
  for (int waiter = 0; waiter < 100; ++waiter) {
    state.waiting["desk"].Add({{}, [] { return false; }});
  }
  bool placed = false;
  state.waiting["engines"].Add({{.share_use = 0.8}, [&placed] { return placed = true; }});
  EXPECT_EQ(CountWaiting(state), 101U);
  TryWaiting(state);
  EXPECT_TRUE(placed);
}

}  // namespace
}  // namespace pomelospar::edge
