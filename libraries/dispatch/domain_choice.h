#ifndef POMELOSPAR_LIBRARIES_DISPATCH_DOMAIN_CHOICE_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_DOMAIN_CHOICE_H_

#include <cstddef>
#include <limits>
#include <optional>
#include <string_view>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Twice the assumed one-way delay between failure domains, in milliseconds. The known deployments
/// have one-way delays of 0.5 to 1.4 ms, which routers do not measure.
inline constexpr double kDomainRoundTripMs = 2.0;

/// Returns the price, in milliseconds of the caller's time, of sending a request of `bytes` to
/// another failure domain. `ms_per_mib` is what the operator accepts for each mebibyte; without it
/// the price is the round trip alone.
double LeavingPriceMs(std::optional<double> ms_per_mib, double bytes);

/// Conditions for sending one request to another failure domain. With the defaults a request goes
/// where its cost is lowest.
struct LeavingTerms {
  double price_ms = kDomainRoundTripMs;
  /// Time that is left to meet the latency objective, in milliseconds; 0 if the objective is not
  /// considered.
  double objective_ms = 0.0;
  /// False if the request stays while its own domain has room, even if leaving pays.
  bool may_leave = true;
};

/// Returns the part of a candidate's cost that is due to its failure domain, in milliseconds.
double DomainCostMs(const LeavingTerms& terms, bool other_domain);

enum class LeavingReason {
  /// Staying is better, or no other domain has room.
  kNone,
  /// The request's own domain has no room for it.
  kNoRoom,
  /// The own domain misses the latency objective and another one meets it.
  kObjective,
  /// The gain exceeds the price.
  kGain,
};

std::string_view NameOf(LeavingReason reason);

/// The best runner of the own or of the other failure domains.
struct DomainCandidate {
  std::size_t option = 0;
  /// Includes `DomainCostMs`; infinite if no runner has room.
  double cost = std::numeric_limits<double>::infinity();
  /// Shortest forecast time to the response of any of these runners that is relevant for the
  /// latency objective, in milliseconds.
  double forecast_ms = std::numeric_limits<double>::infinity();

  bool has_room() const { return this->cost < std::numeric_limits<double>::infinity(); }
};

/// The best runners of the own and of the other failure domains, collected one by one.
class DomainCandidates {
 public:
  /// Adds a runner with room for the request. `cost` includes `DomainCostMs`.
  void Add(std::size_t option, bool other_domain, double cost, double forecast_ms);

  const DomainCandidate& home() const { return this->best_home; }
  const DomainCandidate& away() const { return this->best_away; }
  bool empty() const { return !this->best_home.has_room() && !this->best_away.has_room(); }

 private:
  DomainCandidate best_home;
  DomainCandidate best_away;
};

struct DomainChoice {
  std::size_t option = 0;
  /// Why leaving pays, whether or not the request may leave.
  LeavingReason reason = LeavingReason::kNone;
  bool leaves = false;
};

/// Chooses between the own and the other failure domains: the request stays unless its own domain
/// has no room, or leaving pays and `terms.may_leave` is true. Returns nothing if no runner has
/// room.
std::optional<DomainChoice> ChooseDomain(const DomainCandidates& candidates,
                                         const LeavingTerms& terms);

/// Share of the requests for which leaving pays that one router lets leave. It approaches the
/// recent fraction of requests for which leaving pays by at most `kMaxStep` each period. Without
/// this limit, all routers would send to the same neighbor until they see its load, which other
/// domains learn up to half a second late, and would then all return.
class LeavingShare {
 public:
  static constexpr core::Duration kPeriod = std::chrono::milliseconds(250);
  static constexpr double kMaxStep = 0.1;
  /// After so long without requests the share restarts at 0.
  static constexpr core::Duration kMaxPause = std::chrono::seconds(2);
  /// The regime ends when no request has left for so long.
  static constexpr core::Duration kQuietTime = std::chrono::seconds(5);

  /// Returns the share in [0, 1] at `now`.
  double At(core::TimePoint now);

  /// Counts a placed request, once. `reason` says why leaving pays; requests without room in their
  /// own domain do not change the share, since they leave in any case.
  void Count(core::TimePoint now, const DomainChoice& choice);

  /// Returns true if requests have left within the last `kQuietTime`.
  bool SomeLeave(core::TimePoint now) const;

 private:
  void Advance(core::TimePoint now);

  double share = 0.0;
  core::TimePoint period_begin{};
  double counted = 0.0;
  double paying = 0.0;
  std::optional<core::TimePoint> last_left;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_DOMAIN_CHOICE_H_
