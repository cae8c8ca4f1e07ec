#include "libraries/dispatch/share_window.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace pomelospar::dispatch {

SlidingSum::SlidingSum(core::Duration window)
    : part_length(std::max<core::Duration>(window / kParts, std::chrono::milliseconds(1))) {}

std::int64_t SlidingSum::PartNumber(core::TimePoint now) const {
  return now.time_since_epoch() / this->part_length;
}

void SlidingSum::Add(core::TimePoint now, double amount) {
  const auto number = this->PartNumber(now);
  auto& part = this->parts[static_cast<std::size_t>(number) % kParts];
  if (part.number != number) part = {number, 0.0};
  part.sum += amount;
}

double SlidingSum::Sum(core::TimePoint now) const {
  const auto oldest = this->PartNumber(now) - static_cast<std::int64_t>(kParts) + 1;
  double sum = 0.0;
  for (const auto& part : this->parts) {
    if (part.number >= oldest) sum += part.sum;
  }
  return sum;
}

double MaxMinLevel(std::span<const double> demands, double capacity) {
  std::vector<double> sorted(demands.begin(), demands.end());
  std::sort(sorted.begin(), sorted.end());
  double left = capacity;
  auto count = static_cast<double>(sorted.size());
  for (const double demand : sorted) {
    if (demand * count > left) return left / count;
    left -= demand;
    count -= 1.0;
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace pomelospar::dispatch
