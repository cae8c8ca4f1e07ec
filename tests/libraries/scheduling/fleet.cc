#include "tests/libraries/scheduling/fleet.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

namespace pomelospar::scheduling {
namespace {

constexpr core::UpstreamId kUpstream{1};
constexpr core::ClassId kClass{1};
constexpr core::Duration kMembershipDelay = std::chrono::seconds(3);
constexpr core::Duration kTickPeriod = std::chrono::milliseconds(100);
/// Encoded size of one row of a report.
constexpr std::size_t kReportRowBytes = 16;
/// The rest of a report: a refreshed row with an offset, and the header.
constexpr std::size_t kReportFixedBytes = 45;

core::DomainId DomainOf(std::size_t domain) { return core::DomainId{domain + 1}; }
core::WorkspaceId WorkspaceOf(std::size_t workspace) { return core::WorkspaceId{workspace + 1}; }
core::RunnerId RunnerOf(std::size_t runner) { return core::RunnerId{runner + 1}; }

core::ShardIdentity ShardOf(const wire::Shard& shard) {
  return {core::UpstreamId{shard.upstream()}, core::DomainId{shard.domain()}, shard.index()};
}

core::Duration Seconds(double seconds) {
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

Fleet::Fleet(const FleetOptions& options)
    : options(options),
      random(options.seed),
      service(options.shares.size()),
      service_at_reset(options.shares.size()),
      served(options.shares.size()),
      observed(this->clock.now()) {
  for (std::size_t index = 0; index < options.runners; ++index) {
    this->runners.push_back({.domain = index % options.domains, .id = RunnerOf(index)});
  }
  for (std::size_t index = 0; index < options.routers; ++index) {
    this->nodes.push_back(this->MakeNode(index));
  }
  this->UpdateViews();
  this->Tick();
  for (const auto& node : this->nodes) {
    this->Report(*node);
    this->ReportDomain(*node);
  }
}

std::unique_ptr<Fleet::Node> Fleet::MakeNode(std::size_t index) {
  auto node = std::make_unique<Node>();
  node->identity = {"router" + std::to_string(index), this->random()};
  node->domain = index % this->options.domains;
  node->ledger =
      std::make_unique<ServiceLedger>(node->identity.incarnation, DomainOf(node->domain));
  std::vector<WorkspaceShare> shares;
  for (std::size_t workspace = 0; workspace < this->options.shares.size(); ++workspace) {
    shares.push_back({WorkspaceOf(workspace), this->options.shares[workspace]});
  }
  node->ledger->SetShares(shares);
  node->planner =
      std::make_unique<DemandPlanner>(DomainOf(node->domain), node->identity.incarnation);
  node->local_service.resize(this->options.shares.size());
  node->load.resize(this->options.shares.size());
  node->queued.resize(this->options.shares.size());
  return node;
}

void Fleet::Run(core::Duration duration) {
  const auto end = this->clock.now() + duration;
  while (!this->events.empty() && this->events.top().time <= end) {
    const auto event = this->events.top();
    this->events.pop();
    this->clock.Advance(event.time - this->clock.now());
    event.action();
  }
  this->clock.Advance(end - this->clock.now());
  this->Observe();
}

void Fleet::SetLoad(std::size_t workspace, std::size_t router, std::size_t depth) {
  auto& node = *this->nodes[router];
  node.load[workspace] = depth;
  if (depth == 0) {
    for (auto entry = node.waiting.begin(); entry != node.waiting.end();) {
      if (entry->second != workspace) {
        ++entry;
        continue;
      }
      node.queues.Remove(entry->first);
      entry = node.waiting.erase(entry);
    }
    node.queued[workspace] = 0;
  }
  this->Pump(node);
}

void Fleet::SetCut(std::size_t domain, bool cut) {
  const auto change = [domain, cut](std::set<std::size_t>& domains) {
    if (cut) {
      domains.insert(domain);
    } else {
      domains.erase(domain);
    }
  };
  change(this->cut_domains);
  this->At(this->clock.now() + kMembershipDelay, [this, change] {
    change(this->seen_cut_domains);
    this->UpdateViews();
    for (const auto& node : this->nodes) {
      this->SendReport(*node, node->ledger->FullReport());
      for (std::size_t other = 0; other < this->options.domains; ++other) {
        this->SendDomainReport(*node, other, node->ledger->FullDomainReport());
      }
    }
  });
}

void Fleet::Restart(std::size_t router) {
  auto next = this->MakeNode(router);
  next->load = this->nodes[router]->load;
  this->nodes[router]->stopped = true;
  this->former_nodes.push_back(std::exchange(this->nodes[router], std::move(next)));
  auto& node = *this->nodes[router];
  // The next router of the same domain, or any if the restarted one is alone in it.
  auto next_router = (router + this->options.domains) % this->nodes.size();
  while (this->nodes[next_router]->domain != node.domain) {
    next_router = (next_router + 1) % this->nodes.size();
  }
  const bool alone = next_router == router;
  const auto& helper = *this->nodes[alone ? (router + 1) % this->nodes.size() : next_router];
  for (const auto& part : alone ? helper.ledger->SumState(5) : helper.ledger->State(5)) {
    this->Send(helper, node.identity, [this, &helper, part](Node& receiver) {
      receiver.ledger->MergeState(helper.identity.incarnation, part, this->clock.now());
      receiver.ledger->InheritSums();
    });
  }
  this->UpdateViews();
  this->Report(node);
  this->ReportDomain(node);
}

void Fleet::SetRunner(std::size_t runner, bool alive) {
  this->Observe();
  this->runners[runner].alive = alive;
  // The notice that a runner is down takes a second; failed requests tell the allocator before.
  this->At(this->clock.now() + (alive ? core::Duration{} : Seconds(1)),
           [this] { this->UpdateViews(); });
}

void Fleet::SetAlone(std::size_t router, bool alone) {
  this->nodes[router]->alone = alone;
  this->UpdateViews();
}

double Fleet::Normalised(std::size_t workspace) const {
  return this->service[workspace] / this->options.shares[workspace];
}

double Fleet::Utilisation() const { return this->used_time / this->slot_time; }

const std::map<std::uint64_t, std::size_t>& Fleet::served_callers(std::size_t workspace) const {
  return this->served[workspace];
}

void Fleet::ResetMeters(const std::vector<std::size_t>& watched) {
  this->Observe();
  this->watched = watched;
  this->service_at_reset = this->service;
  this->largest_gap = 0.0;
  this->used_time = 0.0;
  this->slot_time = 0.0;
  this->peak_in_use = 0;
}

FairnessInputs Fleet::Inputs() const {
  const auto slots = static_cast<std::uint32_t>(this->options.runners) * this->options.slots;
  const double largest = this->options.estimate * this->options.error_factor;
  return {.largest_request_cost = largest,
          .highest_service_rate = slots * this->options.slot_rate,
          .staleness =
              this->PeriodOfReports() + this->PeriodOfDomainReports() + 2 * this->options.delay,
          .slots = slots,
          .largest_uncharged_cost = largest,
          .smallest_share = *std::ranges::min_element(this->options.shares)};
}

void Fleet::At(core::TimePoint time, std::function<void()> action) {
  this->events.push({time, this->event_order++, std::move(action)});
}

bool Fleet::Reaches(const Node& sender, const Node& receiver) const {
  return sender.domain == receiver.domain || (!this->cut_domains.contains(sender.domain) &&
                                              !this->cut_domains.contains(receiver.domain));
}

Fleet::Node* Fleet::Find(const core::RouterIdentity& identity) {
  const auto found = std::ranges::find_if(
      this->nodes, [&identity](const auto& node) { return node->identity == identity; });
  return found == this->nodes.end() ? nullptr : found->get();
}

void Fleet::Send(const Node& sender, const core::RouterIdentity& receiver,
                 std::function<void(Node&)> deliver) {
  const auto* target = this->Find(receiver);
  if (target == nullptr || !this->Reaches(sender, *target)) {
    return;
  }
  core::Duration delay{};
  if (target != &sender) {
    ++this->sent_messages;
    if (this->loss > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss) {
      return;
    }
    delay = target->domain == sender.domain ? this->options.delay / 5 : this->options.delay;
  }
  this->At(this->clock.now() + delay, [this, receiver, deliver = std::move(deliver)] {
    auto* node = this->Find(receiver);
    if (node != nullptr) {
      deliver(*node);
      this->Pump(*node);
    }
  });
}

std::vector<ShardRunners> Fleet::Shards() const {
  std::vector<ShardRunners> shards;
  for (std::size_t domain = 0; domain < this->options.domains; ++domain) {
    std::vector<core::RunnerId> ids;
    for (const auto& runner : this->runners) {
      if (runner.domain == domain) {
        ids.push_back(runner.id);
      }
    }
    for (auto& shard : AssignShards(kUpstream, DomainOf(domain), ids)) {
      shards.push_back(std::move(shard));
    }
  }
  return shards;
}

SlotAllocator& Fleet::AllocatorOf(Node& node, const core::ShardIdentity& shard, bool first) {
  auto& allocator = node.allocators[shard];
  if (allocator != nullptr) {
    return *allocator;
  }
  allocator =
      std::make_unique<SlotAllocator>(shard, node.ledger.get(), this->random(), this->clock.now());
  allocator->SetFirst(first, this->clock.now());
  if (this->options.mutations.raise_offsets) {
    allocator->SetCreditLimit(CreditLimit(this->Inputs()));
  }
  std::vector<RunnerSlots> slots;
  for (const auto& entry : this->Shards()) {
    for (const auto id : entry.shard == shard ? entry.runners : std::vector<core::RunnerId>{}) {
      const auto& runner = this->runners[core::Raw(id) - 1];
      slots.push_back({id, this->options.slots, runner.alive});
    }
  }
  allocator->SetRunners(slots);
  return *allocator;
}

void Fleet::UpdateViews() {
  for (const auto& node : this->nodes) {
    this->UpdateView(*node);
    this->Pump(*node);
  }
}

void Fleet::UpdateView(Node& node) {
  const auto seen = [&](const Node& other) {
    return other.domain == node.domain || (!this->seen_cut_domains.contains(other.domain) &&
                                           !this->seen_cut_domains.contains(node.domain));
  };
  std::vector<ShardCandidates> candidates;
  for (const auto& entry : this->Shards()) {
    std::vector<core::RouterIdentity> live;
    for (const auto& other : this->nodes) {
      const bool hidden = node.alone && other.get() != &node;
      const bool serves = DomainOf(other->domain) == entry.shard.domain;
      if (serves && seen(*other) && !(hidden && other->domain == node.domain)) {
        live.push_back(other->identity);
      }
    }
    auto order = AllocatorOrder(entry.shard, live);
    const bool first = !order.empty() && order.front() == node.identity;
    if (first || node.allocators.contains(entry.shard)) {
      auto& allocator = this->AllocatorOf(node, entry.shard, first);
      allocator.SetFirst(first, this->clock.now());
      std::vector<RunnerSlots> slots;
      for (const auto id : entry.runners) {
        slots.push_back({id, this->options.slots, this->runners[core::Raw(id) - 1].alive});
      }
      allocator.SetRunners(slots);
      for (const auto& other : this->nodes) {
        if (!seen(*other)) {
          allocator.RemoveRouter(other->identity);
        }
      }
    }
    if (!order.empty()) {
      candidates.push_back({entry.shard, std::move(order)});
    }
  }
  node.planner->SetShards(kUpstream, candidates);
}

void Fleet::Refill(Node& node) {
  for (std::size_t workspace = 0; workspace < node.load.size(); ++workspace) {
    while (node.queued[workspace] < node.load[workspace]) {
      const bool fleet = this->options.policy == Policy::kFleet;
      QueuedRequest request;
      request.id = this->next_request++;
      // The baselines ask for slots on behalf of the router and choose the request themselves.
      request.key = {kUpstream, WorkspaceOf(fleet ? workspace : 0), kClass};
      request.caller = fleet ? this->random() % this->options.callers : 0;
      request.estimated_cost = this->options.estimate;
      request.enqueued = this->clock.now();
      request.deadline = core::TimePoint::max();
      if (node.queues.Push(request) != PushResult::kAccepted) {
        break;
      }
      node.waiting.emplace(request.id, workspace);
      ++node.queued[workspace];
    }
  }
}

void Fleet::Pump(Node& node) {
  const auto now = this->clock.now();
  this->Refill(node);
  for (const auto& [receiver, demand] : node.planner->Plan(node.queues, now)) {
    this->Send(node, receiver, [this, sender = node.identity, demand = demand](Node& target) {
      this->AllocatorOf(target, ShardOf(demand.shard()), false)
          .Receive(sender, demand, this->clock.now());
    });
  }
  for (const auto& [shard, allocator] : node.allocators) {
    const auto output = allocator->Decide(now);
    for (const auto& [receiver, grant] : output.grants) {
      this->Send(node, receiver, [this, sender = node.identity, grant = grant](Node& target) {
        this->Accept(target, sender, grant);
      });
    }
    for (const auto& [receiver, answer] : output.acknowledgements) {
      this->Send(node, receiver, [this, sender = node.identity, answer = answer](Node& target) {
        target.planner->Receive(sender, answer, this->clock.now());
      });
    }
  }
  auto next = node.planner->NextPlan(node.queues, now);
  for (const auto& [shard, allocator] : node.allocators) {
    next = std::min(next, allocator->NextDecision().value_or(next));
  }
  next = std::max(next, now + Seconds(1e-6));
  if (next < node.wake || node.wake <= now) {
    node.wake = next;
    this->At(next, [this, &node] {
      if (!node.stopped) {
        this->Pump(node);
      }
    });
  }
}

std::size_t Fleet::Choose(Node& node, std::uint64_t request) {
  auto chosen = node.waiting.find(request);
  if (this->options.policy == Policy::kLocalFair) {
    const auto normalised = [&](const auto& entry) {
      return node.local_service[entry.second] / this->options.shares[entry.second];
    };
    const auto lowest = std::ranges::min_element(node.waiting, {}, normalised);
    std::swap(lowest->second, chosen->second);
  }
  const auto workspace = chosen->second;
  node.waiting.erase(chosen);
  --node.queued[workspace];
  return workspace;
}

void Fleet::Accept(Node& node, const core::RouterIdentity& sender, const wire::Grant& grant) {
  const auto now = this->clock.now();
  const auto decision = node.planner->Accept(sender, grant, node.queues, now, now);
  if (decision.release.has_value()) {
    this->Send(node, decision.release->receiver,
               [this, from = node.identity, release = decision.release->message](Node& target) {
                 this->AllocatorOf(target, ShardOf(release.shard()), false)
                     .Receive(from, release, this->clock.now());
               });
  }
  if (!decision.request.has_value()) {
    return;
  }
  const auto workspace = this->Choose(node, decision.request->id);
  ++this->served[workspace][decision.request->caller];
  const auto runner = grant.runner() - 1;
  this->Observe();
  ++this->runners[runner].running;
  const double exponent = std::uniform_real_distribution<double>(-1, 1)(this->random);
  const double cost = this->options.estimate * std::pow(this->options.error_factor, exponent);
  // Work in a baseline starts with its estimate, so that the routers' own order sees it.
  node.local_service[workspace] += cost;
  this->Serve(node, grant.grant(), workspace, runner, cost, 0);
}

void Fleet::Serve(Node& node, std::uint64_t grant, std::size_t workspace, std::size_t runner,
                  double cost, int part) {
  if (node.stopped || !this->runners[runner].alive || part == this->options.charges) {
    this->Observe();
    --this->runners[runner].running;
    const bool failed = part < this->options.charges;
    this->Finish(node, grant, workspace,
                 failed ? wire::RELEASE_RUNNER_FAILED : wire::RELEASE_FINISHED);
    return;
  }
  const double step = cost / this->options.charges;
  this->At(this->clock.now() + Seconds(step / this->options.slot_rate), [=, this, &node] {
    if (!node.stopped && this->runners[runner].alive) {
      const bool fleet = this->options.policy == Policy::kFleet;
      node.ledger->Charge(WorkspaceOf(fleet ? workspace : 0), step);
      node.planner->Charge(grant, step);
      this->service[workspace] += step;
      this->Observe();
    }
    this->Serve(node, grant, workspace, runner, cost, part + 1);
  });
}

void Fleet::Finish(Node& node, std::uint64_t grant, std::size_t workspace,
                   wire::ReleaseReason reason) {
  if (node.stopped) {
    return;
  }
  const bool fleet = this->options.policy == Policy::kFleet;
  const double counter = this->options.mutations.merge_reports
                             ? node.ledger->OwnCounter(WorkspaceOf(fleet ? workspace : 0))
                             : 0.0;
  for (const auto& [receiver, release] : node.planner->Finish(grant, reason, counter)) {
    this->Send(
        node, receiver,
        [this, from = node.identity, domain = node.domain,
         release = release](Node& target) mutable {
          const auto now = this->clock.now();
          if (domain != target.domain) {
            target.ledger->MergeForeignCounter(DomainOf(domain), from.incarnation,
                                               core::WorkspaceId{release.workspace()},
                                               release.service_counter(), now);
            release.clear_service_counter();
          }
          this->AllocatorOf(target, ShardOf(release.shard()), false).Receive(from, release, now);
        });
  }
  this->Pump(node);
}

core::Duration Fleet::PeriodOfReports() const {
  const auto members = (this->options.routers - 1) / this->options.domains;
  return MemberReportPeriod(members,
                            this->options.shares.size() * kReportRowBytes + kReportFixedBytes);
}

core::Duration Fleet::PeriodOfDomainReports() const {
  std::size_t most = 0;
  for (const auto& node : this->nodes) {
    std::size_t bytes = 0;
    for (const auto& receiver : this->nodes) {
      for (std::size_t workspace = 0; workspace < this->options.shares.size(); ++workspace) {
        if (receiver->domain != node->domain && this->IsHome(*node, receiver->domain, workspace)) {
          bytes += kReportRowBytes;
        }
      }
      bytes += receiver->domain != node->domain ? kReportFixedBytes : 0;
    }
    most = std::max(most, bytes);
  }
  return DomainReportPeriod(most);
}

bool Fleet::IsHome(const Node& node, std::size_t destination, std::size_t workspace) const {
  std::vector<core::RouterIdentity> live;
  for (const auto& other : this->nodes) {
    if (other->domain == node.domain) {
      live.push_back(other->identity);
    }
  }
  const auto* home =
      HomeRouter(DomainOf(node.domain), DomainOf(destination), WorkspaceOf(workspace), live);
  return home != nullptr && *home == node.identity;
}

void Fleet::SendReport(Node& node, const wire::ServiceReport& report) {
  for (const auto& other : this->nodes) {
    if (other.get() != &node && other->domain == node.domain &&
        this->options.mutations.merge_reports) {
      this->Send(node, other->identity,
                 [this, incarnation = node.identity.incarnation, report](Node& target) {
                   target.ledger->Merge(incarnation, report, this->clock.now());
                 });
    }
  }
}

void Fleet::SendDomainReport(Node& node, std::size_t domain, const wire::DomainReport& report) {
  for (const auto& other : this->nodes) {
    if (domain != node.domain && other->domain == domain && this->options.mutations.merge_reports) {
      this->Send(node, other->identity, [report](Node& target) { target.ledger->Merge(report); });
    }
  }
}

void Fleet::ReportDomain(Node& node) {
  if (node.stopped) {
    return;
  }
  std::size_t round_bytes = 0;
  for (std::size_t domain = 0; domain < this->options.domains; ++domain) {
    const auto is_home = [&](core::WorkspaceId workspace) {
      return this->IsHome(node, domain, core::Raw(workspace) - 1);
    };
    if (domain == node.domain) {
      continue;
    }
    if (const auto report = node.ledger->TakeDomainReport(DomainOf(domain), is_home)) {
      const auto receivers = std::ranges::count_if(
          this->nodes, [domain](const auto& other) { return other->domain == domain; });
      round_bytes += static_cast<std::size_t>(receivers) * report->ByteSizeLong();
      this->SendDomainReport(node, domain, *report);
    }
  }
  this->At(this->clock.now() + DomainReportPeriod(round_bytes),
           [this, &node] { this->ReportDomain(node); });
}

void Fleet::Report(Node& node) {
  if (node.stopped) {
    return;
  }
  const auto report = node.ledger->TakeReport();
  if (report.has_value()) {
    this->SendReport(node, *report);
  }
  this->At(this->clock.now() + this->PeriodOfReports(), [this, &node] { this->Report(node); });
}

void Fleet::Tick() {
  for (const auto& node : this->nodes) {
    for (const auto& [shard, allocator] : node->allocators) {
      allocator->Tick(this->clock.now());
    }
    this->Pump(*node);
  }
  this->At(this->clock.now() + kTickPeriod, [this] { this->Tick(); });
}

void Fleet::Observe() {
  const double elapsed = std::chrono::duration<double>(this->clock.now() - this->observed).count();
  this->observed = this->clock.now();
  std::size_t running = 0;
  for (const auto& runner : this->runners) {
    running += runner.running;
    if (runner.alive) {
      this->slot_time += elapsed * this->options.slots;
      this->used_time +=
          elapsed * static_cast<double>(std::min<std::size_t>(runner.running, this->options.slots));
    }
  }
  this->peak_in_use = std::max(this->peak_in_use, running);
  double lowest = std::numeric_limits<double>::infinity();
  double highest = -lowest;
  for (const auto workspace : this->watched) {
    const double received = (this->service[workspace] - this->service_at_reset[workspace]) /
                            this->options.shares[workspace];
    lowest = std::min(lowest, received);
    highest = std::max(highest, received);
  }
  if (!this->watched.empty()) {
    this->largest_gap = std::max(this->largest_gap, highest - lowest);
  }
}

}  // namespace pomelospar::scheduling
