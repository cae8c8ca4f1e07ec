#ifndef POMELOSPAR_LIBRARIES_SCHEDULING_DEMAND_PLANNER_H_
#define POMELOSPAR_LIBRARIES_SCHEDULING_DEMAND_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/scheduling/addressed.h"
#include "libraries/scheduling/entry_queues.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::scheduling {

/// A request that waits longer than this is offered to more than one shard.
inline constexpr core::Duration kSpreadAfter = std::chrono::milliseconds(5);
/// Most shards that one queue is offered to at once.
inline constexpr std::size_t kSpreadShards = 8;
/// Of these, shards that are kept for other domains if there are any. Without them, a queue in a
/// domain with 8 shards or more could never use idle slots of other domains.
inline constexpr std::size_t kOtherDomainShards = 2;
/// The shortest period of full demand and of the rotation among shards.
inline constexpr core::Duration kFullDemandPeriod = std::chrono::seconds(1);
/// Bytes a second of full demand to all shards, rotation included, that stretch the period. With
/// renewals to 8 shards the demand of a router then stays under 700 bytes/s.
inline constexpr double kFullDemandBytesPerSecond = 560.0;
/// Grants in use are renewed this often; the allocator reclaims them after twice the time.
inline constexpr core::Duration kRenewPeriod = std::chrono::seconds(1);
/// A shard at which no grant is held hears of the router this often, so that the allocator does not
/// take it for silent (5 s) and a failed allocator is noticed.
inline constexpr core::Duration kKeepAlivePeriod = std::chrono::seconds(2);
/// An allocator that has not answered for this long is skipped.
inline constexpr core::Duration kAnswerTimeout = std::chrono::milliseconds(300);
/// A skipped allocator is tried again after this.
inline constexpr core::Duration kSkipTime = std::chrono::seconds(2);
/// Accepted grants after which a row that did not change is confirmed to the allocator. Half the
/// demand window, so that the allocator does not run out of window before the confirmation.
inline constexpr std::size_t kConfirmAfter = 2;
/// A change of the estimated cost by less than this fraction is not worth a message.
inline constexpr double kEstimateTolerance = 0.1;

/// A shard that this router may use, with the live routers of the shard's domain in rendezvous
/// order.
struct ShardCandidates {
  core::ShardIdentity shard;
  std::vector<core::RouterIdentity> allocators;
};

/// What to do with a grant. Neither is set for a repeated grant.
struct GrantDecision {
  /// The request to dispatch to the granted runner.
  std::optional<QueuedRequest> request;
  /// The answer to send if the grant is not used.
  std::optional<Addressed<wire::Release>> release;
};

/// Decides at the entry router which allocator is told about which demand, and keeps the grants
/// that this router holds.
class DemandPlanner {
 public:
  /// `rotation_seed` differs between routers, so that they do not all choose the same shards.
  DemandPlanner(core::DomainId own_domain, std::uint64_t rotation_seed)
      : own_domain(own_domain), rotation_seed(rotation_seed) {}

  /// Replaces the shards of one upstream. Shards of domains that the upstream must not be reached
  /// from have to be left out.
  void SetShards(core::UpstreamId upstream, std::span<const ShardCandidates> shards);

  /// The demand to send now. To be called after each change of the queues, so that a lone request
  /// is offered at once, and at `NextPlan`.
  std::vector<Addressed<wire::Demand>> Plan(const EntryQueues& queues, core::TimePoint now);
  /// The time at which `Plan` has to be called if nothing changes before.
  core::TimePoint NextPlan(const EntryQueues& queues, core::TimePoint now) const;

  /// Uses the grant for the next request of its queue, or releases it if it is too old or the queue
  /// is empty. `received` is the time of arrival.
  GrantDecision Accept(const core::RouterIdentity& sender, const wire::Grant& grant,
                       EntryQueues& queues, core::TimePoint received, core::TimePoint now);
  void Receive(const core::RouterIdentity& sender, const wire::DemandAck& acknowledgement,
               core::TimePoint now);

  /// Notes cost (cost units) that was charged to the ledger for the request of a held grant.
  void Charge(std::uint64_t grant, double cost);
  /// Ends a held grant. `service_counter` is the own counter of the workspace after all charges.
  /// Empty if the grant is not held. There are two receivers after a change of allocator.
  std::vector<Addressed<wire::Release>> Finish(std::uint64_t grant, wire::ReleaseReason reason,
                                               double service_counter);

  std::size_t held_grants() const { return this->held.size(); }

 private:
  using RowKey = std::pair<core::WorkspaceId, core::ClassId>;
  struct HeldState {
    core::ShardIdentity shard;
    core::RouterIdentity issuer;
    QueueKey key;
    core::RunnerId runner{};
    double estimated_cost = 0.0;
    double charged = 0.0;
  };
  struct SentRow {
    std::uint32_t queued = 0;
    double estimated_cost = 0.0;
  };
  /// State of the exchange with the allocator of one shard.
  struct Link {
    ShardCandidates candidates;
    std::optional<core::RouterIdentity> allocator;
    std::map<core::RouterIdentity, core::TimePoint> skipped_until;
    std::uint64_t sequence = 0;
    core::TimePoint last_full{};
    /// Size of the last full demand.
    std::size_t full_bytes = 0;
    /// Full demand is sent at once, because the allocator may lack some of it.
    bool full_due = false;
    /// Last demand that renewed all held grants.
    core::TimePoint last_renewed{};
    core::TimePoint last_answer{};
    std::optional<core::TimePoint> unanswered_since;
    std::map<RowKey, SentRow> sent;
    std::map<RowKey, SentRow> wanted;
    /// Accepted grants that no demand has confirmed.
    std::vector<std::uint64_t> unconfirmed;
    std::map<std::uint64_t, HeldState> held;
  };
  struct Pool {
    /// Own domain first.
    std::vector<core::ShardIdentity> shards;
    std::size_t own = 0;
  };

  Link* Find(const core::ShardIdentity& shard);
  void Place(const QueueKey& key, const EntryQueues& queues, core::TimePoint now);
  const core::RouterIdentity* ChooseAllocator(Link& link, core::TimePoint now);
  void PlanLink(Link& link, core::TimePoint now, std::vector<Addressed<wire::Demand>>& output);
  void SendFull(Link& link, const core::RouterIdentity& allocator, core::TimePoint now,
                std::vector<Addressed<wire::Demand>>& output);
  void AddRenewals(const Link& link, wire::Demand& demand) const;
  /// The period of full demand that keeps within `kFullDemandBytesPerSecond`.
  core::Duration FullPeriod() const;
  void Rotate(core::TimePoint now);
  static void AddHeld(std::uint64_t grant, const HeldState& state, wire::Demand& demand);
  wire::Demand FullDemand(Link& link, const std::map<RowKey, SentRow>& rows);
  wire::Demand ChangedDemand(Link& link);
  void Answered(Link& link, const core::RouterIdentity& sender, core::TimePoint now);

  core::DomainId own_domain;
  std::uint64_t rotation_seed;
  std::uint64_t rotation = 0;
  core::TimePoint last_rotation{};
  core::Duration full_period = kFullDemandPeriod;
  std::map<core::UpstreamId, Pool> pools;
  std::map<core::ShardIdentity, Link> links;
  /// Shard of each held grant.
  std::unordered_map<std::uint64_t, core::ShardIdentity> held;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_DEMAND_PLANNER_H_
