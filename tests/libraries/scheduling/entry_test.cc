#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "libraries/scheduling/demand_planner.h"
#include "libraries/scheduling/entry_queues.h"
#include "libraries/scheduling/shard_map.h"

namespace pomelospar::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const QueueKey kKey{core::UpstreamId{1}, core::WorkspaceId{1}, core::ClassId{1}};

// Compares the queues with a plain list. Guards against callers that wait behind the burst of
// another caller, limits that are counted wrongly, and requests that are lost or served twice.
RC_GTEST_PROP(EntryQueuesTest, AgreesWithNaiveVersion, (std::uint64_t seed)) {
  std::mt19937_64 random(seed);
  EntryQueues queues;
  queues.SetLimits(kKey.workspace, {.requests = 12, .bytes = 100});
  std::vector<QueuedRequest> naive;
  std::vector<std::uint64_t> round_robin;
  const auto drop = [&](std::uint64_t id) {
    const auto found = std::ranges::find(naive, id, &QueuedRequest::id);
    const auto caller = found->caller;
    naive.erase(found);
    if (std::ranges::find(naive, caller, &QueuedRequest::caller) == naive.end()) {
      std::erase(round_robin, caller);
    }
  };
  core::TimePoint now{seconds(100)};
  for (std::uint64_t id = 1; id < 200; ++id) {
    now += milliseconds(1);
    std::size_t bytes = 0;
    for (const auto& request : naive) {
      bytes += request.bytes;
    }
    const auto kind = random() % 8;
    if (kind < 5) {
      const QueuedRequest request{
          id, kKey, random() % 3, 1.0, random() % 20, now, now + milliseconds(random() % 60)};
      const auto expected = naive.size() >= 12            ? PushResult::kTooManyRequests
                            : bytes + request.bytes > 100 ? PushResult::kTooManyBytes
                                                          : PushResult::kAccepted;
      RC_ASSERT(queues.Push(request) == expected);
      if (expected == PushResult::kAccepted) {
        naive.push_back(request);
        if (std::ranges::find(round_robin, request.caller) == round_robin.end()) {
          round_robin.push_back(request.caller);
        }
      }
    } else if (kind == 5) {
      const auto popped = queues.Pop(kKey, now);
      RC_ASSERT(popped.has_value() == !naive.empty());
      if (popped.has_value()) {
        const auto first = std::ranges::find(naive, round_robin.front(), &QueuedRequest::caller);
        RC_ASSERT(popped->id == first->id);
        std::rotate(round_robin.begin(), round_robin.begin() + 1, round_robin.end());
        drop(popped->id);
      }
    } else if (kind == 6 && !naive.empty()) {
      const auto id_to_remove = naive[random() % naive.size()].id;
      RC_ASSERT(queues.Remove(id_to_remove));
      RC_ASSERT(!queues.Remove(id_to_remove));
      drop(id_to_remove);
    } else {
      for (const auto& request : queues.TakeExpired(now)) {
        RC_ASSERT(request.deadline <= now);
        drop(request.id);
      }
      RC_ASSERT(std::ranges::none_of(
          naive, [now](const auto& request) { return request.deadline <= now; }));
    }
    RC_ASSERT(queues.Depth(kKey) == naive.size());
  }
}

// Guards against a Retry-After value that ignores the backlog or the service rate.
TEST(EntryQueuesTest, RetryAfterFollowsTheServiceRate) {
  EntryQueues queues;
  core::TimePoint now{seconds(100)};
  EXPECT_EQ(queues.RetryAfter(kKey, now), seconds(1));
  for (std::uint64_t id = 0; id < 300; ++id) {
    queues.Push({.id = id, .key = kKey, .deadline = core::TimePoint::max()});
  }
  EXPECT_EQ(queues.RetryAfter(kKey, now), seconds(60));
  for (int count = 0; count < 200; ++count) {
    now += milliseconds(200);
    queues.Pop(kKey, now);
  }
  // 100 requests wait and 5 per second are served. The moving average lags a little.
  EXPECT_NEAR(static_cast<double>(queues.RetryAfter(kKey, now).count()), 20, 2);
}

class DemandPlannerTest : public testing::Test {
 protected:
  DemandPlannerTest() {
    std::vector<ShardCandidates> shards;
    for (std::uint32_t index = 0; index < 12; ++index) {
      const core::DomainId domain{index < 3 ? 1U : 2U};
      shards.push_back({{kKey.upstream, domain, index}, {{"first", index}, {"second", index}}});
    }
    this->planner.SetShards(kKey.upstream, shards);
  }

  void Push(std::size_t count = 1) {
    for (std::size_t index = 0; index < count; ++index) {
      this->queues.Push({.id = this->next_id++,
                         .key = kKey,
                         .estimated_cost = 1,
                         .enqueued = this->now,
                         .deadline = core::TimePoint::max()});
    }
  }

  std::vector<Addressed<wire::Demand>> Plan() {
    return this->planner.Plan(this->queues, this->now);
  }

  /// Plans and lets every allocator answer the demand.
  std::vector<Addressed<wire::Demand>> PlanAnswered() {
    auto output = this->Plan();
    for (const auto& [receiver, demand] : output) {
      wire::DemandAck answer;
      *answer.mutable_shard() = demand.shard();
      this->planner.Receive(receiver, answer, this->now);
    }
    return output;
  }

  GrantDecision Accept(const Addressed<wire::Demand>& demand, std::uint64_t id,
                       core::Duration age = {}) {
    wire::Grant grant;
    *grant.mutable_shard() = demand.message.shard();
    grant.set_grant(id);
    grant.set_workspace(core::Raw(kKey.workspace));
    grant.set_request_class(core::Raw(kKey.request_class));
    grant.set_valid_milliseconds(500);
    return this->planner.Accept(demand.receiver, grant, this->queues, this->now - age, this->now);
  }

  core::TimePoint now{seconds(100)};
  std::uint64_t next_id = 1;
  EntryQueues queues;
  DemandPlanner planner{core::DomainId{1}, 1};
};

// Guards against a delay before a single request is offered, and against demand for it at many
// allocators.
TEST_F(DemandPlannerTest, LoneRequestIsOfferedAtOnceAndSpreadAfterFiveMilliseconds) {
  this->Push();
  const auto first = this->PlanAnswered();
  ASSERT_EQ(first.size(), 1);
  EXPECT_EQ(first[0].message.shard().domain(), 1);
  EXPECT_EQ(first[0].message.rows(0).queued(), 1);
  EXPECT_EQ(this->planner.NextPlanTime(this->queues, this->now), this->now + kSpreadAfter);
  this->now += kSpreadAfter;
  EXPECT_EQ(this->PlanAnswered().size(), kSpreadShards - 1);
  EXPECT_TRUE(this->Plan().empty()) << "nothing changed since the last call";
}

// Guards against a number of messages that grows with the backlog, and demand that stays at the
// same shards.
TEST_F(DemandPlannerTest, SteadyBacklogIsSentOnceASecondAndRotates) {
  this->Push(100);
  std::set<std::uint32_t> shards;
  std::size_t messages = this->PlanAnswered().size();
  EXPECT_EQ(messages, kSpreadShards) << "several requests are offered to several shards at once";
  for (int step = 0; step < 1000; ++step) {
    for (const auto& [receiver, demand] : this->PlanAnswered()) {
      ++messages;
      for (const auto& row : demand.rows()) {
        EXPECT_LE(row.queued(), 4U);
      }
      shards.insert(demand.shard().index());
    }
    this->now += milliseconds(10);
  }
  EXPECT_EQ(shards.size(), 12);
  // In each of 10 s, 8 shards get full demand, and each step of the rotation leaves one shard and
  // adds one.
  EXPECT_LE(messages, 10 * (kSpreadShards + 2) + kSpreadShards);
}

// Guards against demand traffic that exceeds 700 bytes/s when many workspaces are backlogged, and
// against a shard that receives nothing for so long that it treats the router as silent.
TEST_F(DemandPlannerTest, ManyWorkspacesStayWithinTheBudget) {
  for (std::uint64_t workspace = 1; workspace <= 67; ++workspace) {
    for (int count = 0; count < 10; ++count) {
      const core::WorkspaceId id{core::CombineHashes(workspace, 7)};
      this->queues.Push({.id = this->next_id++,
                         .key = {kKey.upstream, id, kKey.request_class},
                         .estimated_cost = 100.0 / 3,
                         .enqueued = this->now,
                         .deadline = core::TimePoint::max()});
    }
  }
  this->PlanAnswered();
  const auto start = this->now;
  std::size_t bytes = 0;
  std::map<std::uint32_t, core::TimePoint> heard;
  while (this->now < start + seconds(300)) {
    this->now += milliseconds(10);
    for (const auto& [receiver, demand] : this->PlanAnswered()) {
      bytes += demand.ByteSizeLong();
      const auto index = demand.shard().index();
      const bool left = demand.full() && demand.rows_size() == 0;
      if (heard.contains(index)) {
        EXPECT_LE(this->now - heard[index], kKeepAlivePeriod + milliseconds(10));
      }
      heard[index] = this->now;
      if (left) {
        heard.erase(index);
      }
    }
  }
  std::cout << "demand of 67 rows over 8 shards: " << bytes / 300 << " bytes/s\n";
  EXPECT_LE(bytes / 300, 700);
}

// Guards against renewals that are sent as full demand, and against an allocator that has lost the
// state of the router and still gets only renewals.
TEST_F(DemandPlannerTest, GrantsAreRenewedBetweenFullDemand) {
  for (std::uint64_t workspace = 1; workspace <= 67; ++workspace) {
    this->queues.Push({.id = 1000 + workspace,
                       .key = {kKey.upstream, core::WorkspaceId{workspace}, kKey.request_class},
                       .enqueued = this->now - seconds(1),
                       .deadline = core::TimePoint::max()});
  }
  this->Push(10);
  const auto demand = this->PlanAnswered()[0];
  this->Accept(demand, 1);
  this->Accept(demand, 2);
  this->PlanAnswered();
  this->now += kRenewPeriod;
  std::size_t renewals = 0;
  for (const auto& [receiver, message] : this->PlanAnswered()) {
    EXPECT_FALSE(message.full());
    for (const auto& held : message.held()) {
      renewals += held.renew() ? 1 : 0;
    }
  }
  EXPECT_EQ(renewals, 2);
  wire::DemandAck answer;
  *answer.mutable_shard() = demand.message.shard();
  answer.set_full_wanted(true);
  this->planner.Receive(demand.receiver, answer, this->now);
  const auto repaired = this->Plan();
  ASSERT_EQ(repaired.size(), 1);
  EXPECT_TRUE(repaired[0].message.full());
}

// Guards against a request that waits for a dead allocator, and against a skipped allocator that is
// never tried again.
TEST_F(DemandPlannerTest, SilentAllocatorIsSkippedAndTriedAgain) {
  this->Push();
  EXPECT_EQ(this->Plan()[0].receiver.address, "first");
  const auto start = this->now;
  std::vector<std::pair<core::Duration, std::string>> moves = {{{}, "first"}};
  while (this->now < start + seconds(3)) {
    this->now += milliseconds(10);
    for (const auto& [receiver, demand] : this->Plan()) {
      const bool offers = demand.rows_size() > 0 && demand.shard().index() == 1;
      if (offers && receiver.address != moves.back().second) {
        moves.emplace_back(this->now - start, receiver.address);
      }
      if (receiver.address == "second") {
        wire::DemandAck answer;
        *answer.mutable_shard() = demand.shard();
        this->planner.Receive(receiver, answer, this->now);
      }
    }
  }
  ASSERT_GE(moves.size(), 3);
  EXPECT_EQ(moves[1], std::make_pair(core::Duration(kAnswerTimeout), std::string("second")));
  EXPECT_EQ(moves[2],
            std::make_pair(core::Duration(kAnswerTimeout + kSkipTime), std::string("first")));
}

// Guards against the use of an expired or repeated grant, an unused grant that is not released, and
// held grants that are not renewed or released.
TEST_F(DemandPlannerTest, GrantsAreUsedRenewedAndReleased) {
  this->Push(10);
  const auto demand = this->PlanAnswered()[0];
  const auto expired = this->Accept(demand, 1, milliseconds(501));
  ASSERT_TRUE(expired.release.has_value());
  EXPECT_EQ(expired.release->message.reason(), wire::RELEASE_UNUSED);
  EXPECT_EQ(this->Accept(demand, 2).request->id, 1);
  EXPECT_FALSE(this->Accept(demand, 2).request.has_value()) << "the grant was repeated";
  EXPECT_EQ(this->planner.held_grants(), 1);
  EXPECT_TRUE(this->Plan().empty());
  this->Accept(demand, 3);
  const auto confirmation = this->Plan();
  ASSERT_EQ(confirmation.size(), 1) << "two grants are unconfirmed";
  EXPECT_EQ(confirmation[0].message.held_size(), 2);

  this->planner.Charge(2, 7.0);
  this->now += kFullDemandPeriod;
  int renewed = 0;
  for (const auto& [receiver, full] : this->PlanAnswered()) {
    renewed += full.held_size();
    for (const auto& row : full.rows()) {
      EXPECT_EQ(row.running_charged(), full.held_size() > 0 ? 7.0 : 0.0);
    }
  }
  EXPECT_EQ(renewed, 2);
  const auto release = this->planner.Finish(2, wire::RELEASE_FINISHED, 70.0);
  ASSERT_EQ(release.size(), 1);
  EXPECT_EQ(release[0].receiver, demand.receiver);
  EXPECT_EQ(release[0].message.actual_cost(), 7.0);
  EXPECT_EQ(release[0].message.service_counter(), 70.0);
  EXPECT_TRUE(this->planner.Finish(2, wire::RELEASE_FINISHED, 70.0).empty());
  while (this->queues.Pop(kKey, this->now).has_value()) {
  }
  EXPECT_TRUE(this->Accept(demand, 4).release.has_value()) << "the queue is empty";
  // No demand is sent to a shard without candidates, so it must not cause further calls of `Plan`.
  this->planner.SetShards(kKey.upstream, {});
  EXPECT_EQ(this->planner.NextPlanTime(this->queues, this->now), core::TimePoint::max());
}

// Guards against shards that are too large on average, and against a leaving runner that moves
// other runners to other shards.
TEST(ShardMapTest, RunnersStayWhenOthersLeave) {
  std::vector<core::RunnerId> runners;
  for (std::uint64_t id = 1; id <= 1800; ++id) {
    runners.emplace_back(core::RunnerId{id});
  }
  const auto shards = AssignShards(core::UpstreamId{1}, core::DomainId{1}, runners);
  EXPECT_EQ(shards.size(), 360);
  std::map<core::RunnerId, std::uint32_t> before;
  for (const auto& entry : shards) {
    for (const auto runner : entry.runners) {
      before[runner] = entry.shard.index;
    }
  }
  EXPECT_EQ(before.size(), 1800);
  runners.pop_back();
  for (const auto& entry : AssignShards(core::UpstreamId{1}, core::DomainId{1}, runners)) {
    for (const auto runner : entry.runners) {
      EXPECT_EQ(before[runner], entry.shard.index);
    }
  }
}

}  // namespace
}  // namespace pomelospar::scheduling
