#include "libraries/scheduling/slot_allocator.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "tests/libraries/scheduling/naive_allocator.h"

namespace pomelospar::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

core::RouterIdentity RouterOf(std::size_t index) {
  return {"router" + std::to_string(index), index + 100};
}

std::size_t IndexOf(const core::RouterIdentity& router) { return router.incarnation - 100; }

/// Applies the same random steps to the allocator and to the reference implementation.
class Differential {
 public:
  explicit Differential(std::uint64_t seed)
      : random(seed), ledger(1), allocator({}, &this->ledger, 1000, this->now - seconds(1)) {
    const std::vector<WorkspaceShare> shares = {{core::WorkspaceId{0}, 4},
                                                {core::WorkspaceId{1}, 2}};
    const std::vector<ClassWeight> weights = {{core::ClassId{0}, 4}, {core::ClassId{1}, 1}};
    this->ledger.SetShares(shares);
    this->naive.ledger.SetShares(shares);
    this->allocator.SetClassWeights(weights);
    this->naive.weights = {{0, 4.0}, {1, 1.0}};
    this->naive.credit_limit = 1 << this->Draw(4, 8);
    this->allocator.SetCreditLimit(this->naive.credit_limit);
    this->ChangeRunners();
  }

  void Step() {
    const auto kind = this->Draw(0, 19);
    if (kind < 9) {
      this->SendDemand();
    } else if (kind < 13) {
      this->SendRelease();
    } else if (kind < 15) {
      const core::WorkspaceId workspace{this->Draw(0, kWorkspaces - 1)};
      const auto cost = static_cast<double>(this->Draw(1, 64));
      this->ledger.Charge(workspace, cost);
      this->naive.ledger.Charge(workspace, cost);
    } else if (kind < 18) {
      this->now += milliseconds(this->Draw(1, 900));
      this->allocator.Tick(this->now);
      this->naive.Tick(this->now);
    } else if (kind == 18) {
      this->ChangeRunners();
    } else {
      const auto router = this->Draw(0, kRouters - 1);
      this->allocator.RemoveRouter(RouterOf(router));
      this->naive.RemoveRouter(router);
    }
    this->now += milliseconds(this->Draw(0, 2));
    this->Compare();
  }

  std::size_t grants = 0;

 private:
  static constexpr std::size_t kRouters = 4;
  static constexpr std::size_t kWorkspaces = 6;

  std::uint64_t Draw(std::uint64_t from, std::uint64_t to) {
    return std::uniform_int_distribution<std::uint64_t>(from, to)(this->random);
  }

  void ChangeRunners() {
    std::vector<RunnerSlots> runners;
    for (std::uint64_t id = 0; id < 3; ++id) {
      runners.push_back(
          {core::RunnerId{id}, static_cast<std::uint32_t>(this->Draw(0, 6)), this->Draw(0, 4) > 0});
    }
    this->naive.runners.resize(runners.size());
    for (std::size_t index = 0; index < runners.size(); ++index) {
      auto& runner = this->naive.runners[index];
      runner.id = index;
      runner.slots = runners[index].slots;
      runner.usable = runners[index].usable;
    }
    this->allocator.SetRunners(runners);
  }

  void SendDemand() {
    const auto router = this->Draw(0, kRouters - 1);
    wire::Demand demand;
    demand.set_sequence(++this->sequence);
    demand.set_full(this->Draw(0, 2) == 0);
    for (std::uint64_t workspace = 0; workspace < kWorkspaces; ++workspace) {
      for (std::uint64_t request_class = 0; request_class < 2; ++request_class) {
        if (this->Draw(0, 2) > 0) {
          continue;
        }
        auto* row = demand.add_rows();
        row->set_workspace(workspace);
        row->set_request_class(request_class);
        row->set_queued(static_cast<std::uint32_t>(this->Draw(0, 6)));
        row->set_estimated_cost(static_cast<double>(this->Draw(1, 16)));
        row->set_running_charged(static_cast<double>(this->Draw(0, 20)));
      }
    }
    for (const auto& grant : this->naive.grants) {
      if (grant.router == router && this->Draw(0, 3) > 0) {
        auto* held = demand.add_held();
        held->set_grant(grant.id);
        held->set_workspace(grant.workspace);
        held->set_request_class(grant.request_class);
        held->set_runner(grant.runner);
        held->set_estimated_cost(grant.estimated_cost);
      }
    }
    this->allocator.Receive(RouterOf(router), demand, this->now);
    this->naive.Receive(router, demand, this->now);
    // Demand with an old sequence number must change nothing.
    demand.set_sequence(demand.sequence() - 1);
    demand.clear_rows();
    this->allocator.Receive(RouterOf(router), demand, this->now);
  }

  void SendRelease() {
    if (this->naive.grants.empty()) {
      return;
    }
    const auto grant = this->naive.grants[this->Draw(0, this->naive.grants.size() - 1)];
    wire::Release release;
    release.set_grant(grant.id);
    release.set_workspace(grant.workspace);
    release.set_reason(static_cast<wire::ReleaseReason>(this->Draw(0, 3)));
    release.set_actual_cost(static_cast<double>(this->Draw(0, 32)));
    release.set_service_counter(static_cast<double>(this->Draw(0, 500)));
    this->allocator.Receive(RouterOf(grant.router), release, this->now);
    this->naive.ledger.MergeCounter(RouterOf(grant.router).incarnation,
                                    core::WorkspaceId{grant.workspace}, release.service_counter(),
                                    this->now);
    this->naive.last_heard[grant.router] = this->now;
    for (auto& runner : this->naive.runners) {
      if (release.reason() == wire::RELEASE_RUNNER_FAILED && runner.id == grant.runner) {
        runner.paused_until = this->now + seconds(1);
      }
    }
    this->naive.EndGrant(grant.id, release.actual_cost());
  }

  void Compare() {
    // `Tick` ends the pauses of runners.
    this->allocator.Tick(this->now);
    this->naive.Tick(this->now);
    for (const auto& [receiver, grant] : this->allocator.Decide(this->now).grants) {
      RC_ASSERT(this->naive.CheckGrant(IndexOf(receiver), grant, this->now) == "");
      ++this->grants;
    }
    RC_ASSERT(this->naive.CheckStop(this->now) == "");
    RC_ASSERT(this->allocator.outstanding_grants() == this->naive.grants.size());
    for (std::uint64_t workspace = 0; workspace < kWorkspaces; ++workspace) {
      const core::WorkspaceId id{workspace};
      RC_ASSERT(std::abs(this->ledger.Offset(id) - this->naive.ledger.Offset(id)) < 1e-6);
    }
  }

  std::mt19937_64 random;
  core::TimePoint now{std::chrono::hours(1)};
  std::uint64_t sequence = 1;
  ServiceLedger ledger;
  SlotAllocator allocator;
  NaiveAllocator naive;
};

// Guards against a grant, a slot count or an offset that the rules do not allow, for example
// because an ordered set still holds an outdated sort key.
RC_GTEST_PROP(SlotAllocatorTest, AgreesWithNaiveVersion, (std::uint64_t seed)) {
  Differential differential(seed);
  for (int step = 0; step < 300; ++step) {
    differential.Step();
  }
  RC_ASSERT(differential.grants > 0);
}

class SlotAllocatorRules : public testing::Test {
 protected:
  SlotAllocatorRules() { this->SetSlots(true); }

  void SetSlots(bool usable) {
    const std::vector<RunnerSlots> runners = {{core::RunnerId{1}, 8, usable}};
    this->allocator.SetRunners(runners);
  }

  void Offer(std::size_t router, std::uint32_t queued) {
    wire::Demand demand;
    demand.set_sequence(++this->sequence);
    demand.set_full(true);
    auto* row = demand.add_rows();
    row->set_workspace(1);
    row->set_queued(queued);
    row->set_estimated_cost(1);
    this->allocator.Receive(RouterOf(router), demand, this->now);
  }

  std::size_t Grants() { return this->allocator.Decide(this->now).grants.size(); }

  core::TimePoint now{std::chrono::hours(1)};
  std::uint64_t sequence = 0;
  ServiceLedger ledger{1};
  SlotAllocator allocator{{}, &this->ledger, 1, this->now};
};

// Guards against a new allocator that grants slots which are in use under grants of the former
// allocator.
TEST_F(SlotAllocatorRules, NewAllocatorWaitsForReports) {
  this->Offer(0, 2);
  EXPECT_EQ(this->Grants(), 0);
  this->now += kRebuildTime;
  EXPECT_EQ(this->Grants(), 2);

  SlotAllocator early({}, &this->ledger, 1, this->now);
  const std::vector<core::RouterIdentity> expected = {RouterOf(0)};
  early.SetExpectedRouters(expected);
  const std::vector<RunnerSlots> runners = {{core::RunnerId{1}, 2, true}};
  early.SetRunners(runners);
  wire::Demand demand;
  demand.set_sequence(1);
  demand.set_full(true);
  demand.add_rows()->set_queued(4);
  auto* held = demand.add_held();
  held->set_grant(7);
  held->set_runner(1);
  early.Receive(RouterOf(0), demand, this->now);
  EXPECT_EQ(early.Decide(this->now).grants.size(), 1) << "one of the two slots is already in use";
}

// Guards against an allocator that is not first in the order and grants all slots, which would
// overload the runners beside the first allocator, or grants none.
TEST_F(SlotAllocatorRules, AllocatorThatIsNotFirstGrantsAQuarter) {
  this->allocator.SetFirstInOrder(false, this->now);
  this->now += kRebuildTime;
  this->Offer(0, 4);
  EXPECT_EQ(this->Grants(), 2);
}

// Guards against slots that are never freed after a grant or its release was lost or a router died.
TEST_F(SlotAllocatorRules, ReclaimsGrants) {
  this->now += kRebuildTime;
  this->Offer(0, 4);
  EXPECT_EQ(this->Grants(), 4);
  this->now += seconds(1);
  this->Offer(0, 0);
  this->now += seconds(1);
  this->allocator.Tick(this->now);
  EXPECT_EQ(this->allocator.outstanding_grants(), 0) << "the grants were not confirmed for 2 s";

  this->Offer(1, 4);
  EXPECT_EQ(this->Grants(), 4);
  this->allocator.RemoveRouter(RouterOf(1));
  EXPECT_EQ(this->allocator.outstanding_grants(), 0) << "the router was removed";

  wire::Demand demand;
  demand.set_sequence(1);
  demand.set_full(true);
  demand.add_held()->set_grant(7);
  this->allocator.Receive(RouterOf(2), demand, this->now);
  this->now += seconds(4);
  this->allocator.Tick(this->now);
  EXPECT_EQ(this->allocator.outstanding_grants(), 1) << "the router was silent for only 4 s";
  this->now += seconds(1);
  this->allocator.Tick(this->now);
  EXPECT_EQ(this->allocator.outstanding_grants(), 0) << "the router was silent for 5 s";
}

// Guards against the reclaim of grants that are renewed, and against an allocator that has lost a
// grant and never asks for the full demand that would restore it.
TEST_F(SlotAllocatorRules, RenewalsKeepGrantsAndAskForWhatIsMissing) {
  wire::Demand demand;
  demand.set_sequence(1);
  demand.set_full(true);
  demand.add_held()->set_grant(7);
  this->allocator.Receive(RouterOf(0), demand, this->now);
  EXPECT_FALSE(this->allocator.Decide(this->now).acknowledgements[0].message.full_wanted());
  const auto renew = [this](std::uint64_t sequence) {
    wire::Demand renewal;
    renewal.set_sequence(sequence);
    renewal.set_answer(true);
    auto* held = renewal.add_held();
    held->set_grant(7);
    held->set_renew(true);
    this->allocator.Receive(RouterOf(0), renewal, this->now);
    return this->allocator.Decide(this->now).acknowledgements.at(0).message.full_wanted();
  };
  for (std::uint64_t count = 2; count < 12; ++count) {
    this->now += seconds(1);
    EXPECT_FALSE(renew(count));
    this->allocator.Tick(this->now);
    ASSERT_EQ(this->allocator.outstanding_grants(), 1);
  }
  this->allocator.RemoveRouter(RouterOf(0));
  EXPECT_TRUE(renew(12));
  EXPECT_EQ(this->allocator.outstanding_grants(), 0) << "a renewal does not contain the workspace";
  demand.set_sequence(13);
  this->allocator.Receive(RouterOf(0), demand, this->now);
  EXPECT_FALSE(this->allocator.Decide(this->now).acknowledgements[0].message.full_wanted());
  EXPECT_EQ(this->allocator.outstanding_grants(), 1);
}

// Guards against grants for a runner that is leaving, drained or down.
TEST_F(SlotAllocatorRules, UnusableRunnerGetsNoGrant) {
  this->now += kRebuildTime;
  this->SetSlots(false);
  this->Offer(0, 4);
  EXPECT_EQ(this->Grants(), 0);
  this->SetSlots(true);
  EXPECT_EQ(this->Grants(), 4);
}

}  // namespace
}  // namespace pomelospar::scheduling
