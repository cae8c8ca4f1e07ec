#include "libraries/scheduling/demand_planner.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "libraries/scheduling/slot_allocator.h"

namespace pomelospar::scheduling {
namespace {

/// Whether the queue is offered to several shards.
bool IsSpread(const QueueKey& key, const EntryQueues& queues, core::TimePoint now) {
  return queues.Depth(key) > 1 || now - queues.OldestEnqueued(key) >= kSpreadAfter;
}

core::ShardIdentity ShardOf(const wire::Shard& shard) {
  return {core::UpstreamId{shard.upstream()}, core::DomainId{shard.domain()}, shard.index()};
}

void SetShard(const core::ShardIdentity& shard, wire::Shard* message) {
  message->set_upstream(core::Raw(shard.upstream));
  message->set_domain(core::Raw(shard.domain));
  message->set_index(shard.index);
}

bool IsEstimateChanged(double left, double right) {
  return std::abs(left - right) > kEstimateTolerance * std::max(left, right);
}

wire::Release UnusedRelease(const wire::Grant& grant) {
  wire::Release release;
  *release.mutable_shard() = grant.shard();
  release.set_grant(grant.grant());
  release.set_workspace(grant.workspace());
  release.set_reason(wire::RELEASE_UNUSED);
  return release;
}

}  // namespace

void DemandPlanner::SetShards(core::UpstreamId upstream, std::span<const ShardCandidates> shards) {
  auto& pool = this->pools[upstream];
  const auto previous = std::move(pool.shards);
  pool = Pool{};
  for (const auto& entry : shards) {
    pool.shards.push_back(entry.shard);
    this->links[entry.shard].candidates = entry;
  }
  const auto others =
      std::stable_partition(pool.shards.begin(), pool.shards.end(),
                            [this](const auto& shard) { return shard.domain == this->own_domain; });
  pool.own_domain_shards = static_cast<std::size_t>(others - pool.shards.begin());
  for (const auto& shard : previous) {
    if (std::ranges::find(pool.shards, shard) == pool.shards.end()) {
      // A link without candidates sends no more demand and is removed with its last held grant.
      this->links[shard].candidates.allocators.clear();
    }
  }
}

std::vector<Addressed<wire::Demand>> DemandPlanner::Plan(const EntryQueues& queues,
                                                         core::TimePoint now) {
  for (auto& [shard, link] : this->links) {
    link.wanted.clear();
  }
  this->full_period = this->FullPeriod();
  this->Rotate(now);
  queues.ForEachKey([&](const QueueKey& key) { this->OfferQueue(key, queues, now); });
  std::vector<Addressed<wire::Demand>> output;
  for (auto entry = this->links.begin(); entry != this->links.end();) {
    auto& link = entry->second;
    if (link.candidates.allocators.empty() && link.held.empty()) {
      entry = this->links.erase(entry);
      continue;
    }
    this->PlanLink(link, now, output);
    ++entry;
  }
  return output;
}

core::TimePoint DemandPlanner::NextPlanTime(const EntryQueues& queues, core::TimePoint now) const {
  auto next = core::TimePoint::max();
  for (const auto& [shard, link] : this->links) {
    if (link.candidates.allocators.empty()) {
      continue;
    }
    if (link.unanswered_since.has_value()) {
      next = std::min(next, *link.unanswered_since + kAnswerTimeout);
    }
    if (!link.sent.empty() || !link.held.empty()) {
      const auto renew = link.held.empty() ? kKeepAlivePeriod : kRenewPeriod;
      next = std::min({next, link.last_full + this->full_period, link.last_renewed + renew});
    }
  }
  queues.ForEachKey([&](const QueueKey& key) {
    if (!IsSpread(key, queues, now)) {
      next = std::min(next, queues.OldestEnqueued(key) + kSpreadAfter);
    }
  });
  return next;
}

GrantDecision DemandPlanner::Accept(const core::RouterIdentity& sender, const wire::Grant& grant,
                                    EntryQueues& queues, core::TimePoint received,
                                    core::TimePoint now) {
  GrantDecision decision;
  if (this->held.contains(grant.grant())) {
    return decision;
  }
  const auto shard = ShardOf(grant.shard());
  const QueueKey key{shard.upstream, core::WorkspaceId{grant.workspace()},
                     core::ClassId{grant.request_class()}};
  auto* link = this->Find(shard);
  if (link != nullptr) {
    this->RecordAnswer(*link, sender, now);
  }
  const bool valid = now - received <= std::chrono::milliseconds(grant.valid_milliseconds());
  if (link != nullptr && valid) {
    decision.request = queues.Pop(key, now);
  }
  if (!decision.request.has_value()) {
    decision.release = Addressed<wire::Release>{sender, UnusedRelease(grant)};
    return decision;
  }
  this->held.emplace(grant.grant(), shard);
  link->held.emplace(grant.grant(), HeldState{shard, sender, key, core::RunnerId{grant.runner()},
                                              grant.estimated_cost(), 0.0});
  link->unconfirmed.push_back(grant.grant());
  return decision;
}

void DemandPlanner::Receive(const core::RouterIdentity& sender,
                            const wire::DemandAck& acknowledgement, core::TimePoint now) {
  auto* link = this->Find(ShardOf(acknowledgement.shard()));
  if (link == nullptr) {
    return;
  }
  this->RecordAnswer(*link, sender, now);
  if (acknowledgement.full_wanted() && link->allocator == sender) {
    link->full_due = true;
  }
}

void DemandPlanner::Charge(std::uint64_t grant, double cost) {
  const auto found = this->held.find(grant);
  if (found != this->held.end() && cost > 0.0) {
    this->links.at(found->second).held.at(grant).charged += cost;
  }
}

std::vector<Addressed<wire::Release>> DemandPlanner::Finish(std::uint64_t grant,
                                                            wire::ReleaseReason reason,
                                                            double service_counter) {
  const auto found = this->held.find(grant);
  if (found == this->held.end()) {
    return {};
  }
  auto& link = this->links.at(found->second);
  const auto state = link.held.at(grant);
  link.held.erase(grant);
  std::erase(link.unconfirmed, grant);
  this->held.erase(found);

  wire::Release release;
  SetShard(state.shard, release.mutable_shard());
  release.set_grant(grant);
  release.set_reason(reason);
  release.set_actual_cost(state.charged);
  release.set_workspace(core::Raw(state.key.workspace));
  release.set_service_counter(service_counter);
  std::vector<Addressed<wire::Release>> output = {{state.issuer, release}};
  if (link.allocator.has_value() && *link.allocator != state.issuer) {
    output.push_back({*link.allocator, release});
  }
  return output;
}

DemandPlanner::Link* DemandPlanner::Find(const core::ShardIdentity& shard) {
  const auto found = this->links.find(shard);
  return found == this->links.end() ? nullptr : &found->second;
}

void DemandPlanner::OfferQueue(const QueueKey& key, const EntryQueues& queues,
                               core::TimePoint now) {
  const auto found = this->pools.find(key.upstream);
  if (found == this->pools.end() || found->second.shards.empty()) {
    return;
  }
  const auto& pool = found->second;
  const auto depth =
      static_cast<std::uint32_t>(std::min<std::size_t>(queues.Depth(key), kDemandWindow));
  const SentRow row{depth, queues.MeanEstimatedCost(key)};
  // All queues that are offered to several shards use the same shards, so that their rows share
  // messages. Queues with a single new request are distributed over the shards by workspace.
  const bool spread = IsSpread(key, queues, now);
  const auto seed = spread ? this->rotation_seed
                           : core::CombineHashes(this->rotation_seed, core::Raw(key.workspace));
  const auto rotation = static_cast<std::size_t>(seed % (1U << 20U) + this->rotation);
  const auto offer = [&](std::size_t begin, std::size_t count, std::size_t limit) {
    for (std::size_t index = 0; index < std::min(count, limit); ++index) {
      const auto& shard = pool.shards[begin + (rotation + index) % count];
      this->links.at(shard).wanted[{key.workspace, key.request_class}] = row;
    }
  };
  const auto others = pool.shards.size() - pool.own_domain_shards;
  if (!spread) {
    if (pool.own_domain_shards > 0) {
      offer(0, pool.own_domain_shards, 1);
    } else {
      offer(0, others, 1);
    }
    return;
  }
  const auto own =
      std::min(pool.own_domain_shards, kSpreadShards - std::min(others, kOtherDomainShards));
  offer(0, pool.own_domain_shards, own);
  offer(pool.own_domain_shards, others, kSpreadShards - own);
}

const core::RouterIdentity* DemandPlanner::ChooseAllocator(Link& link, core::TimePoint now) {
  if (link.unanswered_since.has_value() && now - *link.unanswered_since >= kAnswerTimeout) {
    link.skipped_until[*link.allocator] = now + kSkipTime;
    link.unanswered_since.reset();
    link.full_due = true;
  }
  std::erase_if(link.skipped_until, [now](const auto& entry) { return entry.second <= now; });
  for (const auto& candidate : link.candidates.allocators) {
    if (!link.skipped_until.contains(candidate)) {
      return &candidate;
    }
  }
  return link.candidates.allocators.empty() ? nullptr : &link.candidates.allocators.front();
}

void DemandPlanner::PlanLink(Link& link, core::TimePoint now,
                             std::vector<Addressed<wire::Demand>>& output) {
  if (link.wanted.empty() && link.sent.empty() && link.held.empty()) {
    link.unanswered_since.reset();
    link.full_bytes = 0;
    link.full_due = false;
    return;
  }
  const auto* allocator = this->ChooseAllocator(link, now);
  if (allocator == nullptr) {
    return;
  }
  const bool moved = !link.allocator.has_value() || *link.allocator != *allocator;
  if (moved && link.allocator.has_value()) {
    // Tell the former allocator that no demand is left: it keeps the slots of running requests but
    // issues no more grants.
    output.push_back({*link.allocator, this->FullDemand(link, {})});
  }
  link.allocator = *allocator;
  if (moved || link.full_due || now - link.last_full >= this->full_period) {
    if (moved) {
      link.unanswered_since.reset();
    }
    this->SendFull(link, *allocator, now, output);
    return;
  }
  if (link.wanted.empty() && link.sent.size() > 2 * (link.held.size() + 1)) {
    // The rotation left this shard. Full demand without these rows is shorter than one zero row for
    // each of them.
    output.push_back({*allocator, this->FullDemand(link, {})});
    link.full_bytes = 0;
    link.last_renewed = now;
    link.sent.clear();
    link.unconfirmed.clear();
    return;
  }
  const bool new_row = std::ranges::any_of(
      link.wanted, [&link](const auto& entry) { return !link.sent.contains(entry.first); });
  // A new row that follows a pause without answers requests an answer, so that a failed allocator
  // is detected within `kAnswerTimeout`.
  const bool verify =
      new_row && !link.unanswered_since.has_value() && now - link.last_answer >= kAnswerTimeout;
  const bool renew =
      now - link.last_renewed >= (link.held.empty() ? kKeepAlivePeriod : kRenewPeriod);
  auto demand = this->ChangedDemand(link);
  if (demand.rows_size() == 0 && link.unconfirmed.size() < kConfirmAfter && !renew) {
    return;
  }
  if (renew) {
    this->AddRenewals(link, demand);
    link.last_renewed = now;
  }
  if (renew || verify) {
    demand.set_answer(true);
    link.unanswered_since = link.unanswered_since.value_or(now);
  }
  demand.set_sequence(++link.sequence);
  output.push_back({*allocator, std::move(demand)});
  link.unconfirmed.clear();
}

void DemandPlanner::SendFull(Link& link, const core::RouterIdentity& allocator, core::TimePoint now,
                             std::vector<Addressed<wire::Demand>>& output) {
  auto demand = this->FullDemand(link, link.wanted);
  link.full_bytes = demand.ByteSizeLong();
  link.full_due = false;
  link.last_full = now;
  link.last_renewed = now;
  link.unanswered_since = link.unanswered_since.value_or(now);
  link.sent = link.wanted;
  link.unconfirmed.clear();
  output.push_back({allocator, std::move(demand)});
}

void DemandPlanner::AddRenewals(const Link& link, wire::Demand& demand) const {
  for (const auto& [grant, state] : link.held) {
    // The demand already contains the unconfirmed grants with all their fields.
    if (std::ranges::find(link.unconfirmed, grant) == link.unconfirmed.end()) {
      auto* held = demand.add_held();
      held->set_grant(grant);
      held->set_renew(true);
    }
  }
}

core::Duration DemandPlanner::FullPeriod() const {
  std::size_t bytes = 0;
  std::size_t largest = 0;
  for (const auto& [shard, link] : this->links) {
    bytes += link.full_bytes;
    largest = std::max(largest, link.full_bytes);
  }
  // `largest` accounts for the shard that the rotation adds in each period and that gets full
  // demand.
  const double seconds = static_cast<double>(bytes + largest) / kFullDemandBytesPerSecond;
  return std::max<core::Duration>(kFullDemandPeriod, std::chrono::duration_cast<core::Duration>(
                                                         std::chrono::duration<double>(seconds)));
}

void DemandPlanner::Rotate(core::TimePoint now) {
  const auto steps = (now - this->last_rotation) / this->full_period;
  if (steps > 0) {
    this->rotation += static_cast<std::uint64_t>(steps);
    this->last_rotation += steps * this->full_period;
  }
}

void DemandPlanner::AddHeld(std::uint64_t grant, const HeldState& state, wire::Demand& demand) {
  auto* held = demand.add_held();
  held->set_grant(grant);
  held->set_workspace(core::Raw(state.key.workspace));
  held->set_request_class(core::Raw(state.key.request_class));
  held->set_runner(core::Raw(state.runner));
  held->set_estimated_cost(state.estimated_cost);
}

wire::Demand DemandPlanner::FullDemand(Link& link, const std::map<RowKey, SentRow>& rows) {
  std::map<RowKey, double> charged;
  wire::Demand demand;
  SetShard(link.candidates.shard, demand.mutable_shard());
  demand.set_sequence(++link.sequence);
  demand.set_full(true);
  for (const auto& [grant, state] : link.held) {
    AddHeld(grant, state, demand);
    charged[{state.key.workspace, state.key.request_class}] += state.charged;
  }
  const auto add = [&demand](const RowKey& key, const SentRow& row, double running_charged) {
    auto* message = demand.add_rows();
    message->set_workspace(core::Raw(key.first));
    message->set_request_class(core::Raw(key.second));
    message->set_queued(row.queued);
    message->set_estimated_cost(row.estimated_cost);
    message->set_running_charged(running_charged);
  };
  for (const auto& [key, row] : rows) {
    const auto found = charged.find(key);
    add(key, row, found == charged.end() ? 0.0 : found->second);
  }
  for (const auto& [key, cost] : charged) {
    if (!rows.contains(key)) {
      add(key, SentRow{}, cost);
    }
  }
  return demand;
}

wire::Demand DemandPlanner::ChangedDemand(Link& link) {
  wire::Demand demand;
  SetShard(link.candidates.shard, demand.mutable_shard());
  std::map<RowKey, SentRow> changed;
  for (const auto& [key, row] : link.wanted) {
    const auto sent = link.sent.find(key);
    if (sent == link.sent.end() || sent->second.queued != row.queued ||
        IsEstimateChanged(sent->second.estimated_cost, row.estimated_cost)) {
      changed[key] = row;
      link.sent[key] = row;
    }
  }
  for (auto sent = link.sent.begin(); sent != link.sent.end();) {
    if (link.wanted.contains(sent->first)) {
      ++sent;
      continue;
    }
    changed[sent->first] = SentRow{0, sent->second.estimated_cost};
    sent = link.sent.erase(sent);
  }
  std::map<RowKey, double> charged;
  for (const auto& [grant, state] : link.held) {
    charged[{state.key.workspace, state.key.request_class}] += state.charged;
  }
  for (const auto& [key, row] : changed) {
    auto* message = demand.add_rows();
    message->set_workspace(core::Raw(key.first));
    message->set_request_class(core::Raw(key.second));
    message->set_queued(row.queued);
    message->set_estimated_cost(row.estimated_cost);
    message->set_running_charged(charged[key]);
  }
  for (const auto grant : link.unconfirmed) {
    AddHeld(grant, link.held.at(grant), demand);
  }
  return demand;
}

void DemandPlanner::RecordAnswer(Link& link, const core::RouterIdentity& sender,
                                 core::TimePoint now) {
  link.skipped_until.erase(sender);
  if (link.allocator.has_value() && *link.allocator == sender) {
    link.unanswered_since.reset();
    link.last_answer = now;
  }
}

}  // namespace pomelospar::scheduling
