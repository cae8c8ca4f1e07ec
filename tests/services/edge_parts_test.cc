#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "services/pomelospar_edge/event_splitter.h"
#include "services/pomelospar_edge/held_bytes.h"
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
