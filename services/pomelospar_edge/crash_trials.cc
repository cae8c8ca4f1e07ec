#include "services/pomelospar_edge/crash_trials.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace pomelospar::edge {

using dispatch::SuspectVerdict;

boost::asio::awaitable<bool> ConfirmTrials(RouterState& state, std::vector<std::uint64_t> subjects,
                                           std::string attempt_id) {
  const auto verdict_for = [&](std::uint64_t subject) {
    return state.suspects.VerdictFor(state.clock.now(), subject);
  };
  // A granted subject is refused to others while its trial runs.
  std::set<std::uint64_t> granted;
  const auto is_refused = [&](std::uint64_t subject) {
    return !granted.contains(subject) && verdict_for(subject) == SuspectVerdict::kRefused;
  };
  if (std::any_of(subjects.begin(), subjects.end(), is_refused)) co_return false;
  for (const auto subject : subjects) {
    if (verdict_for(subject) != SuspectVerdict::kTrial) continue;
    const bool is_granted = co_await state.confirm_crash_trial(subject);
    if (!is_granted) co_return false;
    granted.insert(subject);
    // The question took time, in which other subjects may have been refused.
    if (std::any_of(subjects.begin(), subjects.end(), is_refused)) co_return false;
    state.log.Write(core::LogLevel::kWarning, "crash_trial",
                    {{"request", attempt_id}, {"subject", fmt::format("{:x}", subject)}});
  }
  co_return true;
}

}  // namespace pomelospar::edge
