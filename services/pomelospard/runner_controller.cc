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

// A leaving runner is gone long before this; its next run has another incarnation.
constexpr core::Duration kLeavingLifetime = hours(24);

// Renewed by the router that polls the runner; ends by itself if that router is gone.
constexpr core::Duration kDownLifetime = seconds(10);

// A drain holds until an operator ends it. The board caps lifetimes at 24 h, so drains are renewed.
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

core::Result<core::RunnerId> FindRunner(const Blackboard& board, std::string_view address) {
  const auto id = core::IdOf<core::RunnerId>(address);
  if (board.runners.Find(id) == nullptr) {
    return core::MakeError(
        core::ErrorKind::kNotFound,
        fmt::format("no runner at {}; `pomelosparctl upstreams` lists the addresses", address));
  }
  return id;
}

}  // namespace

bool IsUsable(const Blackboard& board, const runners::RunnerEntry& runner) {
  return board.notices->IsRunnerUsable(runner.address, runner.incarnation, board.clock.now());
}

void HandleInstances(Blackboard& board, const platform::InstanceChanges& changes) {
  board.instance_list_version = changes.version;
  const bool nothing_new =
      !changes.complete && changes.changed.empty() && changes.removed_addresses.empty();
  if (nothing_new) {
    return;
  }
  if (changes.complete) {
    board.listed_routers.clear();
  }
  for (const auto& address : changes.removed_addresses) {
    board.listed_routers.erase(address);
  }
  for (const auto& instance : changes.changed) {
    if (instance.role == "router") {
      board.listed_routers.insert(instance.address);
    }
  }
  for (const auto& leaving : board.runners.ApplyInstances(changes)) {
    PublishFact(board, LeavingFact(leaving.address, leaving.incarnation), kLeavingLifetime);
  }
  std::set<std::string> seeds = board.listed_routers;
  seeds.insert(board.settings.seeds.begin(), board.settings.seeds.end());
  seeds.erase(board.self.address);
  board.members->SetSeeds({seeds.begin(), seeds.end()});
  board.shards_outdated = true;
}

void NoteRunnerResponse(Blackboard& board, core::RunnerId id, std::string_view incarnation,
                        bool leaving) {
  const auto* runner = board.runners.Find(id);
  if (runner == nullptr) {
    return;
  }
  if (!incarnation.empty() && board.runners.SetIncarnation(id, incarnation)) {
    board.shards_outdated = true;
  }
  if (leaving) {
    PublishFact(board, LeavingFact(runner->address, runner->incarnation), kLeavingLifetime);
  }
}

void MarkRunnerDown(Blackboard& board, core::RunnerId id) {
  if (const auto* runner = board.runners.Find(id)) {
    PublishFact(board, DownFact(*runner), kDownLifetime);
  }
}

void MarkRunnerUp(Blackboard& board, core::RunnerId id) {
  const auto* runner = board.runners.Find(id);
  if (runner != nullptr && IsMarkedDown(board, *runner)) {
    WithdrawFact(board, DownFact(*runner), kDownLifetime);
  }
}

bool IsMarkedDown(const Blackboard& board, const runners::RunnerEntry& runner) {
  return board.notices
      ->Find(wire::NOTICE_RUNNER_DOWN, runner.address, std::string_view(), board.clock.now())
      .has_value();
}

core::Result<void> DrainRunner(Blackboard& board, std::string_view address) {
  BOOST_OUTCOME_TRY(FindRunner(board, address));
  PublishFact(board, DrainFact(address), kDrainLifetime);
  return core::Success();
}

core::Result<void> UndrainRunner(Blackboard& board, std::string_view address) {
  BOOST_OUTCOME_TRY(FindRunner(board, address));
  WithdrawFact(board, DrainFact(address), kDrainLifetime);
  return core::Success();
}

void RenewDrains(Blackboard& board) {
  auto routers = board.members->LiveMembers();
  routers.push_back(board.self);
  for (const auto& [id, runner] : board.runners.entries()) {
    const auto drain = board.notices->Find(wire::NOTICE_RUNNER_DRAINED, runner.address,
                                           std::string_view(), board.clock.now());
    if (!drain) {
      continue;
    }
    // One router renews, so that a renewal is sent once.
    const auto order = membership::RendezvousOrder(core::Raw(id), routers);
    if (order.front() == board.self) {
      PublishFact(board, DrainFact(runner.address), kDrainLifetime);
    }
  }
}

std::vector<runners::RunnerEntry> RunnersToPoll(const Blackboard& board) {
  std::vector<runners::RunnerEntry> polled;
  for (const auto& [shard, runners] : board.shards) {
    if (shard.domain != board.domain || !board.first_of.contains(shard)) {
      continue;
    }
    for (const auto id : runners) {
      if (const auto* runner = board.runners.Find(id)) {
        polled.push_back(*runner);
      }
    }
  }
  return polled;
}

}  // namespace pomelospar::daemon
