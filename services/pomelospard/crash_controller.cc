#include "services/pomelospard/crash_controller.h"

#include <fmt/format.h>

#include <set>
#include <vector>

#include "services/pomelospard/notice_controller.h"

namespace pomelospar::daemon {
namespace {

using admission::CrashTracker;
using admission::Suspicion;

// Two routers report the same crash, so the name of a suspicion holds its origin besides.
constexpr char kOriginSeparator = '@';

std::string CrashName(const runners::RunnerEntry& runner) {
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

// Ends the own suspicions about a fingerprint on all routers; the others take the withdrawal for a
// success.
void WithdrawSuspicions(Blackboard& board, const admission::Fingerprint& fingerprint) {
  const auto own = board.own_suspicions.extract(fingerprint);
  if (own.empty()) {
    return;
  }
  for (const auto& suspicion : own.mapped()) {
    WithdrawFact(board, FactOf(suspicion), CrashTracker::kRetention);
  }
}

}  // namespace

void ReportRunnerCrash(Blackboard& board, core::RunnerId runner,
                       const admission::Fingerprint& fingerprint) {
  const auto* entry = board.runners.Find(runner);
  if (entry == nullptr) {
    return;
  }
  std::set<admission::Fingerprint> in_flight = {fingerprint};
  for (const auto& [id, request] : board.running) {
    if (request.runner == runner) {
      in_flight.insert(request.fingerprint);
    }
  }
  const std::vector<admission::Fingerprint> fingerprints(in_flight.begin(), in_flight.end());
  const auto suspicions =
      board.crashes->OnRunnerCrash(board.clock.now(), CrashName(*entry), fingerprints);
  for (const auto& suspicion : suspicions) {
    board.own_suspicions[suspicion.fingerprint].push_back(suspicion);
    PublishFact(board, FactOf(suspicion), CrashTracker::kRetention);
  }
  board.log->Write(core::LogLevel::kWarning, "runner crashed",
                   {{"runner", std::string_view(entry->address)},
                    {"in_flight", static_cast<std::uint64_t>(in_flight.size())}});
}

void NoteSuccess(Blackboard& board, const admission::Fingerprint& fingerprint) {
  if (board.crashes->OnSuccess(fingerprint)) {
    WithdrawSuspicions(board, fingerprint);
  }
}

void ClearQuarantine(Blackboard& board, const admission::Fingerprint& fingerprint) {
  board.crashes->Forget(fingerprint);
  WithdrawFact(board, QuarantineFact(fingerprint), CrashTracker::kRetention);
}

void HandleCrashNotice(Blackboard& board, const wire::Notice& notice) {
  const auto now = board.clock.now();
  const auto& fingerprint = notice.subject();
  if (notice.kind() == wire::NOTICE_QUARANTINE) {
    if (notice.withdrawn()) {
      board.crashes->Forget(fingerprint);
    } else {
      board.crashes->MergeQuarantine(now, fingerprint,
                                     std::chrono::seconds(notice.remaining_seconds()));
    }
    return;
  }
  if (notice.withdrawn()) {
    board.crashes->OnSuccess(fingerprint);
    return;
  }
  const auto& name = notice.subject_incarnation();
  const auto separator = name.rfind(kOriginSeparator);
  board.crashes->MergeSuspicion(now, {.fingerprint = fingerprint,
                                      .crash = name.substr(0, separator),
                                      .origin = notice.origin(),
                                      .in_flight = notice.value()});
}

void TickCrashes(Blackboard& board) {
  for (const auto& fingerprint : board.crashes->Tick(board.clock.now())) {
    PublishFact(board, QuarantineFact(fingerprint), CrashTracker::kRetention);
    board.log->Write(core::LogLevel::kWarning, "request quarantined",
                     {{"fingerprint", std::string_view(fingerprint)}});
  }
}

}  // namespace pomelospar::daemon
