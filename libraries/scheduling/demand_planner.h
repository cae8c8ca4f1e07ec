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

/// A request is offered to several shards once it has waited for this long, or as soon as another
/// request waits in the same queue.
inline constexpr core::Duration kSpreadAfter = std::chrono::milliseconds(5);
/// Maximum number of shards to which one queue is offered at the same time.
inline constexpr std::size_t kSpreadShards = 8;
/// How many of the `kSpreadShards` shards are reserved for other failure domains, if there are any.
/// Without the reservation, a queue in a domain with 8 or more shards could never use idle slots of
/// other domains.
inline constexpr std::size_t kOtherDomainShards = 2;
/// Minimum period after which full demand is sent again and the choice of shards rotates.
inline constexpr core::Duration kFullDemandPeriod = std::chrono::seconds(1);
/// Budget in bytes per second for full demand to all shards, including the shards that the rotation
/// adds. The period is lengthened to stay within it. Together with renewals to 8 shards, the demand
/// traffic of a router then stays under 700 bytes/s.
inline constexpr double kFullDemandBytesPerSecond = 560.0;
/// Period at which held grants are renewed. The allocator reclaims a grant that was not renewed for
/// twice this time.
inline constexpr core::Duration kRenewPeriod = std::chrono::seconds(1);
/// Period of demand messages to a shard from which the router holds no grant. They keep the
/// allocator from treating the router as silent (after 5 s) and reveal a failed allocator.
inline constexpr core::Duration kKeepAlivePeriod = std::chrono::seconds(2);
/// An allocator that has not answered a demand message for this long, although it asked for an
/// answer, is skipped.
inline constexpr core::Duration kAnswerTimeout = std::chrono::milliseconds(300);
/// Time for which an allocator is skipped before it is tried again.
inline constexpr core::Duration kSkipTime = std::chrono::seconds(2);
/// Number of accepted grants that triggers a confirmation to the allocator even if no demand row
/// changed. It is half of `kDemandWindow`, so that the confirmation arrives before the allocator
/// has used up the window.
inline constexpr std::size_t kConfirmAfter = 2;
/// Relative change of the estimated cost up to which no message is sent.
inline constexpr double kEstimateTolerance = 0.1;

/// A shard that this router may use, and the live routers of the shard's failure domain in
/// rendezvous order; the first one is the shard's allocator.
struct ShardCandidates {
  core::ShardIdentity shard;
  std::vector<core::RouterIdentity> allocators;
};

/// The reaction to a grant. Neither member is set if the grant is already held.
struct GrantDecision {
  /// The request to dispatch to the granted runner.
  std::optional<QueuedRequest> request;
  /// The release to send back if the grant cannot be used.
  std::optional<Addressed<wire::Release>> release;
};

/// Runs at an entry router: decides which demand is sent to which allocator, and tracks the grants
/// that the router holds.
class DemandPlanner {
 public:
  /// `rotation_seed` must differ between routers, so that they do not all choose the same shards.
  DemandPlanner(core::DomainId own_domain, std::uint64_t rotation_seed)
      : own_domain(own_domain), rotation_seed(rotation_seed) {}

  /// Replaces the shards of one upstream. The caller must leave out shards of failure domains that
  /// this router must not use for the upstream.
  void SetShards(core::UpstreamId upstream, std::span<const ShardCandidates> shards);

  /// Returns the demand messages to send now. The caller must call it after each change of the
  /// queues, so that a single request is offered immediately, and at the time that `NextPlanTime`
  /// returns.
  std::vector<Addressed<wire::Demand>> Plan(const EntryQueues& queues, core::TimePoint now);
  /// Returns when `Plan` must be called next if the queues do not change before;
  /// `TimePoint::max()` if it need not be called.
  core::TimePoint NextPlanTime(const EntryQueues& queues, core::TimePoint now) const;

  /// Uses the grant for the next request of its queue. Releases it if its validity has ended, its
  /// shard is unknown or the queue is empty. `received` is the time at which the grant arrived.
  GrantDecision Accept(const core::RouterIdentity& sender, const wire::Grant& grant,
                       EntryQueues& queues, core::TimePoint received, core::TimePoint now);
  /// Records the answer of an allocator, which may ask for full demand.
  void Receive(const core::RouterIdentity& sender, const wire::DemandAck& acknowledgement,
               core::TimePoint now);

  /// Adds cost (cost units) that was charged to the ledger for the request of a held grant. Does
  /// nothing if the grant is not held.
  void Charge(std::uint64_t grant, double cost);
  /// Ends a held grant and returns the releases to send: none if the grant is not held, two (to the
  /// issuer and to the present allocator) if the allocator changed in between. `service_counter` is
  /// this router's counter of the workspace after all charges, in cost units.
  std::vector<Addressed<wire::Release>> Finish(std::uint64_t grant, wire::ReleaseReason reason,
                                               double service_counter);

  std::size_t held_grants() const { return this->held.size(); }

 private:
  using RowKey = std::pair<core::WorkspaceId, core::ClassId>;
  /// A grant that this router holds. Costs are in cost units.
  struct HeldState {
    core::ShardIdentity shard;
    core::RouterIdentity issuer;
    QueueKey key;
    core::RunnerId runner{};
    double estimated_cost = 0.0;
    double charged = 0.0;
  };
  /// Content of a demand row, either last sent or to be sent.
  struct SentRow {
    std::uint32_t queued = 0;
    double estimated_cost = 0.0;
  };
  /// State of the message exchange with the allocator of one shard.
  struct Link {
    ShardCandidates candidates;
    std::optional<core::RouterIdentity> allocator;
    std::map<core::RouterIdentity, core::TimePoint> skipped_until;
    std::uint64_t sequence = 0;
    core::TimePoint last_full{};
    /// Encoded size of the last full demand.
    std::size_t full_bytes = 0;
    /// Full demand must be sent at the next plan, because the allocator may lack part of it.
    bool full_due = false;
    /// Time of the last demand message that renewed all held grants.
    core::TimePoint last_renewed{};
    core::TimePoint last_answer{};
    std::optional<core::TimePoint> unanswered_since;
    std::map<RowKey, SentRow> sent;
    std::map<RowKey, SentRow> wanted;
    /// Accepted grants that no demand message has confirmed yet.
    std::vector<std::uint64_t> unconfirmed;
    std::map<std::uint64_t, HeldState> held;
  };
  /// The shards of one upstream.
  struct Pool {
    /// Shards of the own failure domain come first.
    std::vector<core::ShardIdentity> shards;
    /// Number of shards of the own failure domain.
    std::size_t own_domain_shards = 0;
  };

  Link* Find(const core::ShardIdentity& shard);
  /// Adds the queue's row to the wanted demand of the shards that it is offered to.
  void OfferQueue(const QueueKey& key, const EntryQueues& queues, core::TimePoint now);
  /// Returns the first candidate that is not skipped, the first of all if all are skipped, or null
  /// if there is no candidate.
  const core::RouterIdentity* ChooseAllocator(Link& link, core::TimePoint now);
  void PlanLink(Link& link, core::TimePoint now, std::vector<Addressed<wire::Demand>>& output);
  void SendFull(Link& link, const core::RouterIdentity& allocator, core::TimePoint now,
                std::vector<Addressed<wire::Demand>>& output);
  void AddRenewals(const Link& link, wire::Demand& demand) const;
  /// Returns the period of full demand that stays within `kFullDemandBytesPerSecond`.
  core::Duration FullPeriod() const;
  /// Advances the rotation of the shards by one step per elapsed period.
  void Rotate(core::TimePoint now);
  static void AddHeld(std::uint64_t grant, const HeldState& state, wire::Demand& demand);
  /// Builds demand with all held grants and `rows`; the allocator drops rows that are absent.
  wire::Demand FullDemand(Link& link, const std::map<RowKey, SentRow>& rows);
  /// Builds demand with the changed rows and the unconfirmed grants.
  wire::Demand ChangedDemand(Link& link);
  /// Records that `sender` answered, so that it is no longer skipped.
  void RecordAnswer(Link& link, const core::RouterIdentity& sender, core::TimePoint now);

  core::DomainId own_domain;
  std::uint64_t rotation_seed;
  std::uint64_t rotation = 0;
  core::TimePoint last_rotation{};
  core::Duration full_period = kFullDemandPeriod;
  std::map<core::UpstreamId, Pool> pools;
  std::map<core::ShardIdentity, Link> links;
  /// The shard to which each held grant belongs.
  std::unordered_map<std::uint64_t, core::ShardIdentity> held;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_DEMAND_PLANNER_H_
