// The part of `Fleet` that handles requests: queues, demand, grants and service.

#include <algorithm>
#include <cmath>
#include <utility>

#include "tests/libraries/scheduling/fleet.h"
#include "tests/libraries/scheduling/fleet_identifiers.h"

namespace pomelospar::scheduling {

void Fleet::Refill(Node& node) {
  for (std::size_t workspace = 0; workspace < node.load.size(); ++workspace) {
    while (node.queued[workspace] < node.load[workspace]) {
      const bool fleet = this->options.policy == Policy::kFleet;
      QueuedRequest request;
      request.id = this->next_request++;
      // In the baselines, a router requests slots for itself under one shared workspace and chooses
      // the request when it has a slot.
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
  auto next = node.planner->NextPlanTime(node.queues, now);
  for (const auto& [shard, allocator] : node.allocators) {
    next = std::min(next, allocator->NextDecisionTime().value_or(next));
  }
  next = std::max(next, now + Seconds(1e-6));
  if (next < node.wake || node.wake <= now) {
    node.wake = next;
    this->Schedule(next, [this, &node] {
      if (!node.stopped) {
        this->Pump(node);
      }
    });
  }
}

std::size_t Fleet::ChooseWorkspace(Node& node, std::uint64_t request) {
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
  const auto workspace = this->ChooseWorkspace(node, decision.request->id);
  ++this->served[workspace][decision.request->caller];
  const auto runner = grant.runner() - 1;
  this->Observe();
  ++this->runners[runner].running;
  const double exponent = std::uniform_real_distribution<double>(-1, 1)(this->random);
  const double cost = this->options.estimate * std::pow(this->options.error_factor, exponent);
  // The local order of a baseline counts the whole cost of a request when it starts.
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
  this->Schedule(this->clock.now() + Seconds(step / this->options.slot_rate), [=, this, &node] {
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

}  // namespace pomelospar::scheduling
