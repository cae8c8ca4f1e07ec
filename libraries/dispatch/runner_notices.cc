#include "libraries/dispatch/runner_notices.h"

#include <algorithm>

namespace pomelospar::dispatch {
namespace {

constexpr core::Duration kLongestRest = std::chrono::minutes(5);

}  // namespace

void OnRest(RunnerNotices& notices, core::TimePoint now, core::Duration asked) {
  const auto rest = std::clamp(asked, core::Duration::zero(), kLongestRest);
  notices.rest_until = std::max(notices.rest_until, now + rest);
  notices.must_prove_itself = true;
}

void OnServed(RunnerNotices& notices, core::TimePoint now) {
  // The answer may belong to a request that was sent before the rest.
  if (!IsResting(notices, now)) notices.must_prove_itself = false;
}

bool IsResting(const RunnerNotices& notices, core::TimePoint now) {
  return now < notices.rest_until;
}

bool MaySend(const RunnerNotices& notices, core::TimePoint now, double active) {
  if (notices.leaving || notices.misdirected || IsResting(notices, now)) return false;
  return !notices.must_prove_itself || active < 1.0;
}

}  // namespace pomelospar::dispatch
