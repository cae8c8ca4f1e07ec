#ifndef POMELOSPAR_TESTS_LIBRARIES_SCHEDULING_NAIVE_ALLOCATOR_H_
#define POMELOSPAR_TESTS_LIBRARIES_SCHEDULING_NAIVE_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "libraries/scheduling/slot_allocator.h"

namespace pomelospar::scheduling {

/// Reference implementation of the rules of the slot allocator with plain vectors that are scanned
/// for each grant. It does not choose grants itself. It checks each grant of the allocator under
/// test and then applies it, so that ties and rounding do not matter.
struct NaiveAllocator {
  struct Row {
    std::size_t router = 0;
    std::uint64_t workspace = 0;
    std::uint64_t request_class = 0;
    std::uint32_t queued = 0;
    std::uint32_t unconfirmed = 0;
    std::uint32_t outstanding = 0;
    double estimated_cost = 0.0;
    double estimates = 0.0;
    double charged = 0.0;
    std::uint64_t last_granted = 0;

    bool eligible() const { return this->queued > this->unconfirmed && this->unconfirmed < 4; }
    bool blocked() const { return this->queued >= 4 && !this->eligible(); }
  };
  struct Grant {
    std::uint64_t id = 0;
    std::size_t router = 0;
    std::uint64_t workspace = 0;
    std::uint64_t request_class = 0;
    std::uint64_t runner = 0;
    double estimated_cost = 0.0;
    core::TimePoint renewed{};
    bool confirmed = false;
  };
  struct Runner {
    std::uint64_t id = 0;
    std::uint32_t slots = 0;
    std::uint32_t used = 0;
    bool usable = true;
    core::TimePoint paused_until{};

    std::uint32_t free(core::TimePoint now) const {
      const bool grantable = this->usable && this->paused_until <= now;
      return grantable && this->slots > this->used ? this->slots - this->used : 0;
    }
  };

  NaiveAllocator() : ledger(1) {}

  Row& RowOf(std::size_t router, std::uint64_t workspace, std::uint64_t request_class);
  void SetQueued(Row& row, std::uint32_t queued);
  void DropUnused();
  void Receive(std::size_t router, const wire::Demand& demand, core::TimePoint now);
  void EndGrant(std::uint64_t id, double charged);
  void RemoveRouter(std::size_t router);
  void Tick(core::TimePoint now);
  double Normalised(std::uint64_t workspace) const;
  void RaiseOffsets();
  /// Returns the workspaces with an eligible row or for which slots are held back.
  std::vector<std::uint64_t> ContendingWorkspaces(core::TimePoint now) const;
  /// Applies the grant and returns an empty text if the rules allow it; otherwise returns which
  /// rule it breaks.
  std::string CheckGrant(std::size_t router, const wire::Grant& grant, core::TimePoint now);
  /// Returns an empty text if the rules allow that no further grant is issued; otherwise the reason
  /// why one is due.
  std::string CheckStop(core::TimePoint now) const;

  ServiceLedger ledger;
  double credit_limit = 0.0;
  std::vector<Row> rows;
  std::vector<Grant> grants;
  std::vector<Runner> runners;
  std::map<std::uint64_t, double> weights;
  std::map<std::pair<std::uint64_t, std::uint64_t>, double> tags;
  std::map<std::uint64_t, double> virtual_times;
  std::map<std::uint64_t, core::TimePoint> hold_until;
  std::map<std::size_t, core::TimePoint> last_heard;
  std::uint64_t grant_counter = 0;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_TESTS_LIBRARIES_SCHEDULING_NAIVE_ALLOCATOR_H_
