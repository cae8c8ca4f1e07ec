#include "services/pomelospard/runner_controller.h"

#include <fmt/format.h>

#include <set>
#include <utility>

#include "libraries/membership/rendezvous.h"
#include "services/pomelospard/notice_controller.h"

namespace pomelospar::daemon {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

// A leaving runner has exited long before this; after a restart it has another incarnation.
constexpr core::Duration kLeavingLifetime = hours(24);

// Renewed by the router that polls the runner; expires if that router is gone.
constexpr core::Duration kDownLifetime = seconds(10);

// A drain holds until an operator ends it. The notice table caps lifetimes at 24 h, so drains are
// renewed.
constexpr core::Duration kDrainLifetime = hours(24);

notices::Fact LeavingFact(std::string_view address, std::string_view incarnation) {
  return {.kind = wire::NOTICE_RUNNER_LEAVING,
          .subject = std::string(address),
          .subject_incarnation = std::string(incarnation)};
}

notices::Fact DownFact(const runners::RunnerEntry& runner) {
  return {.kind = wire::NOTICE_RUNNER_DOWN, .subject = runner.address, .subject_incarnation = {}};
}

notices::Fact DrainFact(std::string_view address) {
  return {.kind = wire::NOTICE_RUNNER_DRAINED,
          .subject = std::string(address),
          .subject_incarnation = {}};
}

core::Result<core::RunnerId> FindRunner(const RouterState& state, std::string_view address) {
  const auto id = core::IdOf<core::RunnerId>(address);
  if (state.runners.Find(id) == nullptr) {
    return core::MakeError(
        core::ErrorKind::kNotFound,
        fmt::format("no runner at {}; `pomelosparctl upstreams` lists the addresses", address));
  }
  return id;
}

}  // namespace

bool IsUsable(const RouterState& state, const runners::RunnerEntry& runner) {
  return state.notices->IsRunnerUsable(runner.address, runner.incarnation, state.clock.now());
}

void HandleInstances(RouterState& state, const platform::InstanceChanges& changes) {
  state.instance_list_version = changes.version;
  const bool nothing_new =
      !changes.complete && changes.changed.empty() && changes.removed_addresses.empty();
  if (nothing_new) {
    return;
  }
  if (changes.complete) {
    state.listed_routers.clear();
  }
  for (const auto& address : changes.removed_addresses) {
    state.listed_routers.erase(address);
  }
  for (const auto& instance : changes.changed) {
    if (instance.role == "router") {
      state.listed_routers.insert(instance.address);
    }
  }
  for (const auto& leaving : state.runners.ApplyInstances(changes)) {
    PublishFact(state, LeavingFact(leaving.address, leaving.incarnation), kLeavingLifetime);
  }
  std::set<std::string> seeds = state.listed_routers;
  seeds.insert(state.settings.seeds.begin(), state.settings.seeds.end());
  seeds.erase(state.self.address);
  state.members->SetSeeds({seeds.begin(), seeds.end()});
  state.shards_outdated = true;
}

void RecordRunnerStatus(RouterState& state, core::RunnerId id, std::string_view incarnation,
                        bool leaving) {
  const auto* runner = state.runners.Find(id);
  if (runner == nullptr) {
    return;
  }
  if (!incarnation.empty() && state.runners.SetIncarnation(id, incarnation)) {
    state.shards_outdated = true;
  }
  if (leaving) {
    PublishFact(state, LeavingFact(runner->address, runner->incarnation), kLeavingLifetime);
  }
}

void MarkRunnerDown(RouterState& state, core::RunnerId id) {
  if (const auto* runner = state.runners.Find(id)) {
    PublishFact(state, DownFact(*runner), kDownLifetime);
  }
}

void MarkRunnerUp(RouterState& state, core::RunnerId id) {
  const auto* runner = state.runners.Find(id);
  if (runner != nullptr && IsMarkedDown(state, *runner)) {
    WithdrawFact(state, DownFact(*runner), kDownLifetime);
  }
}

bool IsMarkedDown(const RouterState& state, const runners::RunnerEntry& runner) {
  return state.notices
      ->Find(wire::NOTICE_RUNNER_DOWN, runner.address, std::string_view(), state.clock.now())
      .has_value();
}

core::Result<void> DrainRunner(RouterState& state, std::string_view address) {
  BOOST_OUTCOME_TRY(FindRunner(state, address));
  PublishFact(state, DrainFact(address), kDrainLifetime);
  return core::Success();
}

core::Result<void> UndrainRunner(RouterState& state, std::string_view address) {
  BOOST_OUTCOME_TRY(FindRunner(state, address));
  WithdrawFact(state, DrainFact(address), kDrainLifetime);
  return core::Success();
}

void RenewDrains(RouterState& state) {
  auto routers = state.members->LiveMembers();
  routers.push_back(state.self);
  for (const auto& [id, runner] : state.runners.entries()) {
    const auto drain = state.notices->Find(wire::NOTICE_RUNNER_DRAINED, runner.address,
                                           std::string_view(), state.clock.now());
    if (!drain) {
      continue;
    }
    // Only one router renews a drain, so that each renewal is sent once.
    const auto order = membership::RendezvousOrder(core::Raw(id), routers);
    if (order.front() == state.self) {
      PublishFact(state, DrainFact(runner.address), kDrainLifetime);
    }
  }
}

std::vector<runners::RunnerEntry> RunnersToPoll(const RouterState& state) {
  std::vector<runners::RunnerEntry> polled;
  for (const auto& [shard, runners] : state.shards) {
    if (shard.domain != state.domain || !state.allocated_shards.contains(shard)) {
      continue;
    }
    for (const auto id : runners) {
      if (const auto* runner = state.runners.Find(id)) {
        polled.push_back(*runner);
      }
    }
  }
  return polled;
}

}  // namespace pomelospar::daemon
