#include "services/pomelospard/membership_controller.h"

#include "services/pomelospard/ledger_controller.h"
#include "services/pomelospard/notice_controller.h"
#include "services/pomelospard/scheduling_controller.h"

namespace pomelospar::daemon {
namespace {

void LogEvent(RouterState& state, std::string_view message, const core::RouterIdentity& router) {
  state.log->Write(
      core::LogLevel::kInfo, message,
      {{"router", std::string_view(router.address)}, {"incarnation", router.incarnation}});
}

// Sends the ledger state that it may have missed to a router that joined or is reachable again
// after a partition, and has the shards assigned again.
void SendMissedState(RouterState& state, const core::RouterIdentity& router) {
  SendLedgerTo(state, router);
  state.shards_outdated = true;
}

void HandleEvent(RouterState& state, const membership::MemberEvent& event, const PeerHooks& hooks) {
  switch (event.kind) {
    case membership::EventKind::kJoined:
      LogEvent(state, "router joined", event.router);
      SendMissedState(state, event.router);
      return;
    case membership::EventKind::kRestarted:
      LogEvent(state, "router restarted", event.router);
      ForgetRouter(state, {event.router.address, event.previous_incarnation});
      SendMissedState(state, event.router);
      return;
    case membership::EventKind::kDied:
      LogEvent(state, "router died", event.router);
      ForgetRouter(state, event.router);
      hooks.on_gone(event.router);
      return;
    case membership::EventKind::kLeaving:
      LogEvent(state, "router is leaving", event.router);
      state.shards_outdated = true;
      return;
    case membership::EventKind::kGenerationSeen:
      hooks.on_generation(event.router, event.value);
      return;
    case membership::EventKind::kNoticeDigestSeen:
      ReconcileNotices(state, event.router);
      return;
  }
}

}  // namespace

void ApplyMembership(RouterState& state, membership::Output output, const PeerHooks& hooks) {
  for (auto& message : output.messages) {
    state.outbox->Add(message.receiver, std::move(message.message));
  }
  for (const auto& event : output.events) {
    HandleEvent(state, event, hooks);
  }
}

void TickMembership(RouterState& state, const PeerHooks& hooks) {
  const auto now = state.clock.now();
  const auto generation = state.configuration != nullptr ? state.configuration->generation : 0;
  state.members->SetLocalState(generation, state.notices->Digest(now));
  ApplyMembership(state, state.members->Tick(now), hooks);
}

}  // namespace pomelospar::daemon
