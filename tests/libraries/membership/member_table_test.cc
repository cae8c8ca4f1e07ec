#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "tests/libraries/membership/network.h"

namespace pomelospar::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;

class FleetTest : public testing::TestWithParam<std::pair<std::size_t, std::size_t>> {
 protected:
  // Starts all routers and waits until all updates about the start have been sent.
  void StartAndSettle() {
    this->network.StartAll();
    ASSERT_LT(this->TimeUntilAgreed(seconds(20)), seconds(15));
    this->network.Run(seconds(30));
    this->network.ClearEvents();
  }
  // Runs until all routers agree and returns the time that it took, at most `limit`.
  core::Duration TimeUntilAgreed(core::Duration limit) {
    return this->network.RunUntil([this] { return this->network.Agrees(); }, limit);
  }
  Node& node(std::size_t index) { return this->network.nodes[index]; }

  Network network{GetParam().first, GetParam().second, kSeed};
};

// The sizes of the two deployments and of the target fleet: 6, 45 and 369 routers.
INSTANTIATE_TEST_SUITE_P(Sizes, FleetTest,
                         testing::Values(std::pair(3, 2), std::pair(9, 5), std::pair(9, 41)));

// Guards against probes that exceed their share of 500 B/s of a daemon's control traffic of 3 KB/s,
// against a dead router that the others still consider live, and against a restarted or late router
// that the others do not find.
TEST_P(FleetTest, DetectsDeathAndRestartWithinBoundsAndBudget) {
  this->StartAndSettle();
  for (auto& each : this->network.nodes) {
    each.sent_bytes = 0;
  }
  this->network.Run(seconds(60));
  for (const auto& each : this->network.nodes) {
    EXPECT_LT(each.sent_bytes / 60, 500U);
  }
  EXPECT_EQ(this->network.CountEvents(EventKind::kDied), 0U);

  this->network.Stop(1);
  EXPECT_LT(this->TimeUntilAgreed(seconds(30)), seconds(12));
  // The restarted router knows only one address and must find all others.
  this->network.Start(1, {this->node(0).identity.address});
  EXPECT_LT(this->TimeUntilAgreed(seconds(30)), seconds(2));
  this->network.Run(seconds(20));

  this->network.ClearEvents();
  const std::uint64_t previous = this->node(2).identity.incarnation;
  this->network.Start(2, this->network.addresses());
  EXPECT_LT(this->TimeUntilAgreed(seconds(30)), seconds(2));
  EXPECT_EQ(this->network.CountEvents(EventKind::kRestarted), this->network.nodes.size() - 1);
  EXPECT_EQ(this->node(0).table->Find({this->node(2).identity.address, previous}), nullptr);
  this->network.Run(seconds(20));
  EXPECT_EQ(this->network.CountEvents(EventKind::kRestarted), this->network.nodes.size() - 1);
}

// Guards against a partition that only one side detects, and against sides that do not find each
// other after it has healed.
TEST_P(FleetTest, EachSideOfAPartitionGoesOnAndTheyFindEachOtherAgain) {
  this->StartAndSettle();
  this->network.reachable = [](const Node& from, const Node& to) {
    return (from.domain == 0) == (to.domain == 0);
  };
  EXPECT_LT(this->TimeUntilAgreed(seconds(60)), seconds(25));
  this->network.Run(minutes(2));
  // Each side now reports the other's members as dead. No router may accept these reports.
  this->network.ClearEvents();
  this->network.reachable = [](const Node&, const Node&) { return true; };
  EXPECT_LT(this->TimeUntilAgreed(seconds(60)), seconds(15));
  this->network.Run(minutes(1));
  EXPECT_EQ(this->network.CountEvents(EventKind::kDied), 0U);
}

// Guards against routers declared dead because the link between two failure domains is cut while
// a third domain reaches both.
TEST_P(FleetTest, CutBetweenTwoDomainsKillsNobody) {
  this->StartAndSettle();
  this->network.reachable = [](const Node& from, const Node& to) {
    return from.domain + to.domain != 1 || from.domain == to.domain;
  };
  this->network.Run(minutes(1));
  EXPECT_EQ(this->network.CountEvents(EventKind::kDied), 0U);
}

// Guards against a paused router that stays dead for the others after it resumes, and against one
// that declares the others dead when it resumes.
TEST_P(FleetTest, PausedMemberReturns) {
  this->StartAndSettle();
  this->network.Pause(0);
  EXPECT_LT(this->TimeUntilAgreed(seconds(30)), seconds(12));
  this->network.Run(seconds(30));
  this->network.ClearEvents();
  this->network.Resume(0);
  EXPECT_LT(this->TimeUntilAgreed(seconds(30)), seconds(10));
  this->network.Run(seconds(20));
  EXPECT_EQ(this->network.CountEvents(EventKind::kDied), 0U);
}

// Guards against a router that is paused while it suspects others and that, when it resumes, counts
// the pause as time in which they did not answer.
TEST_P(FleetTest, PauseIsNoEvidenceOfDeath) {
  this->StartAndSettle();
  const auto isolated = [this](const Node& from, const Node& to) {
    return &from != &this->node(0) && &to != &this->node(0);
  };
  this->network.reachable = isolated;
  this->network.RunUntil(
      [this] {
        const auto& members = this->node(0).table->members();
        return std::any_of(members.begin(), members.end(),
                           [](const auto& entry) { return entry.second.probed_here; });
      },
      seconds(10));
  this->network.Pause(0);
  this->network.reachable = [](const Node&, const Node&) { return true; };
  this->network.Run(seconds(5));
  this->node(0).events.clear();
  this->network.Resume(0);
  this->network.Run(seconds(10));
  EXPECT_TRUE(
      std::none_of(this->node(0).events.begin(), this->node(0).events.end(),
                   [](const auto& event) { return event.second.kind == EventKind::kDied; }));
}

// Guards against work assigned to a router that has announced its shutdown.
TEST_P(FleetTest, LeavingIsKnownToAllAtOnce) {
  this->StartAndSettle();
  this->network.Send(0, this->node(0).table->Leave(this->network.now));
  this->network.Run(milliseconds(200));
  EXPECT_EQ(this->network.CountEvents(EventKind::kLeaving), this->network.nodes.size() - 1);
  for (const auto& each : this->network.nodes) {
    const auto routers = each.table->LiveRouters(static_cast<core::DomainId>(1));
    EXPECT_EQ(std::count(routers.begin(), routers.end(), this->node(0).identity), 0);
    EXPECT_TRUE(each.table->IsLive(this->node(0).identity));
  }
}

// Guards against reachable members that are declared dead because some messages are lost.
TEST(MemberTableTest, NoFalseDeathAtTenPercentLossInTenMinutes) {
  for (const auto& [domains, routers] : {std::pair(3, 2), std::pair(9, 5), std::pair(9, 41)}) {
    Network network(static_cast<std::size_t>(domains), static_cast<std::size_t>(routers), kSeed);
    network.StartAll();
    network.Run(seconds(30));
    network.ClearEvents();
    network.loss = 0.1;
    network.Run(minutes(10));
    EXPECT_EQ(network.CountEvents(EventKind::kDied), 0U) << domains << " domains";
  }
}

// Guards against a router without peers that waits for others, and against one that probes itself.
TEST(MemberTableTest, RouterAloneIsLiveAtOnce) {
  Network network(1, 1, kSeed);
  network.StartAll();
  const Node& alone = network.nodes[0];
  EXPECT_EQ(alone.table->LiveRouters(static_cast<core::DomainId>(1)), std::vector{alone.identity});
  network.Run(seconds(20));
  EXPECT_TRUE(alone.table->synchronized());
  EXPECT_EQ(alone.sent_bytes, 0U);
}

// Guards against routers that miss a new configuration generation or new notices, because the
// generation or digest in a probe is not reported to the caller.
TEST(MemberTableTest, ReportsHigherGenerationsAndOtherDigests) {
  Network network(1, 3, kSeed);
  network.StartAll();
  network.Run(seconds(10));
  EXPECT_EQ(network.CountEvents(EventKind::kGenerationSeen), 0U);
  network.nodes[0].table->SetLocalState(7, 99);
  network.Send(0, network.nodes[0].table->PingAll(network.now));
  network.Run(milliseconds(50));
  // A periodic probe may report the same state a second time within the 50 ms.
  for (const std::size_t index : {1U, 2U}) {
    const auto& events = network.nodes[index].events;
    for (const auto& expected : {std::pair(EventKind::kGenerationSeen, 7U),
                                 std::pair(EventKind::kNoticeDigestSeen, 99U)}) {
      EXPECT_TRUE(std::any_of(events.begin(), events.end(),
                              [&](const auto& entry) {
                                return entry.second.kind == expected.first &&
                                       entry.second.value == expected.second &&
                                       entry.second.router == network.nodes[0].identity;
                              }))
          << "router " << index;
    }
  }
  EXPECT_EQ(network.CountEvents(EventKind::kJoined), 6U);
}

// Guards against a live member that all routers consider dead because one router with an outdated
// view reports it as dead.
TEST(MemberTableTest, DeathReportedOfALiveMemberIsCheckedFirst) {
  Network network(1, 3, kSeed);
  network.StartAll();
  network.Run(seconds(20));
  network.ClearEvents();
  wire::Message report;
  auto* update = report.mutable_ping()->mutable_piggyback()->add_members();
  update->mutable_router()->set_address(network.nodes[2].identity.address);
  update->mutable_router()->set_incarnation(network.nodes[2].identity.incarnation);
  update->set_status(wire::MEMBER_DEAD);
  update->set_refutation(1);
  network.Send(0, network.nodes[0].table->Handle(network.nodes[1].identity, report, network.now));
  EXPECT_TRUE(network.nodes[0].table->IsLive(network.nodes[2].identity));
  network.Run(seconds(5));
  EXPECT_EQ(network.CountEvents(EventKind::kDied), 0U);
  EXPECT_TRUE(network.Agrees());
}

// Guards against memory that grows with each router that ever ran, and against the removal of dead
// members whose addresses are in the instance list.
TEST(MemberTableTest, ForgetsDeadMembersThatAreNotListed) {
  Network network(1, 4, kSeed);
  network.StartAll();
  network.Run(seconds(5));
  network.Stop(2);
  network.Stop(3);
  network.nodes[0].table->SetSeeds({network.nodes[2].identity.address});
  network.Run(minutes(9));
  EXPECT_EQ(network.nodes[0].table->members().size(), 3U);
  network.Run(minutes(2));
  EXPECT_EQ(network.nodes[0].table->members().size(), 2U);
  EXPECT_TRUE(network.nodes[0].table->members().contains(network.nodes[2].identity.address));
}

}  // namespace
}  // namespace pomelospar::membership
