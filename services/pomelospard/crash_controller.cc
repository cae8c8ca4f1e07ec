#include "services/pomelospard/crash_controller.h"

#include <fmt/format.h>

#include <set>
#include <vector>

#include "services/pomelospard/notice_controller.h"

namespace pomelospar::daemon {
namespace {

using admission::CrashTracker;
using admission::Suspicion;

// Several routers may report the same crash, so the name of a suspicion also holds the router that
// it comes from.
constexpr char kOriginSeparator = '@';

std::string CrashIdentifier(const runners::RunnerEntry& runner) {
  return fmt::format("{}#{}", runner.address, runner.incarnation);
}

notices::Fact FactOf(const Suspicion& suspicion) {
  return {.kind = wire::NOTICE_CRASH_SUSPICION,
          .subject = suspicion.fingerprint,
          .subject_incarnation =
              fmt::format("{}{}{:016x}", suspicion.crash, kOriginSeparator, suspicion.origin),
          .value = suspicion.in_flight};
}

notices::Fact QuarantineFact(const admission::Fingerprint& fingerprint) {
  return {.kind = wire::NOTICE_QUARANTINE, .subject = fingerprint, .subject_incarnation = {}};
}

// Withdraws this router's suspicions about a fingerprint on all routers. The others treat the
// withdrawal as a success of the request.
void WithdrawSuspicions(RouterState& state, const admission::Fingerprint& fingerprint) {
  const auto own = state.own_suspicions.extract(fingerprint);
  if (own.empty()) {
    return;
  }
  for (const auto& suspicion : own.mapped()) {
    WithdrawFact(state, FactOf(suspicion), CrashTracker::kRetention);
  }
}

}  // namespace

void ReportRunnerCrash(RouterState& state, core::RunnerId runner,
                       const admission::Fingerprint& fingerprint) {
  const auto* entry = state.runners.Find(runner);
  if (entry == nullptr) {
    return;
  }
  std::set<admission::Fingerprint> in_flight = {fingerprint};
  for (const auto& [id, request] : state.running) {
    if (request.runner == runner) {
      in_flight.insert(request.fingerprint);
    }
  }
  const std::vector<admission::Fingerprint> fingerprints(in_flight.begin(), in_flight.end());
  const auto suspicions =
      state.crashes->OnRunnerCrash(state.clock.now(), CrashIdentifier(*entry), fingerprints);
  for (const auto& suspicion : suspicions) {
    state.own_suspicions[suspicion.fingerprint].push_back(suspicion);
    PublishFact(state, FactOf(suspicion), CrashTracker::kRetention);
  }
  state.log->Write(core::LogLevel::kWarning, "runner crashed",
                   {{"runner", std::string_view(entry->address)},
                    {"in_flight", static_cast<std::uint64_t>(in_flight.size())}});
}

void RecordSuccess(RouterState& state, const admission::Fingerprint& fingerprint) {
  if (state.crashes->OnSuccess(fingerprint)) {
    WithdrawSuspicions(state, fingerprint);
  }
}

void ClearQuarantine(RouterState& state, const admission::Fingerprint& fingerprint) {
  state.crashes->Forget(fingerprint);
  WithdrawFact(state, QuarantineFact(fingerprint), CrashTracker::kRetention);
}

void HandleCrashNotice(RouterState& state, const wire::Notice& notice) {
  const auto now = state.clock.now();
  const auto& fingerprint = notice.subject();
  if (notice.kind() == wire::NOTICE_QUARANTINE) {
    if (notice.withdrawn()) {
      state.crashes->Forget(fingerprint);
    } else {
      state.crashes->MergeQuarantine(now, fingerprint,
                                     std::chrono::seconds(notice.remaining_seconds()));
    }
    return;
  }
  if (notice.withdrawn()) {
    state.crashes->OnSuccess(fingerprint);
    return;
  }
  const auto& name = notice.subject_incarnation();
  const auto separator = name.rfind(kOriginSeparator);
  state.crashes->MergeSuspicion(now, {.fingerprint = fingerprint,
                                      .crash = name.substr(0, separator),
                                      .origin = notice.origin(),
                                      .in_flight = notice.value()});
}

void TickCrashes(RouterState& state) {
  for (const auto& fingerprint : state.crashes->Tick(state.clock.now())) {
    PublishFact(state, QuarantineFact(fingerprint), CrashTracker::kRetention);
    state.log->Write(core::LogLevel::kWarning, "request quarantined",
                     {{"fingerprint", std::string_view(fingerprint)}});
  }
}

}  // namespace pomelospar::daemon
