#include "services/pomelospar_edge/request_admission.h"

#include <algorithm>

#include "libraries/core/identifiers.h"
#include "libraries/core/milliseconds.h"

namespace pomelospar::edge {
namespace {

using core::ToMilliseconds;
using std::chrono::milliseconds;

// A caller whose remaining time is less than this share of the longest one on its route is treated
// as one that retries after a refusal; the times of first callers on a route differ by up to 15%. A
// caller that comes back earlier in a long deadline counts as a first caller.
constexpr double kReturningTimeoutShare = 0.84;
// Retry-After while this router lacks a current configuration.
constexpr core::Duration kRetryAfterWhileUnconfirmed = milliseconds(500);
// Retry-After while this router stops. It is short because the retry reaches another router.
constexpr core::Duration kRetryAfterWhileStopping = milliseconds(1);

}  // namespace

Refusal StoppingRefusal() { return {503, kStopping, kRetryAfterWhileStopping}; }

Refusal QuarantineRefusal() { return {503, kCrashedRunners, {}}; }

std::optional<Refusal> CheckRoute(const RouterState& state, const dispatch::Route* route) {
  if (!state.policy) return Refusal{503, "no configuration yet", kRetryAfterWhileUnconfirmed};
  if (state.awaits_suspects) {
    return Refusal{503, "crashing requests are not known yet", kRetryAfterWhileUnconfirmed};
  }
  if (state.policy_is_older) {
    return Refusal{503, "a newer configuration is missing in the store",
                   kRetryAfterWhileUnconfirmed};
  }
  if (route != nullptr) return std::nullopt;
  // The route may have been added after the configuration that this router knows.
  if (!PolicyIsFresh(state, state.settings.configuration_limit)) {
    return Refusal{503, "configuration may be out of date", kRetryAfterWhileUnconfirmed};
  }
  return Refusal{404, "no route", {}};
}

bool NeedsKey(const dispatch::Policy& policy, const dispatch::Route& route) {
  return policy.has_workspaces && !route.open_to_all;
}

std::optional<Refusal> CheckHolder(const RouterState& state, const dispatch::Workspace* holder) {
  const auto& settings = state.settings;
  if (settings.keys_fail_closed && !PolicyIsFresh(state, settings.key_revocation_limit)) {
    return Refusal{503, "keys cannot be confirmed", kRetryAfterWhileUnconfirmed};
  }
  if (holder != nullptr) return std::nullopt;
  if (!PolicyIsFresh(state, settings.configuration_limit)) {
    return Refusal{503, "the key may have been added since", kRetryAfterWhileUnconfirmed};
  }
  return Refusal{401, "unknown key", {}};
}

bool IsRefusedForStop(const RouterState& state, const dispatch::Route& route) {
  return state.stop && route.streaming;
}

bool MaySendDuringStop(const RouterState& state, core::TimePoint received,
                       core::TimePoint deadline) {
  return !state.stop ||
         dispatch::MaySendDuringStop(*state.stop, state.clock.now(), received, deadline);
}

double DrawFor(std::uint64_t attempt_hash, std::uint64_t purpose) {
  return core::UnitFraction(core::CombineHashes(purpose, attempt_hash));
}

const dispatch::UpstreamPolicy* FindUpstream(const dispatch::Policy& policy,
                                             const dispatch::Route& route,
                                             std::uint64_t attempt_hash) {
  const auto name =
      dispatch::ChooseUpstream(route, DrawFor(attempt_hash, core::HashName("upstream")));
  const auto found = policy.upstreams.find(std::string(name));
  return found == policy.upstreams.end() ? nullptr : &found->second;
}

Refusal UndeclaredUpstreamRefusal() {
  return {503, "the route's upstream is not declared", kRetryAfterWhileUnconfirmed};
}

bool IsRefusedAsSuspect(const RouterState& state, std::span<const std::uint64_t> subjects) {
  const auto now = state.clock.now();
  return std::any_of(subjects.begin(), subjects.end(), [&](std::uint64_t subject) {
    return state.suspects.VerdictFor(now, subject) == dispatch::SuspectVerdict::kRefused;
  });
}

bool IsCallerRetry(core::Duration timeout, core::Duration longest) {
  return ToMilliseconds(timeout) < kReturningTimeoutShare * ToMilliseconds(longest);
}

dispatch::RequestUse UseOf(const dispatch::UpstreamPolicy& upstream, std::string_view workspace,
                           const dispatch::Prompt& prompt) {
  if (!upstream.engine || workspace.empty()) return dispatch::RequestUse(0.0);
  return dispatch::RequestUse(ShareTokens(prompt));
}

}  // namespace pomelospar::edge
