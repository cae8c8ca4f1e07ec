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

void SendPlan(RouterState& state) {
  for (auto& demand : state.planner->Plan(state.queues, state.clock.now())) {
    state.outbox->Add(demand.receiver, std::move(demand.message), &wire::Message::mutable_demand);
  }
}

void RunAllocator(RouterState& state, scheduling::SlotAllocator& allocator) {
  if (!MayAllocate(state)) {
    return;
  }
  auto output = allocator.Decide(state.clock.now());
  for (auto& grant : output.grants) {
    state.outbox->Add(grant.receiver, std::move(grant.message), &wire::Message::mutable_grant);
  }
  for (auto& acknowledgement : output.acknowledgements) {
    state.outbox->Add(acknowledgement.receiver, std::move(acknowledgement.message),
                      &wire::Message::mutable_demand_ack);
  }
}

core::ShardIdentity ShardOf(const wire::Shard& shard) {
  return {core::UpstreamId{shard.upstream()}, core::DomainId{shard.domain()}, shard.index()};
}

// The routers that may allocate the runners of a domain. If the domain has no live router, those
// of all other domains may, so that its runners are not lost with its routers.
std::vector<core::RouterIdentity> CandidatesOf(const RouterState& state, core::DomainId domain) {
  auto routers = state.members->LiveRouters(domain);
  if (!routers.empty()) {
    return routers;
  }
  routers = state.members->LiveMembers();
  routers.push_back(state.self);
  return routers;
}

std::vector<scheduling::RunnerSlots> SlotsOf(const RouterState& state,
                                             const std::vector<core::RunnerId>& runners) {
  std::vector<scheduling::RunnerSlots> slots;
  for (const auto id : runners) {
    const auto* runner = state.runners.Find(id);
    if (runner == nullptr) {
      continue;
    }
    const bool usable = IsUsable(state, *runner);
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

void UpdateAllocator(RouterState& state, scheduling::SlotAllocator& allocator,
                     const std::vector<core::RunnerId>& runners) {
  const auto& shard = allocator.shard();
  const auto routers = state.members->LiveRouters(shard.domain);
  const auto order = scheduling::AllocatorOrder(shard, routers);
  allocator.SetRunners(SlotsOf(state, runners));
  allocator.SetClassWeights(WeightsOf(*state.configuration));
  allocator.SetCreditLimit(scheduling::CreditLimit(FairnessInputsOf(state)));
  allocator.SetExpectedRouters(routers);
  allocator.SetFirstInOrder(!order.empty() && order.front() == state.self, state.clock.now());
}

scheduling::SlotAllocator* AllocatorOf(RouterState& state, const core::ShardIdentity& shard) {
  const auto runners = state.shards.find(shard);
  if (runners == state.shards.end()) {
    return nullptr;
  }
  auto& allocator = state.allocators[shard];
  if (allocator == nullptr) {
    allocator = std::make_unique<scheduling::SlotAllocator>(shard, state.ledger.get(),
                                                            state.random(), state.clock.now());
    UpdateAllocator(state, *allocator, runners->second);
  }
  return allocator.get();
}

bool IsReachable(const RouterState& state, const configuration::Upstream& upstream,
                 core::DomainId domain) {
  if (domain == state.domain) {
    return true;
  }
  return upstream.cross_domain && !state.unreachable_domains.contains(domain);
}

void RefreshShardsOf(RouterState& state, const configuration::Upstream& upstream) {
  std::vector<scheduling::ShardCandidates> reachable;
  for (const auto domain : state.runners.DomainsOf(upstream.id)) {
    std::vector<core::RunnerId> runners;
    for (const auto* runner : state.runners.OfPool(upstream.id, domain)) {
      runners.push_back(runner->id);
    }
    const auto candidates = CandidatesOf(state, domain);
    for (auto& assigned : scheduling::AssignShards(upstream.id, domain, runners)) {
      auto order = scheduling::AllocatorOrder(assigned.shard, candidates);
      if (domain == state.domain && !order.empty() && order.front() == state.self) {
        state.allocated_shards.insert(assigned.shard);
      }
      if (IsReachable(state, upstream, domain)) {
        reachable.push_back({assigned.shard, std::move(order)});
      }
      state.shards.emplace(assigned.shard, std::move(assigned.runners));
    }
  }
  state.planner->SetShards(upstream.id, reachable);
}

void RefreshShards(RouterState& state) {
  state.shards_outdated = false;
  state.shards.clear();
  state.allocated_shards.clear();
  for (const auto& upstream : state.configuration->upstreams) {
    RefreshShardsOf(state, upstream);
  }
  std::erase_if(state.allocators,
                [&](const auto& item) { return !state.shards.contains(item.first); });
  for (auto& [shard, allocator] : state.allocators) {
    UpdateAllocator(state, *allocator, state.shards.at(shard));
    RunAllocator(state, *allocator);
  }
  SendPlan(state);
}

void ForgetUnreachableDomains(RouterState& state) {
  const auto now = state.clock.now();
  const auto forgotten = std::erase_if(state.unreachable_domains,
                                       [&](const auto& item) { return item.second <= now; });
  state.shards_outdated = state.shards_outdated || forgotten > 0;
}

void FailExpiredRequests(RouterState& state) {
  for (const auto& request : state.queues.TakeExpired(state.clock.now())) {
    const auto waiting = state.waiting.extract(request.id);
    if (!waiting.empty()) {
      waiting.mapped()(std::nullopt);
    }
  }
}

}  // namespace

scheduling::PushResult EnqueueRequest(RouterState& state, const scheduling::QueuedRequest& request,
                                      SlotCallback callback) {
  const auto result = state.queues.Push(request);
  if (result == scheduling::PushResult::kAccepted) {
    state.waiting.emplace(request.id, std::move(callback));
    SendPlan(state);
  }
  return result;
}

void RequeueRequest(RouterState& state, const scheduling::QueuedRequest& request,
                    SlotCallback callback) {
  state.queues.Requeue(request);
  state.waiting.emplace(request.id, std::move(callback));
  SendPlan(state);
}

bool CancelRequest(RouterState& state, std::uint64_t id) {
  const bool removed = state.queues.Remove(id);
  state.waiting.erase(id);
  if (removed) {
    SendPlan(state);
  }
  return removed;
}

void ChargeService(RouterState& state, std::uint64_t grant, core::WorkspaceId workspace,
                   double cost) {
  state.ledger->Charge(workspace, cost);
  state.planner->Charge(grant, cost);
}

void ReleaseSlot(RouterState& state, std::uint64_t grant, core::WorkspaceId workspace,
                 wire::ReleaseReason reason) {
  for (auto& release : state.planner->Finish(grant, reason, state.ledger->OwnCounter(workspace))) {
    state.outbox->Add(release.receiver, std::move(release.message),
                      &wire::Message::mutable_release);
  }
  SendPlan(state);
}

void HandleDemand(RouterState& state, const core::RouterIdentity& sender,
                  const wire::Demand& demand) {
  auto* allocator = AllocatorOf(state, ShardOf(demand.shard()));
  if (allocator == nullptr) {
    return;
  }
  allocator->Receive(sender, demand, state.clock.now());
  RunAllocator(state, *allocator);
}

void HandleRelease(RouterState& state, const core::RouterIdentity& sender,
                   const wire::Release& release) {
  const auto found = state.allocators.find(ShardOf(release.shard()));
  if (found == state.allocators.end()) {
    return;
  }
  const auto now = state.clock.now();
  const auto* member = state.members->Find(sender);
  if (IsOfOwnDomain(state, sender)) {
    found->second->Receive(sender, release, now);
  } else {
    // Counters of another domain are part of that domain's sum; as rows of this router's domain
    // they would count twice.
    auto without_counter = release;
    without_counter.clear_service_counter();
    if (member != nullptr) {
      state.ledger->MergeForeignCounter(member->domain, sender.incarnation,
                                        core::WorkspaceId{release.workspace()},
                                        release.service_counter(), now);
    }
    found->second->Receive(sender, without_counter, now);
  }
  RunAllocator(state, *found->second);
}

void HandleGrant(RouterState& state, const core::RouterIdentity& sender, const wire::Grant& grant) {
  const auto now = state.clock.now();
  auto decision = state.planner->Accept(sender, grant, state.queues, now, now);
  if (decision.release) {
    state.outbox->Add(decision.release->receiver, std::move(decision.release->message),
                      &wire::Message::mutable_release);
  }
  if (!decision.request) {
    return;
  }
  const auto waiting = state.waiting.extract(decision.request->id);
  if (waiting.empty()) {
    ReleaseSlot(state, grant.grant(), decision.request->key.workspace, wire::RELEASE_UNUSED);
    return;
  }
  waiting.mapped()(GrantedSlot{grant.grant(), core::RunnerId{grant.runner()}});
  SendPlan(state);
}

void HandleDemandAck(RouterState& state, const core::RouterIdentity& sender,
                     const wire::DemandAck& acknowledgement) {
  state.planner->Receive(sender, acknowledgement, state.clock.now());
}

void AvoidDomain(RouterState& state, core::DomainId domain) {
  if (domain == state.domain) {
    return;
  }
  state.unreachable_domains[domain] = state.clock.now() + kAvoidDomainTime;
  state.shards_outdated = true;
}

void ForgetRouter(RouterState& state, const core::RouterIdentity& router) {
  for (auto& [shard, allocator] : state.allocators) {
    allocator->RemoveRouter(router);
  }
  state.shards_outdated = true;
}

void ConfigureScheduling(RouterState& state) {
  std::vector<scheduling::WorkspaceShare> shares;
  for (const auto& workspace : state.configuration->workspaces) {
    shares.push_back({workspace.id, workspace.share});
    state.queues.SetLimits(workspace.id, {.requests = workspace.maximum_queued_requests,
                                          .bytes = workspace.maximum_queued_bytes});
  }
  state.ledger->SetShares(shares);
  state.shards_outdated = true;
}

void TickScheduling(RouterState& state) {
  if (state.configuration == nullptr) {
    return;
  }
  if (state.shards_outdated) {
    RefreshShards(state);
  }
  FailExpiredRequests(state);
  ForgetUnreachableDomains(state);
  const auto now = state.clock.now();
  for (auto& [shard, allocator] : state.allocators) {
    allocator->Tick(now);
    RunAllocator(state, *allocator);
  }
  SendPlan(state);
}

bool HasSchedulingWork(const RouterState& state) {
  return !state.waiting.empty() ||
         std::any_of(state.allocators.begin(), state.allocators.end(),
                     [](const auto& item) { return !item.second->idle(); });
}

}  // namespace pomelospar::daemon
