// Measures the time of one grant decision at the target size: 670 workspaces of which 67 are
// backlogged. The limit is 2 microseconds.

#include <benchmark/benchmark.h>

#include <chrono>
#include <map>
#include <random>
#include <vector>

#include "libraries/scheduling/slot_allocator.h"

namespace pomelospar::scheduling {
namespace {

constexpr std::uint64_t kWorkspaces = 670;
constexpr std::uint64_t kBacklogged = 67;
/// Number of entry routers that send demand to one shard, if 370 routers use 8 of 360 shards each.
constexpr std::uint64_t kRouters = 8;
constexpr std::uint32_t kSlots = 16;

/// An allocator with backlogged workspaces, all of whose slots are granted.
class LoadedAllocator {
 public:
  explicit LoadedAllocator(std::size_t runner_count)
      : ledger(1), allocator({}, &this->ledger, 1, this->now - kRebuildTime) {
    std::vector<RunnerSlots> runners;
    for (std::uint64_t id = 0; id < runner_count; ++id) {
      runners.push_back({core::RunnerId{id}, kSlots, true});
    }
    this->allocator.SetRunners(runners);
    this->allocator.SetCreditLimit(1e6);
    for (std::uint64_t workspace = 0; workspace < kWorkspaces; ++workspace) {
      this->ledger.Charge(core::WorkspaceId{workspace}, 1.0 + static_cast<double>(workspace % 7));
    }
    do {
      this->Confirm();
    } while (this->Grant() > 0);
  }

  /// Sends the demand of all routers with all grants that they hold.
  void Confirm() {
    std::map<std::uint64_t, wire::Demand> demands;
    for (std::uint64_t router = 0; router < kRouters; ++router) {
      auto& demand = demands[router];
      demand.set_sequence(++this->sequence);
      demand.set_full(true);
      for (std::uint64_t workspace = 0; workspace < kBacklogged; ++workspace) {
        auto* row = demand.add_rows();
        row->set_workspace(workspace * 10);
        row->set_request_class(workspace % 3);
        row->set_queued(kDemandWindow);
        row->set_estimated_cost(100);
      }
    }
    for (const auto& [receiver, grant] : this->outstanding) {
      auto* held = demands[receiver.incarnation].add_held();
      held->set_grant(grant.grant());
      held->set_workspace(grant.workspace());
      held->set_request_class(grant.request_class());
      held->set_runner(grant.runner());
      held->set_estimated_cost(grant.estimated_cost());
    }
    for (const auto& [router, demand] : demands) {
      this->allocator.Receive({"10.0.0.1:7000" + std::to_string(router), router}, demand,
                              this->now);
    }
  }

  /// Lets the allocator grant its free slots and returns the number of grants.
  std::size_t Grant() {
    auto output = this->allocator.Decide(this->now);
    const auto count = output.grants.size();
    for (auto& grant : output.grants) {
      this->outstanding.push_back(std::move(grant));
    }
    return count;
  }

  /// Ends a random running request and also charges a random backlogged workspace, as service
  /// reports of other routers would.
  void EndOne() {
    const auto index = this->random() % this->outstanding.size();
    std::swap(this->outstanding[index], this->outstanding.back());
    const auto& [receiver, grant] = this->outstanding.back();
    const core::WorkspaceId workspace{grant.workspace()};
    wire::Release release;
    release.set_grant(grant.grant());
    release.set_workspace(grant.workspace());
    release.set_actual_cost(80);
    this->ledger.Charge(workspace, 80);
    this->ledger.Charge(core::WorkspaceId{this->random() % kBacklogged * 10}, 20);
    this->allocator.Receive(receiver, release, this->now);
    this->outstanding.pop_back();
  }

 private:
  core::TimePoint now{std::chrono::hours(1)};
  std::uint64_t sequence = 0;
  std::mt19937_64 random{1};
  ServiceLedger ledger;
  SlotAllocator allocator;
  std::vector<Addressed<wire::Grant>> outstanding;
};

/// Measures the decision alone: one slot has become free and one grant is issued.
void GrantDecision(benchmark::State& state) {
  LoadedAllocator loaded(static_cast<std::size_t>(state.range(0)));
  std::size_t grants = 0;
  std::size_t since_confirmation = 0;
  for (auto _ : state) {
    if (++since_confirmation == 1000) {
      since_confirmation = 0;
      loaded.Confirm();
    }
    loaded.EndOne();
    const auto start = std::chrono::steady_clock::now();
    grants += loaded.Grant();
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    state.SetIterationTime(elapsed.count());
  }
  state.counters["grants_per_decision"] =
      benchmark::Counter(static_cast<double>(grants), benchmark::Counter::kAvgIterations);
}
BENCHMARK(GrantDecision)->Arg(5)->Arg(1800)->UseManualTime();

/// Measures a release and the grant that follows it.
void ReleaseAndGrant(benchmark::State& state) {
  LoadedAllocator loaded(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    loaded.EndOne();
    benchmark::DoNotOptimize(loaded.Grant());
  }
}
BENCHMARK(ReleaseAndGrant)->Arg(5)->Arg(1800);

}  // namespace
}  // namespace pomelospar::scheduling
