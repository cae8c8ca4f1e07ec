#ifndef POMELOSPAR_LIBRARIES_SCHEDULING_SERVICE_LEDGER_H_
#define POMELOSPAR_LIBRARIES_SCHEDULING_SERVICE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::scheduling {

/// The shortest period of service reports.
inline constexpr core::Duration kMinimumReportPeriod = std::chrono::milliseconds(200);
/// Most bytes a second that a router spends on its service reports to all peers.
inline constexpr double kReportBytesPerSecond = 1200.0;
/// An incarnation that was silent for this long is folded into the base.
inline constexpr core::Duration kFoldAfter = std::chrono::hours(1);
/// A folded incarnation is remembered for this long, so that late rows are not counted again.
inline constexpr core::Duration kForgetFoldedAfter = std::chrono::hours(48);

/// The time between service reports that keeps the reports to all peers within
/// `kReportBytesPerSecond`, given the bytes of one report to one peer.
core::Duration ReportPeriod(std::size_t peers, std::size_t bytes_per_report);

struct WorkspaceShare {
  core::WorkspaceId workspace{};
  /// Greater than zero.
  double share = 1.0;
};

/// Service received by each workspace in the whole fleet, in cost units.
///
/// Every incarnation of a router owns one growing counter for each workspace. Counters and offsets
/// merge by maximum, so lost, repeated and reordered messages never count service twice.
class ServiceLedger {
 public:
  explicit ServiceLedger(std::uint64_t own_incarnation);

  /// Replaces the shares; a workspace that is absent has share 1.
  void SetShares(std::span<const WorkspaceShare> shares);

  /// Adds cost to the own counter. Negative costs are ignored: counters never decrease.
  void Charge(core::WorkspaceId workspace, double cost);
  /// Raises the offset (cost units per share); a lower value changes nothing.
  void RaiseOffset(core::WorkspaceId workspace, double offset);

  double OwnCounter(core::WorkspaceId workspace) const;
  double Total(core::WorkspaceId workspace) const;
  double Offset(core::WorkspaceId workspace) const;
  double Share(core::WorkspaceId workspace) const;
  /// Total divided by share, plus the offset. Without running work.
  double NormalisedService(core::WorkspaceId workspace) const;

  /// Changes whenever a normalised service may have become smaller; else it only grows.
  std::uint64_t epoch() const { return this->normalisation_epoch; }

  /// The own rows that changed since the last call, and up to `refresh_rows` unchanged rows in
  /// rotation, which repair reports that were lost. Empty if there is nothing to send.
  std::optional<wire::ServiceReport> TakeReport(std::size_t refresh_rows = 1);
  /// All own rows, for a peer that becomes reachable again.
  wire::ServiceReport FullReport();
  void Merge(std::uint64_t incarnation, const wire::ServiceReport& report, core::TimePoint now);
  void MergeCounter(std::uint64_t incarnation, core::WorkspaceId workspace, double counter,
                    core::TimePoint now);

  /// The whole ledger in parts of at most `rows_per_part` rows, for a router that joins.
  std::vector<wire::LedgerRows> State(std::size_t rows_per_part = 200) const;
  /// Merges one part. The base counts once, when all parts of one sender have arrived.
  void MergeState(std::uint64_t sender, const wire::LedgerRows& part, core::TimePoint now);

  /// True once the base of a peer was adopted. A router that has peers should not allocate slots
  /// before, because it would take all workspaces for equal.
  bool has_state() const { return this->base_adopted; }

  /// Folds silent incarnations into the base and forgets those folded long ago.
  void Fold(core::TimePoint now);
  std::size_t incarnations() const { return this->others.size(); }

 private:
  struct Workspace {
    core::WorkspaceId id{};
    double share = 1.0;
    double total = 0.0;
    double own = 0.0;
    double offset = 0.0;
    double base = 0.0;
    bool changed = false;
  };
  struct Incarnation {
    /// Indexed like `workspaces`. A negative value means that the base holds an unknown part of
    /// the counter; the first row received then only sets the value.
    std::vector<double> counters;
    core::TimePoint last_heard{};
    core::TimePoint folded_at{};
    bool folded = false;
    bool unknown = false;
  };
  /// Base parts of one sender until all of them have arrived.
  struct PendingState {
    std::set<std::uint32_t> parts;
    std::vector<wire::LedgerRows> base;
  };

  std::size_t IndexOf(core::WorkspaceId workspace);
  const Workspace* Find(core::WorkspaceId workspace) const;
  void MarkChanged(Workspace& workspace);
  Incarnation& Touch(std::uint64_t incarnation, core::TimePoint now);
  void MergeRow(Incarnation& incarnation, std::size_t index, double counter);
  void MergeRows(std::uint64_t incarnation,
                 const google::protobuf::RepeatedPtrField<wire::ServiceRow>& rows,
                 core::TimePoint now);
  void AdoptBase(const PendingState& pending, core::TimePoint now);
  void MarkFolded(std::uint64_t incarnation, core::TimePoint now);

  std::uint64_t own_incarnation;
  std::uint64_t report_sequence = 0;
  std::uint64_t normalisation_epoch = 0;
  bool base_adopted = false;
  std::size_t refresh_position = 0;
  std::vector<Workspace> workspaces;
  std::vector<std::size_t> changed;
  std::unordered_map<core::WorkspaceId, std::size_t> indexes;
  std::unordered_map<std::uint64_t, Incarnation> others;
  std::unordered_map<std::uint64_t, PendingState> pending;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_SERVICE_LEDGER_H_
