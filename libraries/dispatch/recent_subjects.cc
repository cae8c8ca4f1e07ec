#include "libraries/dispatch/recent_subjects.h"

#include <algorithm>
#include <utility>

namespace pomelospar::dispatch {

void RecentSubjects::Record(std::uint64_t key, core::TimePoint at) {
  if (this->current.size() >= kCapacity && !this->current.contains(key)) {
    this->previous = std::exchange(this->current, {});
  }
  const auto known = this->Find(key);
  this->current[key] = known ? std::max(*known, at) : at;
}

std::optional<core::TimePoint> RecentSubjects::Find(std::uint64_t key) const {
  for (const auto* times : {&this->current, &this->previous}) {
    const auto found = times->find(key);
    if (found != times->end()) return found->second;
  }
  return std::nullopt;
}

}  // namespace pomelospar::dispatch
