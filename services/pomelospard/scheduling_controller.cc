#include "services/pomelospard/scheduling_controller.h"

#include <algorithm>
#include <utility>

#include "libraries/scheduling/fairness_bound.h"
#include "libraries/scheduling/shard_map.h"
#include "services/pomelospard/ledger_controller.h"
#include "services/pomelospard/runner_controller.h"

namespace pomelospar::daemon {
namespace {

// A domain whose runner could not be reached is tried again after this.
constexpr core::Duration kAvoidDomainTime = std::chrono::seconds(2);

void SendPlan(Blackboard& board) {
  for (auto& demand : board.planner->Plan(board.queues, board.clock.now())) {
    board.outbox->Add(demand.receiver, std::move(demand.message), &wire::Message::mutable_demand);
  }
}

void RunAllocator(Blackboard& board, scheduling::SlotAllocator& allocator) {
  if (!MayAllocate(board)) {
    return;
  }
  auto output = allocator.Decide(board.clock.now());
  for (auto& grant : output.grants) {
    board.outbox->Add(grant.receiver, std::move(grant.message), &wire::Message::mutable_grant);
  }
  for (auto& acknowledgement : output.acknowledgements) {
    board.outbox->Add(acknowledgement.receiver, std::move(acknowledgement.message),
                      &wire::Message::mutable_demand_ack);
  }
}

core::ShardIdentity ShardOf(const wire::Shard& shard) {
  return {core::UpstreamId{shard.upstream()}, core::DomainId{shard.domain()}, shard.index()};
}

// The routers that may allocate the runners of a domain. If the domain has no live router, those
// of all other domains may, so that its runners are not lost with its routers.
std::vector<core::RouterIdentity> CandidatesOf(const Blackboard& board, core::DomainId domain) {
  auto routers = board.members->LiveRouters(domain);
  if (!routers.empty()) {
    return routers;
  }
  routers = board.members->LiveMembers();
  routers.push_back(board.self);
  return routers;
}

std::vector<scheduling::RunnerSlots> SlotsOf(const Blackboard& board,
                                             const std::vector<core::RunnerId>& runners) {
  std::vector<scheduling::RunnerSlots> slots;
  for (const auto id : runners) {
    const auto* runner = board.runners.Find(id);
    if (runner == nullptr) {
      continue;
    }
    const bool usable = IsUsable(board, *runner);
    slots.push_back({.runner = id, .slots = runner->slots, .usable = usable});
  }
  return slots;
}

std::vector<scheduling::ClassWeight> WeightsOf(const configuration::Configuration& configuration) {
  std::vector<scheduling::ClassWeight> weights;
  for (const auto& request_class : configuration.classes) {
    weights.push_back({request_class.id, request_class.weight});
  }
  return weights;
}

void UpdateAllocator(Blackboard& board, scheduling::SlotAllocator& allocator,
                     const std::vector<core::RunnerId>& runners) {
  const auto& shard = allocator.shard();
  const auto routers = board.members->LiveRouters(shard.domain);
  const auto order = scheduling::AllocatorOrder(shard, routers);
  allocator.SetRunners(SlotsOf(board, runners));
  allocator.SetClassWeights(WeightsOf(*board.configuration));
  allocator.SetCreditLimit(scheduling::CreditLimit(FairnessInputsOf(board)));
  allocator.SetExpectedRouters(routers);
  allocator.SetFirstInOrder(!order.empty() && order.front() == board.self, board.clock.now());
}

scheduling::SlotAllocator* AllocatorOf(Blackboard& board, const core::ShardIdentity& shard) {
  const auto runners = board.shards.find(shard);
  if (runners == board.shards.end()) {
    return nullptr;
  }
  auto& allocator = board.allocators[shard];
  if (allocator == nullptr) {
    allocator = std::make_unique<scheduling::SlotAllocator>(shard, board.ledger.get(),
                                                            board.random(), board.clock.now());
    UpdateAllocator(board, *allocator, runners->second);
  }
  return allocator.get();
}

bool IsReachable(const Blackboard& board, const configuration::Upstream& upstream,
                 core::DomainId domain) {
  if (domain == board.domain) {
    return true;
  }
  return upstream.cross_domain && !board.unreachable_domains.contains(domain);
}

void RefreshShardsOf(Blackboard& board, const configuration::Upstream& upstream) {
  std::vector<scheduling::ShardCandidates> reachable;
  for (const auto domain : board.runners.DomainsOf(upstream.id)) {
    std::vector<core::RunnerId> runners;
    for (const auto* runner : board.runners.OfPool(upstream.id, domain)) {
      runners.push_back(runner->id);
    }
    const auto candidates = CandidatesOf(board, domain);
    for (auto& assigned : scheduling::AssignShards(upstream.id, domain, runners)) {
      auto order = scheduling::AllocatorOrder(assigned.shard, candidates);
      if (domain == board.domain && !order.empty() && order.front() == board.self) {
        board.first_of.insert(assigned.shard);
      }
      if (IsReachable(board, upstream, domain)) {
        reachable.push_back({assigned.shard, std::move(order)});
      }
      board.shards.emplace(assigned.shard, std::move(assigned.runners));
    }
  }
  board.planner->SetShards(upstream.id, reachable);
}

void RefreshShards(Blackboard& board) {
  board.shards_outdated = false;
  board.shards.clear();
  board.first_of.clear();
  for (const auto& upstream : board.configuration->upstreams) {
    RefreshShardsOf(board, upstream);
  }
  std::erase_if(board.allocators,
                [&](const auto& item) { return !board.shards.contains(item.first); });
  for (auto& [shard, allocator] : board.allocators) {
    UpdateAllocator(board, *allocator, board.shards.at(shard));
    RunAllocator(board, *allocator);
  }
  SendPlan(board);
}

void ForgetUnreachableDomains(Blackboard& board) {
  const auto now = board.clock.now();
  const auto forgotten = std::erase_if(board.unreachable_domains,
                                       [&](const auto& item) { return item.second <= now; });
  board.shards_outdated = board.shards_outdated || forgotten > 0;
}

void EndExpired(Blackboard& board) {
  for (const auto& request : board.queues.TakeExpired(board.clock.now())) {
    const auto waiting = board.waiting.extract(request.id);
    if (!waiting.empty()) {
      waiting.mapped()(std::nullopt);
    }
  }
}

}  // namespace

scheduling::PushResult EnqueueRequest(Blackboard& board, const scheduling::QueuedRequest& request,
                                      SlotCallback callback) {
  const auto result = board.queues.Push(request);
  if (result == scheduling::PushResult::kAccepted) {
    board.waiting.emplace(request.id, std::move(callback));
    SendPlan(board);
  }
  return result;
}

void RequeueRequest(Blackboard& board, const scheduling::QueuedRequest& request,
                    SlotCallback callback) {
  board.queues.Requeue(request);
  board.waiting.emplace(request.id, std::move(callback));
  SendPlan(board);
}

bool CancelRequest(Blackboard& board, std::uint64_t id) {
  const bool removed = board.queues.Remove(id);
  board.waiting.erase(id);
  if (removed) {
    SendPlan(board);
  }
  return removed;
}

void ChargeService(Blackboard& board, std::uint64_t grant, core::WorkspaceId workspace,
                   double cost) {
  board.ledger->Charge(workspace, cost);
  board.planner->Charge(grant, cost);
}

void ReleaseSlot(Blackboard& board, std::uint64_t grant, core::WorkspaceId workspace,
                 wire::ReleaseReason reason) {
  for (auto& release : board.planner->Finish(grant, reason, board.ledger->OwnCounter(workspace))) {
    board.outbox->Add(release.receiver, std::move(release.message),
                      &wire::Message::mutable_release);
  }
  SendPlan(board);
}

void HandleDemand(Blackboard& board, const core::RouterIdentity& sender,
                  const wire::Demand& demand) {
  auto* allocator = AllocatorOf(board, ShardOf(demand.shard()));
  if (allocator == nullptr) {
    return;
  }
  allocator->Receive(sender, demand, board.clock.now());
  RunAllocator(board, *allocator);
}

void HandleRelease(Blackboard& board, const core::RouterIdentity& sender,
                   const wire::Release& release) {
  const auto found = board.allocators.find(ShardOf(release.shard()));
  if (found == board.allocators.end()) {
    return;
  }
  const auto now = board.clock.now();
  const auto* member = board.members->Find(sender);
  if (IsOfOwnDomain(board, sender)) {
    found->second->Receive(sender, release, now);
  } else {
    // Counters of another domain are part of its sum; as rows of the own domain they count twice.
    auto without_counter = release;
    without_counter.clear_service_counter();
    if (member != nullptr) {
      board.ledger->MergeForeignCounter(member->domain, sender.incarnation,
                                        core::WorkspaceId{release.workspace()},
                                        release.service_counter(), now);
    }
    found->second->Receive(sender, without_counter, now);
  }
  RunAllocator(board, *found->second);
}

void HandleGrant(Blackboard& board, const core::RouterIdentity& sender, const wire::Grant& grant) {
  const auto now = board.clock.now();
  auto decision = board.planner->Accept(sender, grant, board.queues, now, now);
  if (decision.release) {
    board.outbox->Add(decision.release->receiver, std::move(decision.release->message),
                      &wire::Message::mutable_release);
  }
  if (!decision.request) {
    return;
  }
  const auto waiting = board.waiting.extract(decision.request->id);
  if (waiting.empty()) {
    ReleaseSlot(board, grant.grant(), decision.request->key.workspace, wire::RELEASE_UNUSED);
    return;
  }
  waiting.mapped()(GrantedSlot{grant.grant(), core::RunnerId{grant.runner()}});
  SendPlan(board);
}

void HandleDemandAck(Blackboard& board, const core::RouterIdentity& sender,
                     const wire::DemandAck& acknowledgement) {
  board.planner->Receive(sender, acknowledgement, board.clock.now());
}

void AvoidDomain(Blackboard& board, core::DomainId domain) {
  if (domain == board.domain) {
    return;
  }
  board.unreachable_domains[domain] = board.clock.now() + kAvoidDomainTime;
  board.shards_outdated = true;
}

void ForgetRouter(Blackboard& board, const core::RouterIdentity& router) {
  for (auto& [shard, allocator] : board.allocators) {
    allocator->RemoveRouter(router);
  }
  board.shards_outdated = true;
}

void ConfigureScheduling(Blackboard& board) {
  std::vector<scheduling::WorkspaceShare> shares;
  for (const auto& workspace : board.configuration->workspaces) {
    shares.push_back({workspace.id, workspace.share});
    board.queues.SetLimits(workspace.id, {.requests = workspace.maximum_queued_requests,
                                          .bytes = workspace.maximum_queued_bytes});
  }
  board.ledger->SetShares(shares);
  board.shards_outdated = true;
}

void TickScheduling(Blackboard& board) {
  if (board.configuration == nullptr) {
    return;
  }
  if (board.shards_outdated) {
    RefreshShards(board);
  }
  EndExpired(board);
  ForgetUnreachableDomains(board);
  const auto now = board.clock.now();
  for (auto& [shard, allocator] : board.allocators) {
    allocator->Tick(now);
    RunAllocator(board, *allocator);
  }
  SendPlan(board);
}

bool HasSchedulingWork(const Blackboard& board) {
  return !board.waiting.empty() ||
         std::any_of(board.allocators.begin(), board.allocators.end(),
                     [](const auto& item) { return !item.second->idle(); });
}

}  // namespace pomelospar::daemon
