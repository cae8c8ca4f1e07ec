#include "services/pomelospard/membership_controller.h"

#include "services/pomelospard/ledger_controller.h"
#include "services/pomelospard/notice_controller.h"
#include "services/pomelospard/scheduling_controller.h"

namespace pomelospar::daemon {
namespace {

void LogEvent(Blackboard& board, std::string_view message, const core::RouterIdentity& router) {
  board.log->Write(
      core::LogLevel::kInfo, message,
      {{"router", std::string_view(router.address)}, {"incarnation", router.incarnation}});
}

// A member that joined, or that a partition had hidden, gets the state that it may have missed.
void WelcomeMember(Blackboard& board, const core::RouterIdentity& router) {
  SendLedgerTo(board, router);
  board.shards_outdated = true;
}

void HandleEvent(Blackboard& board, const membership::MemberEvent& event, const PeerHooks& hooks) {
  switch (event.kind) {
    case membership::EventKind::kJoined:
      LogEvent(board, "router joined", event.router);
      WelcomeMember(board, event.router);
      return;
    case membership::EventKind::kRestarted:
      LogEvent(board, "router restarted", event.router);
      ForgetRouter(board, {event.router.address, event.previous_incarnation});
      WelcomeMember(board, event.router);
      return;
    case membership::EventKind::kDied:
      LogEvent(board, "router died", event.router);
      ForgetRouter(board, event.router);
      hooks.on_gone(event.router);
      return;
    case membership::EventKind::kLeaving:
      LogEvent(board, "router is leaving", event.router);
      board.shards_outdated = true;
      return;
    case membership::EventKind::kGenerationSeen:
      hooks.on_generation(event.router, event.value);
      return;
    case membership::EventKind::kNoticeDigestSeen:
      ReconcileNotices(board, event.router);
      return;
  }
}

}  // namespace

void ApplyMembership(Blackboard& board, membership::Output output, const PeerHooks& hooks) {
  for (auto& message : output.messages) {
    board.outbox->Add(message.receiver, std::move(message.message));
  }
  for (const auto& event : output.events) {
    HandleEvent(board, event, hooks);
  }
}

void TickMembership(Blackboard& board, const PeerHooks& hooks) {
  const auto now = board.clock.now();
  const auto generation = board.configuration != nullptr ? board.configuration->generation : 0;
  board.members->SetLocalState(generation, board.notices->Digest(now));
  ApplyMembership(board, board.members->Tick(now), hooks);
}

}  // namespace pomelospar::daemon
