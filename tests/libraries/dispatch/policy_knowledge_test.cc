#include "libraries/dispatch/policy_knowledge.h"

#include <gtest/gtest.h>

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Duration kStart = seconds(1000);

// A router that has started in epoch 2 and has read configuration 4 from the store.
PolicyKnowledge StartedRouter() {
  PolicyKnowledge knowledge("a");
  knowledge.OnEpoch(kStart, 2, false);
  knowledge.OnInForce(kStart, 4);
  knowledge.OnStored(kStart, kStart, {.version = 4, .row_version = 40}, 60);
  return knowledge;
}

void SetRows(PolicyKnowledge& knowledge, StoreEpoch epoch) {
  knowledge.SetFleetRow(PolicyStatement{.epoch = epoch, .row_version = 49});
  for (const auto* name : {"a", "b", "c"}) {
    knowledge.SetRow(kStart, name, {.epoch = epoch, .row_version = 50});
  }
  knowledge.OnRowsRead({"a", "b", "c"});
}

// Guards against a started router that believes the first report it hears, although that is of a
// router which has read the older copy too.
TEST(PolicyKnowledgeTest, AwaitsAllListedRouters) {
  auto knowledge = StartedRouter();
  SetRows(knowledge, 1);
  knowledge.OnReport(kStart, "b", 4, false);
  EXPECT_TRUE(knowledge.IsAwaiting(kStart));
  EXPECT_TRUE(knowledge.IsAwaitingAfterReturn(kStart));
  knowledge.OnReport(kStart, "c", 4, true);
  EXPECT_TRUE(knowledge.IsAwaiting(kStart));
  knowledge.OnReport(kStart, "b", 4, true);
  EXPECT_FALSE(knowledge.IsAwaiting(kStart));
  EXPECT_TRUE(knowledge.StoreHoldsNewest(kStart));
}

// Guards against knowledge of a newer configuration that ends with the routers that have it in
// force.
TEST(PolicyKnowledgeTest, TellsWhatItHasOnlyHeard) {
  auto knowledge = StartedRouter();
  knowledge.OnReport(kStart + milliseconds(10), "b", 5, true);
  EXPECT_FALSE(knowledge.StoreHoldsNewest(kStart + milliseconds(10)));
  EXPECT_EQ(knowledge.NewestToTell(kStart + milliseconds(10)), 5);
  // It may have been written since the store was asked.
  EXPECT_FALSE(knowledge.IsInForceOlder(kStart + milliseconds(10)));
  const auto asked_again = kStart + milliseconds(100);
  knowledge.OnStored(asked_again, asked_again, {.version = 4, .row_version = 40}, 61);
  EXPECT_TRUE(knowledge.IsInForceOlder(asked_again));
  EXPECT_EQ(knowledge.StatementForRow().newest, 5);
  const auto end = asked_again + kOperatorRewriteTime;
  EXPECT_TRUE(knowledge.IsInForceOlder(end - milliseconds(1)));
  EXPECT_FALSE(knowledge.IsInForceOlder(end));
  EXPECT_EQ(knowledge.NewestToTell(end), 4);
}

// Guards against a restart of all routers after which nobody knows of the newer configuration.
TEST(PolicyKnowledgeTest, AwaitsTheOperatorIfNoRouterKnows) {
  auto knowledge = StartedRouter();
  SetRows(knowledge, 1);
  knowledge.OnReport(kStart, "b", 4, false);
  const auto end = kStart + kOperatorRewriteTime;
  EXPECT_TRUE(knowledge.IsAwaitingAfterReturn(end - milliseconds(1)));
  EXPECT_FALSE(knowledge.IsFleetRowOutdated(end - milliseconds(1)));
  auto rewritten = knowledge;
  rewritten.OnStored(kStart + seconds(3), kStart + seconds(3), {.version = 4, .row_version = 70},
                     70);
  EXPECT_FALSE(rewritten.IsAwaiting(kStart + seconds(3)));
  EXPECT_TRUE(rewritten.IsFleetRowOutdated(kStart + seconds(3)));
  EXPECT_FALSE(knowledge.IsAwaiting(end));
}

// Guards against a refusal of keys at each restart although the store has not come back.
TEST(PolicyKnowledgeTest, AwaitsNothingIfAllRowsAreOfTheEpoch) {
  auto knowledge = StartedRouter();
  EXPECT_TRUE(knowledge.IsAwaiting(kStart));
  SetRows(knowledge, 2);
  EXPECT_FALSE(knowledge.IsAwaiting(kStart));
}

// Guards against an unknown newer configuration while a row names it.
TEST(PolicyKnowledgeTest, TakesTheNewestVersionFromRows) {
  auto knowledge = StartedRouter();
  SetRows(knowledge, 2);
  knowledge.SetRow(kStart, "c", {.epoch = 2, .newest = 5, .row_version = 50});
  EXPECT_FALSE(knowledge.StoreHoldsNewest(kStart));
}

// Guards against a router that writes its row again without what the row of its former process has
// told, before it has found out itself that the store lacks it.
TEST(PolicyKnowledgeTest, PassesOnWhatRowsTell) {
  auto knowledge = StartedRouter();
  SetRows(knowledge, 2);
  knowledge.SetRow(kStart, "a", {.epoch = 2, .newest = 5, .row_version = 50});
  EXPECT_EQ(knowledge.StatementForRow().newest, 5);
  knowledge.OnStored(kStart, kStart, {.version = 5, .row_version = 70}, 70);
  EXPECT_EQ(knowledge.StatementForRow().newest, 0);
}

// Guards against a row that says too little because the router stops before it has read the store
// that came back.
TEST(PolicyKnowledgeTest, TellsItsVersionBeforeItHasReadTheStoreAgain) {
  auto knowledge = StartedRouter();
  SetRows(knowledge, 2);
  ASSERT_FALSE(knowledge.IsAwaiting(kStart));
  EXPECT_EQ(knowledge.StatementForRow().newest, 0);
  knowledge.OnEpoch(kStart, 3, true);
  EXPECT_EQ(knowledge.StatementForRow().newest, 4);
}

// Guards against a write of each router at each change of the configuration.
TEST(PolicyKnowledgeTest, LeavesOutOfItsRowWhatWasWrittenAMomentAgo) {
  auto knowledge = StartedRouter();
  SetRows(knowledge, 2);
  knowledge.OnReport(kStart + milliseconds(10), "b", 5, true);
  EXPECT_EQ(knowledge.StatementForRow().newest, 0);
}

// A router that ended at some other time keeps its row for a while.
TEST(PolicyKnowledgeTest, AwaitsSilentRoutersForShortIfOthersHaveTold) {
  auto knowledge = StartedRouter();
  SetRows(knowledge, 1);
  knowledge.SetFleetRow(PolicyStatement{.epoch = 2, .row_version = 55});
  const auto end = kStart + kPeerDiscovery;
  EXPECT_TRUE(knowledge.IsAwaiting(end - milliseconds(1)));
  EXPECT_FALSE(knowledge.IsAwaiting(end));
}

// Guards against a router that is taken for one that knows because it has started a moment before.
TEST(PolicyKnowledgeTest, RowsOfStartedRoutersAreNoEvidence) {
  auto knowledge = StartedRouter();
  SetRows(knowledge, 2);
  knowledge.SetFleetRow(PolicyStatement{.epoch = 1, .row_version = 49});
  EXPECT_TRUE(knowledge.IsAwaitingAfterReturn(kStart + kPeerDiscovery));
}

TEST(PolicyKnowledgeTest, AwaitsForShortInAFleetThatStarts) {
  auto knowledge = StartedRouter();
  knowledge.OnRowsRead({});
  const auto end = kStart + kPeerDiscovery;
  EXPECT_TRUE(knowledge.IsAwaiting(end - milliseconds(1)));
  EXPECT_FALSE(knowledge.IsAwaitingAfterReturn(end - milliseconds(1)));
  EXPECT_FALSE(knowledge.IsFleetRowOutdated(end - milliseconds(1)));
  EXPECT_FALSE(knowledge.IsAwaiting(end));
  EXPECT_TRUE(knowledge.IsFleetRowOutdated(end));
}

// Guards against a router that was cut off over the revocation and the return and confirms its own,
// older configuration.
TEST(PolicyKnowledgeTest, AwaitsOthersAfterAReturnIfItWasNotCurrent) {
  auto knowledge = StartedRouter();
  SetRows(knowledge, 2);
  ASSERT_FALSE(knowledge.IsAwaiting(kStart));
  const auto back = kStart + seconds(30);
  auto current = knowledge;
  current.OnEpoch(back, 3, true);
  EXPECT_FALSE(current.IsAwaiting(back));
  knowledge.OnEpoch(back, 3, false);
  knowledge.OnStored(back, back, {.version = 4, .row_version = 40}, 60);
  SetRows(knowledge, 2);
  EXPECT_TRUE(knowledge.IsAwaiting(back));
  EXPECT_FALSE(knowledge.IsAwaitingAfterReturn(back));
  EXPECT_FALSE(knowledge.IsAwaiting(back + kPeerDiscovery));
}

TEST(PolicyKnowledgeTest, AwaitsNothingWithoutEpochs) {
  PolicyKnowledge knowledge("a");
  knowledge.OnEpoch(kStart, std::nullopt, false);
  EXPECT_TRUE(knowledge.IsAwaiting(kStart));
  knowledge.OnStored(kStart, kStart, {.version = 4, .row_version = 40}, 60);
  EXPECT_FALSE(knowledge.IsAwaiting(kStart));
}

}  // namespace
}  // namespace pomelospar::dispatch
