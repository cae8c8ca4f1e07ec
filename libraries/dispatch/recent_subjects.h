#ifndef POMELOSPAR_LIBRARIES_DISPATCH_RECENT_SUBJECTS_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_RECENT_SUBJECTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Holds one time for each of the most recently recorded keys, in bounded memory. Between
/// `kCapacity` and twice as many keys are held.
class RecentSubjects {
 public:
  static constexpr std::size_t kCapacity = 8192;

  /// Sets the time of the key, unless a later one is held.
  void Record(std::uint64_t key, core::TimePoint at);
  std::optional<core::TimePoint> Find(std::uint64_t key) const;

 private:
  using Times = std::unordered_map<std::uint64_t, core::TimePoint>;

  Times current;
  /// The keys recorded before `current`, dropped when `current` is full.
  Times previous;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_RECENT_SUBJECTS_H_
