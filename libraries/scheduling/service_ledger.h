#ifndef POMELOSPAR_LIBRARIES_SCHEDULING_SERVICE_LEDGER_H_
#define POMELOSPAR_LIBRARIES_SCHEDULING_SERVICE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::scheduling {

/// The shortest period of service reports.
inline constexpr core::Duration kMinimumReportPeriod = std::chrono::milliseconds(200);
/// Most bytes a second that a router spends on its service reports, envelopes not counted.
inline constexpr double kReportBytesPerSecond = 1200.0;
/// The parts of it for reports within the domain and for domain sums. At the target, 67 rows to 41
/// peers cost 44 KB and the sums of the busiest home cost about 20 KB; the parts give both periods
/// under 60 s.
inline constexpr double kMemberReportBytesPerSecond = 800.0;
inline constexpr double kDomainReportBytesPerSecond = 400.0;
static_assert(kMemberReportBytesPerSecond + kDomainReportBytesPerSecond <= kReportBytesPerSecond);
/// An incarnation that was silent for this long is folded into the base.
inline constexpr core::Duration kFoldAfter = std::chrono::hours(1);
/// Rows of an incarnation that was silent for this long are relayed to the other routers of the
/// domain, because nobody else repairs the loss of its last reports. Longer than the longest report
/// period.
inline constexpr core::Duration kRelayAfter = std::chrono::minutes(2);
/// A folded incarnation is remembered for this long, so that late rows are not counted again.
inline constexpr core::Duration kForgetFoldedAfter = std::chrono::hours(48);

/// The time between reports that keeps reports of `bytes_per_report` bytes to each of `peers` peers
/// within the budget (bytes a second).
core::Duration ReportPeriod(std::size_t peers, std::size_t bytes_per_report,
                            double budget = kReportBytesPerSecond);
/// The period of service reports to the `peers` other routers of the domain.
core::Duration MemberReportPeriod(std::size_t peers, std::size_t bytes_per_report);
/// The period of domain reports, of which one round to all receivers has `round_bytes` bytes.
core::Duration DomainReportPeriod(std::size_t round_bytes);

/// The router of `domain` that sends the domain's sum of the workspace to the routers of
/// `destination`: rendezvous over the live routers of `domain`, null if there is none. The
/// destination is part of the key because the load then differs less between routers: at the target
/// the busiest of 41 would else be home of 6 workspaces where the mean is 1.6.
const core::RouterIdentity* HomeRouter(core::DomainId domain, core::DomainId destination,
                                       core::WorkspaceId workspace,
                                       std::span<const core::RouterIdentity> routers);

struct WorkspaceShare {
  core::WorkspaceId workspace{};
  /// Greater than zero.
  double share = 1.0;
};

/// Service received by each workspace in the whole fleet, in cost units.
///
/// Every incarnation of a router owns one growing counter for each workspace, which is replicated
/// on the routers of its failure domain. Between domains travel sums: the home router sends the sum
/// of all counters of its domain. The total of a workspace is the sum over the incarnations of the
/// own domain plus the sums of the other domains.
///
/// Counters, sums and offsets merge by maximum, so lost, repeated and reordered messages never
/// count service twice. A router never holds more of a counter than its owner has charged, so every
/// sum that any home sends is at most the service of its domain, and the maximum of several is too.
/// Two homes at once, a change of home and a home that lacks counters can therefore only report
/// less than is known already, which changes nothing. In the end all routers of a domain hold the
/// same counters, so that the largest sum is the exact one, whoever sends it.
///
/// If all routers of a domain restart, their counters begin at zero. So that the maximum does not
/// hide their service, they take the sum that the other domains hold as inherited (`InheritSums`).
class ServiceLedger {
 public:
  explicit ServiceLedger(std::uint64_t own_incarnation, core::DomainId own_domain = {});

  /// Replaces the shares; a workspace that is absent has share 1.
  void SetShares(std::span<const WorkspaceShare> shares);

  /// Adds cost to the own counter. Negative costs are ignored: counters never decrease.
  void Charge(core::WorkspaceId workspace, double cost);
  /// Raises the offset (cost units per share); a lower value changes nothing.
  void RaiseOffset(core::WorkspaceId workspace, double offset);

  double OwnCounter(core::WorkspaceId workspace) const;
  double Total(core::WorkspaceId workspace) const;
  /// The own domain's part of the total.
  double DomainSum(core::WorkspaceId workspace) const;
  double Offset(core::WorkspaceId workspace) const;
  double Share(core::WorkspaceId workspace) const;
  /// Total divided by share, plus the offset. Without running work.
  double NormalisedService(core::WorkspaceId workspace) const;

  /// Changes whenever a normalised service may have become smaller; else it only grows.
  std::uint64_t epoch() const { return this->normalisation_epoch; }

  /// The own rows that changed since the last call, and up to `refresh_rows` unchanged rows in
  /// rotation, which repair reports that were lost, and as many rows of silent incarnations. Empty
  /// if there is nothing to send.
  std::optional<wire::ServiceReport> TakeReport(std::size_t refresh_rows = 1);
  /// All own rows, for a peer of the own domain that becomes reachable again.
  wire::ServiceReport FullReport();

  /// Whether this router is home of a workspace for one destination.
  using IsHome = std::function<bool(core::WorkspaceId)>;
  /// The sums of the own domain for the routers of `destination`: rows of which this router is home
  /// and which changed since its last report to them, and up to `refresh_rows` unchanged ones in
  /// rotation. Empty if there is nothing to send.
  std::optional<wire::DomainReport> TakeDomainReport(core::DomainId destination,
                                                     const IsHome& is_home,
                                                     std::size_t refresh_rows = 1);
  /// All sums of the own domain, for a router of another domain that becomes reachable again.
  wire::DomainReport FullDomainReport();
  /// Merges sums of another domain; those of the own domain are ignored.
  void Merge(const wire::DomainReport& report);

  void Merge(std::uint64_t incarnation, const wire::ServiceReport& report, core::TimePoint now);
  void MergeCounter(std::uint64_t incarnation, core::WorkspaceId workspace, double counter,
                    core::TimePoint now);

  /// Takes the counter that a router of another domain sent with a release. The allocator's view of
  /// that domain's sum grows by what the counter grew since the last such message, until a report
  /// shows more; without it the view would lag by the periods of both reports. It is an estimate
  /// that is never sent, and it exceeds the domain's service by at most what each router charges
  /// between two releases.
  void MergeForeignCounter(core::DomainId domain, std::uint64_t incarnation,
                           core::WorkspaceId workspace, double counter, core::TimePoint now);

  /// The whole ledger in parts of at most `rows_per_part` rows, for a router of the own domain that
  /// joins: rows by incarnation and the sums of the other domains.
  std::vector<wire::LedgerRows> State(std::size_t rows_per_part = 200) const;
  /// The sums of all domains, for a joining router of another domain.
  std::vector<wire::LedgerRows> SumState(std::size_t rows_per_part = 200) const;
  /// Merges one part. The base counts once, when all parts of one sender have arrived. A base of a
  /// sender that is fresh is not taken, because a later one of a peer with state may replace it.
  void MergeState(std::uint64_t sender, const wire::LedgerRows& part, core::TimePoint now);

  /// Takes the sums that other domains hold of the own domain as the service of its former routers.
  /// To be called once, when no router of the own domain with state was found after the start. What
  /// the new routers have reported before that counts twice, so the call must not be late.
  void InheritSums();

  /// True once a peer has sent its state. A router that has peers should not allocate slots before,
  /// because it would take all workspaces for equal.
  bool has_state() const { return this->state_received; }
  /// True once the base of a peer of the own domain was adopted.
  bool has_domain_state() const { return this->base_adopted; }

  /// Marks silent incarnations for relaying, folds those that were silent for long into the base
  /// and forgets those folded long ago.
  void Fold(core::TimePoint now);
  std::size_t incarnations() const { return this->others.size(); }

 private:
  struct Workspace {
    core::WorkspaceId id{};
    double share = 1.0;
    /// Of all domains, and the part of the own domain.
    double total = 0.0;
    double domain_sum = 0.0;
    double own = 0.0;
    double inherited = 0.0;
    double offset = 0.0;
    double base = 0.0;
    bool changed = false;
    /// The next report holds the offset too.
    bool offset_changed = false;
  };
  struct Incarnation {
    /// Indexed like `workspaces`. A negative value means that the base holds an unknown part of
    /// the counter; the first row received then only sets the value.
    std::vector<double> counters;
    core::TimePoint last_heard{};
    core::TimePoint folded_at{};
    bool folded = false;
    bool unknown = false;
    /// Not heard from for `kRelayAfter`.
    bool silent = false;
  };
  /// Service of another domain, indexed like `workspaces`.
  struct DomainSums {
    std::vector<double> reported;
    /// At least `reported`; the part of the total.
    std::vector<double> estimated;
  };
  struct ForeignIncarnation {
    std::unordered_map<core::WorkspaceId, double> counters;
    core::TimePoint last_heard{};
  };
  /// What the last reports to one domain held; indexed like `workspaces`.
  struct Destination {
    std::vector<double> sums;
    std::vector<double> offsets;
    std::size_t refresh_position = 0;
  };
  /// Base parts of one sender until all of them have arrived.
  struct PendingState {
    std::set<std::uint32_t> parts;
    std::vector<wire::LedgerRows> base;
    bool of_own_domain = false;
  };

  std::size_t IndexOf(core::WorkspaceId workspace);
  const Workspace* Find(core::WorkspaceId workspace) const;
  void MarkChanged(Workspace& workspace);
  Incarnation& Touch(std::uint64_t incarnation, core::TimePoint now);
  void MergeRow(Incarnation& incarnation, std::size_t index, double counter);
  void MergeRows(std::uint64_t incarnation,
                 const google::protobuf::RepeatedPtrField<wire::ServiceRow>& rows,
                 core::TimePoint now);
  void AppendRelayed(std::size_t rows, wire::ServiceReport& report);
  void MergeRelayed(const wire::RelayedRow& row, core::TimePoint now);
  void AddToDomain(Workspace& workspace, double cost);
  void RaiseInherited(core::WorkspaceId workspace, double inherited);
  DomainSums& SumsOf(core::DomainId domain);
  void RaiseEstimate(core::DomainId domain, std::size_t index, double estimate);
  void MergeSum(core::DomainId domain, core::WorkspaceId workspace, double sum);
  void AppendSums(core::DomainId domain, const std::function<double(std::size_t)>& sum_of,
                  std::size_t rows_per_part, std::vector<wire::LedgerRows>& parts) const;
  /// The sums of all other domains.
  void AppendForeignSums(std::size_t rows_per_part, std::vector<wire::LedgerRows>& parts) const;
  void AdoptBase(const PendingState& pending, core::TimePoint now);
  void MarkFolded(std::uint64_t incarnation, core::TimePoint now);

  std::uint64_t own_incarnation;
  core::DomainId own_domain;
  std::uint64_t report_sequence = 0;
  std::uint64_t normalisation_epoch = 0;
  bool base_adopted = false;
  bool state_received = false;
  std::size_t refresh_position = 0;
  /// Incarnation and index of the workspace.
  std::pair<std::uint64_t, std::size_t> last_relayed;
  std::vector<Workspace> workspaces;
  std::vector<std::size_t> changed;
  std::unordered_map<core::WorkspaceId, std::size_t> indexes;
  std::unordered_map<std::uint64_t, Incarnation> others;
  /// Sums of the own domain are what others hold of it and are no part of the total.
  std::map<core::DomainId, DomainSums> sums;
  std::unordered_map<std::uint64_t, ForeignIncarnation> foreign;
  std::map<core::DomainId, Destination> destinations;
  std::unordered_map<std::uint64_t, PendingState> pending;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_SERVICE_LEDGER_H_
