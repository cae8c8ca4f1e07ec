#include "tests/libraries/scheduling/fleet.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>
#include <utility>

#include "tests/libraries/scheduling/fleet_identifiers.h"

namespace pomelospar::scheduling {
namespace {

constexpr core::Duration kMembershipDelay = std::chrono::seconds(3);
constexpr core::Duration kTickPeriod = std::chrono::milliseconds(100);

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
    this->ReportPeriodically(*node);
    this->ReportDomainPeriodically(*node);
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
  this->Schedule(this->clock.now() + kMembershipDelay, [this, change] {
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
  // The state comes from another router of the same domain, or from any router if the restarted one
  // is alone in its domain.
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
  this->ReportPeriodically(node);
  this->ReportDomainPeriodically(node);
}

void Fleet::SetRunner(std::size_t runner, bool alive) {
  this->Observe();
  this->runners[runner].alive = alive;
  // The notice that a runner is down takes a second. Failed requests tell the allocator earlier.
  this->Schedule(this->clock.now() + (alive ? core::Duration{} : Seconds(1)),
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

void Fleet::ResetMeasurements(const std::vector<std::size_t>& watched) {
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

void Fleet::Schedule(core::TimePoint time, std::function<void()> action) {
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
  this->Schedule(this->clock.now() + delay, [this, receiver, deliver = std::move(deliver)] {
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
  allocator->SetFirstInOrder(first, this->clock.now());
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
      allocator.SetFirstInOrder(first, this->clock.now());
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

void Fleet::Tick() {
  for (const auto& node : this->nodes) {
    for (const auto& [shard, allocator] : node->allocators) {
      allocator->Tick(this->clock.now());
    }
    this->Pump(*node);
  }
  this->Schedule(this->clock.now() + kTickPeriod, [this] { this->Tick(); });
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
