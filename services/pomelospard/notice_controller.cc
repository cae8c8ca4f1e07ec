#include "services/pomelospard/notice_controller.h"

#include <utility>

#include "services/pomelospard/crash_controller.h"

namespace pomelospar::daemon {
namespace {

// Far below the size limit of a datagram, so that a batch can share one with other messages.
constexpr std::size_t kBatchBytes = 32UL * 1024;

void SendToAll(RouterState& state, const wire::Notice& notice) {
  wire::NoticeBatch batch;
  *batch.add_notices() = notice;
  for (const auto& peer : state.members->LiveMembers()) {
    state.outbox->Add(peer, batch, &wire::Message::mutable_notice_batch);
  }
}

bool IsAboutRunner(const wire::Notice& notice) {
  return notice.kind() == wire::NOTICE_RUNNER_LEAVING ||
         notice.kind() == wire::NOTICE_RUNNER_DOWN || notice.kind() == wire::NOTICE_RUNNER_DRAINED;
}

}  // namespace

void PublishFact(RouterState& state, const notices::Fact& fact, core::Duration lifetime) {
  const auto published = state.notices->Publish(fact, lifetime, state.clock.now());
  if (!published) {
    state.log->Write(core::LogLevel::kWarning, "notice refused",
                     {{"subject", std::string_view(fact.subject)},
                      {"error", std::string_view(published.error().message)}});
    return;
  }
  if (published.value()) {
    state.shards_outdated = true;
    SendToAll(state, *published.value());
  }
}

void WithdrawFact(RouterState& state, const notices::Fact& fact, core::Duration lifetime) {
  if (const auto notice = state.notices->Withdraw(fact, lifetime, state.clock.now())) {
    state.shards_outdated = true;
    SendToAll(state, *notice);
  }
}

void HandleNoticeBatch(RouterState& state, const wire::NoticeBatch& batch) {
  for (const auto& notice : state.notices->Merge(batch, state.clock.now())) {
    if (IsAboutRunner(notice)) {
      state.shards_outdated = true;
    } else {
      HandleCrashNotice(state, notice);
    }
  }
}

void HandleNoticeRequest(RouterState& state, const core::RouterIdentity& sender) {
  for (auto& batch : state.notices->All(kBatchBytes, state.clock.now())) {
    state.outbox->Add(sender, std::move(batch), &wire::Message::mutable_notice_batch);
  }
}

void ReconcileNotices(RouterState& state, const core::RouterIdentity& peer) {
  HandleNoticeRequest(state, peer);
  state.outbox->Add(peer, wire::NoticeRequest(), &wire::Message::mutable_notice_request);
}

}  // namespace pomelospar::daemon
