#include "libraries/dispatch/load_shedding.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <vector>

namespace pomelospar::dispatch {
namespace {

// Long enough to tell a flood from a clump of requests, and short enough to notice its end.
constexpr core::Duration kWindow = std::chrono::seconds(1);

}  // namespace

bool LoadShedding::MustShed(core::TimePoint now, std::uint64_t workspace, double fraction) {
  auto& own = this->workspaces.try_emplace(workspace, Arrivals{SlidingSum(kWindow)}).first->second;
  own.requests.Add(now, 1.0);
  if (fraction <= 0.0) return false;
  std::vector<double> requests;
  requests.reserve(this->workspaces.size());
  std::erase_if(this->workspaces, [&](const auto& entry) {
    const double sum = entry.second.requests.Sum(now);
    if (sum > 0.0) requests.push_back(sum);
    return sum <= 0.0;
  });
  const double all = std::accumulate(requests.begin(), requests.end(), 0.0);
  const double level = MaxMinLevel(requests, all * (1.0 - fraction));
  const double arrived = own.requests.Sum(now);
  own.due += std::max(1.0 - level / arrived, 0.0);
  if (own.due < 1.0) return false;
  own.due -= 1.0;
  return true;
}

}  // namespace pomelospar::dispatch
