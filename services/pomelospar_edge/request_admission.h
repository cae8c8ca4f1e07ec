#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REQUEST_ADMISSION_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REQUEST_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "libraries/dispatch/policy.h"
#include "libraries/dispatch/share_window.h"
#include "services/pomelospar_edge/refusal.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

// The decisions about a request before it is placed at a runner. They change no state, so that they
// serve real requests and explanations alike.

inline constexpr std::string_view kStopping = "this router stops";
inline constexpr std::string_view kCrashedRunners = "it or a part of it crashed several runners";

/// Refuses requests while this router stops.
Refusal StoppingRefusal();
/// Refuses a request in quarantine, without Retry-After: a repeat would be refused too.
Refusal QuarantineRefusal();

/// Returns why no request can be sent to `route`, which is null if there is no route, or nothing.
std::optional<Refusal> CheckRoute(const RouterState& state, const dispatch::Route* route);

/// Returns true if requests of the route need an API key.
bool NeedsKey(const dispatch::Policy& policy, const dispatch::Route& route);

/// Returns why a request that needs a key is refused, or nothing. `holder` is the workspace that
/// the key belongs to, or null.
std::optional<Refusal> CheckHolder(const RouterState& state, const dispatch::Workspace* holder);

/// Returns true if this router, which stops, sends no request of the route any more: the end of the
/// process could cut the stream off, and another router can serve it completely.
bool IsRefusedForStop(const RouterState& state, const dispatch::Route& route);

/// True if the process is not stopping, or exits after the request has ended.
bool MaySendDuringStop(const RouterState& state, core::TimePoint received,
                       core::TimePoint deadline);

/// Returns a pseudo-random number in [0, 1), the same for each call with this attempt and purpose.
double DrawFor(std::uint64_t attempt_hash, std::uint64_t purpose);

/// Returns the upstream of the request, or null if it is not declared.
const dispatch::UpstreamPolicy* FindUpstream(const dispatch::Policy& policy,
                                             const dispatch::Route& route,
                                             std::uint64_t attempt_hash);
/// Refuses requests whose route names an upstream that is not declared.
Refusal UndeclaredUpstreamRefusal();

/// Returns true if runners have crashed under one of the subjects, so that a request with it must
/// not be sent.
bool IsRefusedAsSuspect(const RouterState& state, std::span<const std::uint64_t> subjects);

/// Returns true if a caller that waits for `timeout` has probably been refused before. `longest` is
/// the longest time of a caller on the route, with this one.
bool IsCallerRetry(core::Duration timeout, core::Duration longest);

/// Returns the tokens that the request adds to the use of its workspace; none without an engine or
/// a workspace.
dispatch::RequestUse UseOf(const dispatch::UpstreamPolicy& upstream, std::string_view workspace,
                           const dispatch::Prompt& prompt);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REQUEST_ADMISSION_H_
