#include "libraries/configuration/configuration_sync.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "tests/libraries/configuration/fleet_fixture.h"

namespace pomelospar::configuration {
namespace {

using std::chrono::milliseconds;

constexpr auto kSecond = milliseconds(1000);

// Guards against two operators whose changes both appear accepted although one replaced the other,
// for every interleaving of their calls.
TEST(ConfigurationApplierTest, OneOfTwoRacingOperatorsGetsAConflictThatShowsTheOther) {
  EXPECT_TRUE(rc::check("race", [] {
    Fleet fleet;
    fleet.Start("a");
    fleet.Start("b");
    fleet.Apply("a", "first", SampleConfiguration({1.0}));
    fleet.Run(kSecond * 3);
    const auto expected = *rc::gen::elementOf(
        std::vector<std::optional<std::uint64_t>>{std::nullopt, std::uint64_t{1}});
    fleet.Apply("a", "left", SampleConfiguration({2.0}), expected);
    fleet.Apply("b", "right", SampleConfiguration({3.0}), expected);
    const auto order =
        *rc::gen::container<std::vector<std::size_t>>(40, rc::gen::inRange<std::size_t>(0, 4));
    for (const auto position : order) {
      fleet.platform.Step(position);
    }
    fleet.Run(kSecond * 3);
    // Reads the snapshot, which both operators wrote for the same generation.
    fleet.Start("c");
    fleet.Run(kSecond * 3);
    const auto& left = fleet.results.at("left");
    const auto& right = fleet.results.at("right");
    const auto head = fleet.routers.at("a").store.generation();
    RC_ASSERT(fleet.routers.at("b").store.generation() == head);
    for (const std::string other : {"b", "c"}) {
      RC_ASSERT(LiveSections(*fleet.routers.at("a").store.held()) ==
                LiveSections(*fleet.routers.at(other).store.held()));
    }
    if (left.outcome == ApplyOutcome::kApplied && right.outcome == ApplyOutcome::kApplied) {
      // Without an expected generation one may follow the other.
      RC_ASSERT(!expected);
      RC_ASSERT(head == 3U);
      return;
    }
    RC_ASSERT(head == 2U);
    const auto& loser = left.outcome == ApplyOutcome::kApplied ? right : left;
    const auto& winner = left.outcome == ApplyOutcome::kApplied ? left : right;
    RC_ASSERT((winner.outcome == ApplyOutcome::kApplied));
    RC_ASSERT((loser.outcome == ApplyOutcome::kConflict));
    RC_ASSERT(loser.generation == 2U);
    RC_ASSERT(loser.changes.size() == 1U);
    RC_ASSERT((loser.changes[0].find("/share 1.0 -> ") != std::string::npos));
  }));
}

struct LostCase {
  Fault fault;
  milliseconds outage;
  ApplyOutcome outcome;
  std::uint64_t generation;
};

// Guards against a wrong outcome when the platform's answer to a commit is lost, including a
// transaction that arrives after the apply was reported as not applied.
TEST(ConfigurationApplierTest, LostAnswerIsResolvedByTheApplyIdentifier) {
  const std::vector<LostCase> cases = {
      {Fault::kLoseAnswer, kSecond, ApplyOutcome::kApplied, 2},
      {Fault::kLoseRequest, kSecond, ApplyOutcome::kRefused, 1},
      {Fault::kLoseAnswer, kSecond * 20, ApplyOutcome::kUnknown, 2},
      {Fault::kLoseRequest, kSecond * 20, ApplyOutcome::kUnknown, 2}};
  for (const auto& lost : cases) {
    Fleet fleet;
    fleet.Start("a");
    fleet.Apply("a", "first", SampleConfiguration({1.0}));
    fleet.Run(kSecond);
    fleet.Apply("a", "second", SampleConfiguration({2.0}));
    // The reads of the head and of the apply row, and the snapshot.
    fleet.platform.Step();
    fleet.platform.Step();
    fleet.platform.Step();
    fleet.platform.fault = lost.fault;
    fleet.Run(lost.outage);
    fleet.platform.fault = Fault::kNone;
    fleet.Run(kSecond);
    fleet.platform.Deliver();
    fleet.Run(kSecond * 3);
    EXPECT_EQ(fleet.results.at("second").outcome, lost.outcome);
    EXPECT_EQ(fleet.routers.at("a").store.generation(), lost.generation);
    // A repeat with the same identifier applies nothing and reports the outcome of the first.
    fleet.Apply("a", "second", SampleConfiguration({2.0}), 1);
    fleet.Run(kSecond);
    EXPECT_EQ(fleet.routers.at("a").store.generation(), lost.generation);
    EXPECT_EQ(fleet.results.at("second").outcome,
              lost.generation == 2 ? ApplyOutcome::kApplied : ApplyOutcome::kRefused);
  }
}

// Guards against an apply that is reported as accepted although the platform is down and stores
// nothing, and against routers that do not recover after the outage.
TEST(ConfigurationApplierTest, PlatformDownRefusesAndRecovers) {
  Fleet fleet;
  fleet.Start("a");
  fleet.Start("b");
  fleet.Apply("a", "first", SampleConfiguration({1.0}));
  fleet.Run(kSecond * 3);
  fleet.platform.fault = Fault::kDown;
  fleet.Apply("a", "second", SampleConfiguration({2.0}));
  fleet.Run(kSecond * 5);
  EXPECT_EQ(fleet.results.at("second").outcome, ApplyOutcome::kRefused);
  EXPECT_THAT(fleet.results.at("second").message, testing::HasSubstr("platform"));
  EXPECT_EQ(fleet.routers.at("a").store.generation(), 1U);
  fleet.platform.fault = Fault::kNone;
  fleet.Apply("a", "second", SampleConfiguration({2.0}));
  fleet.Run(kSecond * 3);
  EXPECT_EQ(fleet.results.at("second").outcome, ApplyOutcome::kApplied);
  EXPECT_THAT(fleet.routers.at("b").adopted, testing::ElementsAre(1, 2));
}

// Guards against a restarted router that serves an old generation while a peer holds a newer one
// and the platform is down.
TEST(ConfigurationSyncTest, RestartedRouterTakesHighestGenerationOfItsPeers) {
  Fleet fleet;
  for (const std::string address : {"a", "b", "c"}) {
    fleet.Start(address);
  }
  fleet.Apply("a", "first", SampleConfiguration({1.0}));
  fleet.Run(kSecond * 3);
  fleet.routers.erase("b");
  fleet.Apply("a", "second", SampleConfiguration({1.0, 2.0}));
  fleet.Run(kSecond * 3);
  fleet.platform.fault = Fault::kDown;
  auto& restarted = fleet.Start("b");
  restarted.reachable = {"a", "c", "dead"};
  fleet.routers.at("a").reachable = {"b"};
  // Peer "c" answers later than "a".
  fleet.Run(milliseconds(500));
  EXPECT_EQ(restarted.store.generation(), 2U);
  EXPECT_FALSE(restarted.sync->ready());
  fleet.routers.at("c").reachable = {"b"};
  fleet.Run(kSecond);
  EXPECT_FALSE(restarted.sync->ready());
  // The dead peer counts as unreachable after 2 s.
  fleet.Run(kSecond);
  EXPECT_TRUE(restarted.sync->ready());
  EXPECT_EQ(LiveSections(*restarted.store.held()),
            LiveSections(*fleet.routers.at("a").store.held()));
}

// Guards against a router that becomes ready with an old generation of one peer while another peer,
// whose answers are lost, has told that it holds a newer one.
TEST(ConfigurationSyncTest, IsNotReadyBehindAReachablePeer) {
  Fleet fleet;
  fleet.Start("a");
  fleet.Apply("a", "first", SampleConfiguration({1.0}));
  fleet.Run(kSecond);
  const auto old_generation = fleet.routers.at("a").store.held();
  fleet.Apply("a", "second", SampleConfiguration({2.0}));
  fleet.Run(kSecond);
  fleet.platform.fault = Fault::kDown;
  auto& behind = fleet.Start("c");
  behind.store.Adopt(old_generation);
  behind.reachable = {"b"};
  auto& restarted = fleet.Start("b");
  restarted.reachable = {"a", "c"};
  restarted.sync->OnPeerGeneration("a", 2);
  fleet.Run(kSecond * 5);
  EXPECT_EQ(restarted.store.generation(), 1U);
  EXPECT_FALSE(restarted.sync->ready());
  fleet.routers.at("a").reachable = {"b"};
  fleet.Run(kSecond);
  EXPECT_EQ(restarted.store.generation(), 2U);
  EXPECT_TRUE(restarted.sync->ready());
}

// Guards against a router that becomes ready with the generation of a peer although the platform
// answers with a newer one.
TEST(ConfigurationSyncTest, IsNotReadyBehindThePlatform) {
  Fleet fleet;
  fleet.Start("a");
  fleet.Apply("a", "first", SampleConfiguration({1.0}));
  fleet.Run(kSecond * 3);
  const auto old_generation = fleet.routers.at("a").store.held();
  fleet.Apply("a", "second", SampleConfiguration({2.0}));
  fleet.Run(kSecond * 3);
  fleet.routers.erase("a");
  fleet.platform.objects.clear();
  auto& restarted = fleet.Start("b");
  restarted.store.Adopt(old_generation);
  fleet.platform.rows.erase(ChangeKey(2));
  fleet.Run(kSecond * 5);
  EXPECT_FALSE(restarted.sync->ready());
}

// Guards against a router that skips the changes of a generation whose row is missing, and against
// one that stays behind because of it.
TEST(ConfigurationSyncTest, ReadsTheSnapshotIfAChangeRowIsMissing) {
  Fleet fleet;
  fleet.Start("a");
  fleet.Apply("a", "1", SampleConfiguration({1.0}));
  fleet.Run(kSecond);
  const auto first = fleet.routers.at("a").store.held();
  for (const std::string identifier : {"2", "3"}) {
    fleet.Apply("a", identifier, SampleConfiguration({1.0, std::stod(identifier)}));
    fleet.Run(kSecond);
  }
  fleet.Apply("a", "4", SampleConfiguration({2.0, 3.0}));
  fleet.Run(kSecond);
  for (const std::uint64_t missing : {3U, 4U}) {
    fleet.platform.rows.erase(ChangeKey(missing));
    auto& behind = fleet.Start("b");
    behind.store.Adopt(first);
    fleet.Run(kSecond * 3);
    EXPECT_EQ(behind.store.generation(), 4U);
    EXPECT_EQ(LiveSections(*behind.store.held()), ToSections(SampleConfiguration({2.0, 3.0})));
  }
}

// Guards against a change that reaches other routers only with the next poll.
TEST(ConfigurationSyncTest, PeerGenerationIsFetchedAtOnce) {
  Fleet fleet;
  fleet.Start("a").reachable = {"b"};
  fleet.Start("b").reachable = {"a"};
  fleet.Apply("a", "first", SampleConfiguration({1.0}));
  fleet.Run(kSecond * 3);
  fleet.Apply("a", "second", SampleConfiguration({1.0, 2.0}));
  while (!fleet.results.contains("second")) {
    ASSERT_TRUE(fleet.platform.Step());
  }
  fleet.routers.at("b").sync->OnPeerGeneration("a", 2);
  fleet.DeliverMessages();
  EXPECT_EQ(fleet.routers.at("b").store.generation(), 2U);
}

// Guards against a rollback that decreases the generation or is missing from the history.
TEST(ConfigurationApplierTest, RollbackIsANewGenerationInTheHistory) {
  Fleet fleet;
  auto& router = fleet.Start("a");
  fleet.Apply("a", "first", SampleConfiguration({1.0}));
  fleet.Run(kSecond);
  fleet.Apply("a", "second", SampleConfiguration({1.0, 2.0}));
  fleet.Run(kSecond);
  std::optional<ApplyResult> result;
  ApplyRequest request;
  request.apply_identifier = "third";
  request.operator_name = "operator";
  router.applier->Rollback(1, request, [&](const ApplyResult& answer) { result = answer; });
  std::optional<ApplyResult> missing;
  router.applier->Rollback(9, request, [&](const ApplyResult& answer) { missing = answer; });
  fleet.Run(kSecond);
  EXPECT_EQ(result->outcome, ApplyOutcome::kApplied);
  EXPECT_EQ(missing->outcome, ApplyOutcome::kInvalid);
  EXPECT_EQ(router.store.generation(), 3U);
  EXPECT_EQ(LiveSections(*router.store.held()), ToSections(SampleConfiguration({1.0})));
  std::vector<std::string> identifiers;
  router.applier->History(2, [&](const auto& records) {
    for (const auto& record : records.value()) {
      identifiers.push_back(record.apply_identifier);
    }
  });
  fleet.Run(kSecond);
  EXPECT_THAT(identifiers, testing::ElementsAre("third", "second"));
}

}  // namespace
}  // namespace pomelospar::configuration
