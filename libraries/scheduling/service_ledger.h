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

/// Minimum period of service reports.
inline constexpr core::Duration kMinimumReportPeriod = std::chrono::milliseconds(200);
/// Budget of a router for all its service reports, in bytes per second without envelopes.
inline constexpr double kReportBytesPerSecond = 1200.0;
/// The budget is divided between reports to routers of the own failure domain and domain sums for
/// other domains. At the target size (370 routers in 9 domains, 67 backlogged workspaces), a report
/// of 67 rows to 41 peers takes 44 KB and the sums of the busiest home router take about 20 KB.
/// With this division both periods stay under 60 s.
inline constexpr double kMemberReportBytesPerSecond = 800.0;
inline constexpr double kDomainReportBytesPerSecond = 400.0;
static_assert(kMemberReportBytesPerSecond + kDomainReportBytesPerSecond <= kReportBytesPerSecond);
/// The counters of an incarnation that was silent for this long are folded into the base, which is
/// the sum of the counters of all folded incarnations.
inline constexpr core::Duration kFoldAfter = std::chrono::hours(1);
/// Counters of an incarnation that was silent for this long are relayed to the other routers of the
/// domain, because the incarnation itself no longer repairs the loss of its last reports. This time
/// is longer than the longest report period.
inline constexpr core::Duration kRelayAfter = std::chrono::minutes(2);
/// A folded incarnation is remembered for this long, so that rows that arrive late are not counted
/// again.
inline constexpr core::Duration kForgetFoldedAfter = std::chrono::hours(48);

/// Returns the period at which reports of `bytes_per_report` bytes to each of `peers` peers stay
/// within `budget` (bytes per second); at least `kMinimumReportPeriod`.
core::Duration ReportPeriod(std::size_t peers, std::size_t bytes_per_report,
                            double budget = kReportBytesPerSecond);
/// Returns the period of service reports to the `peers` other routers of the own domain.
core::Duration MemberReportPeriod(std::size_t peers, std::size_t bytes_per_report);
/// Returns the period of domain reports if one round to all receivers takes `round_bytes` bytes.
core::Duration DomainReportPeriod(std::size_t round_bytes);

/// Returns the home router of the workspace in `domain` for `destination`: the router that sends
/// the domain's sum of the workspace to the routers of `destination`. It is chosen by rendezvous
/// hashing from `routers`, the live routers of `domain`; null if there are none. The destination is
/// part of the key to spread the load: without it, the busiest of 41 routers at the target size
/// would be home of 6 workspaces, where the mean is 1.6.
const core::RouterIdentity* HomeRouter(core::DomainId domain, core::DomainId destination,
                                       core::WorkspaceId workspace,
                                       std::span<const core::RouterIdentity> routers);

/// Configured share of a workspace, by which its service is divided.
struct WorkspaceShare {
  core::WorkspaceId workspace{};
  /// Greater than zero.
  double share = 1.0;
};

/// Service received by each workspace in the whole fleet, in cost units.
///
/// Every incarnation of a router owns one monotonically growing counter per workspace, which is
/// replicated on the routers of its failure domain. Between domains only sums are sent: the home
/// router of a workspace (`HomeRouter`) sends the sum of all counters of its domain. The total of a
/// workspace is the sum over the incarnations of the own domain plus the sums of the other domains.
///
/// Counters, sums and offsets are merged by maximum, so lost, repeated and reordered messages never
/// count service twice. A router never holds a higher value of a counter than its owner has
/// charged, so every sum that a home router sends is at most the service of its domain, and so is
/// the maximum of several sums. Two home routers at once, a change of the home router and a home
/// router that lacks counters can therefore only report less than is already known, which changes
/// nothing. All routers of a domain eventually hold the same counters, so the largest sum becomes
/// the exact one, whichever router sends it.
///
/// If all routers of a domain restart, their counters begin at zero, and the maximum would hide
/// their service. They therefore add the sum that the other domains hold of their domain as
/// inherited service (`InheritSums`).
class ServiceLedger {
 public:
  explicit ServiceLedger(std::uint64_t own_incarnation, core::DomainId own_domain = {});

  /// Replaces the shares; a workspace that is absent has share 1.
  void SetShares(std::span<const WorkspaceShare> shares);

  /// Adds cost (cost units) to this router's counter. Negative costs are ignored, because counters
  /// never decrease.
  void Charge(core::WorkspaceId workspace, double cost);
  /// Raises the offset (cost units per share); a lower value changes nothing.
  void RaiseOffset(core::WorkspaceId workspace, double offset);

  double OwnCounter(core::WorkspaceId workspace) const;
  double Total(core::WorkspaceId workspace) const;
  /// Returns the part of the total that belongs to the own domain.
  double DomainSum(core::WorkspaceId workspace) const;
  double Offset(core::WorkspaceId workspace) const;
  double Share(core::WorkspaceId workspace) const;
  /// Returns the total divided by the share, plus the offset (cost units per share). Running work
  /// that has not been charged is not included.
  double NormalisedService(core::WorkspaceId workspace) const;

  /// Changes whenever the normalised service of a workspace may have decreased. While the epoch
  /// stays the same, normalised service only grows.
  std::uint64_t epoch() const { return this->normalisation_epoch; }

  /// Returns the report for the routers of the own domain: the own rows that changed since the last
  /// call, up to `refresh_rows` unchanged rows in rotation, which repair lost reports, and up to
  /// `refresh_rows` rows of silent incarnations. Empty if there is nothing to send.
  std::optional<wire::ServiceReport> TakeReport(std::size_t refresh_rows = 1);
  /// Returns all own rows, for a router of the own domain that becomes reachable again.
  wire::ServiceReport FullReport();

  /// Tells whether this router is the home router of a workspace for one destination.
  using IsHome = std::function<bool(core::WorkspaceId)>;
  /// Returns the sums of the own domain for the routers of `destination`, limited to workspaces
  /// whose home router this is: sums that changed since its last report to them, and up to
  /// `refresh_rows` unchanged ones in rotation. Empty if there is nothing to send.
  std::optional<wire::DomainReport> TakeDomainReport(core::DomainId destination,
                                                     const IsHome& is_home,
                                                     std::size_t refresh_rows = 1);
  /// Returns all sums of the own domain, for a router of another domain that becomes reachable
  /// again.
  wire::DomainReport FullDomainReport();
  /// Merges sums of another domain. Sums of the own domain are ignored.
  void Merge(const wire::DomainReport& report);

  /// Merges a report of a router of the own domain.
  void Merge(std::uint64_t incarnation, const wire::ServiceReport& report, core::TimePoint now);
  /// Merges one counter (cost units) of a router of the own domain.
  void MergeCounter(std::uint64_t incarnation, core::WorkspaceId workspace, double counter,
                    core::TimePoint now);

  /// Merges the counter that a router of another domain sent with a release. The local estimate of
  /// that domain's sum grows by as much as the counter grew since the previous release, until a
  /// domain report shows more. Without this, the local view would lag by the periods of both kinds
  /// of report. The estimate is never sent to other routers. It exceeds the domain's service by at
  /// most what each router charges between two releases.
  void MergeForeignCounter(core::DomainId domain, std::uint64_t incarnation,
                           core::WorkspaceId workspace, double counter, core::TimePoint now);

  /// Returns the whole ledger in parts of at most `rows_per_part` rows, for a router of the own
  /// domain that joins: counters by incarnation and the sums of the other domains.
  std::vector<wire::LedgerRows> State(std::size_t rows_per_part = 200) const;
  /// Returns the sums of all domains, for a router of another domain that joins.
  std::vector<wire::LedgerRows> SumState(std::size_t rows_per_part = 200) const;
  /// Merges one part of the ledger of another router. The base is adopted only once, when all parts
  /// of one sender have arrived. The base of a sender that has no state itself (`fresh`) is
  /// ignored, because a peer with state may send a better one later.
  void MergeState(std::uint64_t sender, const wire::LedgerRows& part, core::TimePoint now);

  /// Adds the sums that other domains hold of the own domain as the service of its former routers.
  /// Must be called once, if no router of the own domain with state was found after the start.
  /// Service that the new routers reported before the call counts twice, so the call must not be
  /// late.
  void InheritSums();

  /// True once a peer has sent its whole state. A router that has peers should not allocate slots
  /// before that, because it would treat all workspaces as having received equal service.
  bool has_state() const { return this->state_received; }
  /// True once the base of a router of the own domain was adopted.
  bool has_domain_state() const { return this->base_adopted; }

  /// Marks incarnations that are silent for `kRelayAfter` for relaying, folds those that are silent
  /// for `kFoldAfter` into the base and forgets those that were folded `kForgetFoldedAfter` ago.
  void Fold(core::TimePoint now);
  /// Number of other incarnations of the own domain that are remembered, including folded ones.
  std::size_t incarnations() const { return this->other_incarnations.size(); }

 private:
  struct Workspace {
    core::WorkspaceId id{};
    double share = 1.0;
    /// Service in all domains, and the part of it in the own domain.
    double total = 0.0;
    double domain_sum = 0.0;
    /// Counter of this router.
    double own_counter = 0.0;
    double inherited = 0.0;
    double offset = 0.0;
    /// Sum of the counters of folded incarnations.
    double base = 0.0;
    /// The next report includes this workspace.
    bool changed = false;
    /// The next report includes the offset and the inherited service too.
    bool offset_changed = false;
  };
  struct Incarnation {
    /// Indexed like `workspaces`. A negative value means that the base already includes the counter
    /// with an unknown value; the first row received then only sets the value.
    std::vector<double> counters;
    core::TimePoint last_heard{};
    core::TimePoint folded_at{};
    bool folded = false;
    /// The base of a peer included this incarnation, so its counters are unknown.
    bool unknown = false;
    /// No message was received for `kRelayAfter`.
    bool silent = false;
  };
  /// Service of another domain, indexed like `workspaces`.
  struct DomainSums {
    std::vector<double> reported;
    /// At least `reported`. This value is included in the total.
    std::vector<double> estimated;
  };
  /// Counters that a router of another domain sent with its releases.
  struct ForeignIncarnation {
    std::unordered_map<core::WorkspaceId, double> counters;
    core::TimePoint last_heard{};
  };
  /// Values that were last reported to one domain; indexed like `workspaces`.
  struct Destination {
    std::vector<double> sums;
    std::vector<double> offsets;
    std::size_t refresh_position = 0;
  };
  /// State of one sender until all of its parts have arrived.
  struct PendingState {
    std::set<std::uint32_t> parts;
    std::vector<wire::LedgerRows> base;
    bool of_own_domain = false;
  };

  std::size_t IndexOf(core::WorkspaceId workspace);
  const Workspace* Find(core::WorkspaceId workspace) const;
  void MarkChanged(Workspace& workspace);
  /// Records a message of the incarnation and takes it out of the base if it was folded.
  Incarnation& MarkHeard(std::uint64_t incarnation, core::TimePoint now);
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
  /// Appends the sums of all other domains.
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
  /// Incarnation and workspace index of the row that was relayed last.
  std::pair<std::uint64_t, std::size_t> last_relayed;
  std::vector<Workspace> workspaces;
  std::vector<std::size_t> changed;
  std::unordered_map<core::WorkspaceId, std::size_t> indexes;
  std::unordered_map<std::uint64_t, Incarnation> other_incarnations;
  /// Sums by domain. The entry of the own domain is what other domains hold of it; it is not part
  /// of the total.
  std::map<core::DomainId, DomainSums> sums;
  std::unordered_map<std::uint64_t, ForeignIncarnation> foreign_incarnations;
  std::map<core::DomainId, Destination> destinations;
  std::unordered_map<std::uint64_t, PendingState> pending;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_SERVICE_LEDGER_H_
