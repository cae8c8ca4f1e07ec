#include "services/pomelospard/notice_controller.h"

#include <utility>

#include "services/pomelospard/crash_controller.h"

namespace pomelospar::daemon {
namespace {

// Far below the limit of a datagram, so that a batch shares one with other messages.
constexpr std::size_t kBatchBytes = 32UL * 1024;

void SendToAll(Blackboard& board, const wire::Notice& notice) {
  wire::NoticeBatch batch;
  *batch.add_notices() = notice;
  for (const auto& peer : board.members->LiveMembers()) {
    board.outbox->Add(peer, batch, &wire::Message::mutable_notice_batch);
  }
}

bool IsAboutRunner(const wire::Notice& notice) {
  return notice.kind() == wire::NOTICE_RUNNER_LEAVING ||
         notice.kind() == wire::NOTICE_RUNNER_DOWN || notice.kind() == wire::NOTICE_RUNNER_DRAINED;
}

}  // namespace

void PublishFact(Blackboard& board, const notices::Fact& fact, core::Duration lifetime) {
  const auto published = board.notices->Publish(fact, lifetime, board.clock.now());
  if (!published) {
    board.log->Write(core::LogLevel::kWarning, "notice refused",
                     {{"subject", std::string_view(fact.subject)},
                      {"error", std::string_view(published.error().message)}});
    return;
  }
  if (published.value()) {
    board.shards_outdated = true;
    SendToAll(board, *published.value());
  }
}

void WithdrawFact(Blackboard& board, const notices::Fact& fact, core::Duration lifetime) {
  if (const auto notice = board.notices->Withdraw(fact, lifetime, board.clock.now())) {
    board.shards_outdated = true;
    SendToAll(board, *notice);
  }
}

void HandleNoticeBatch(Blackboard& board, const wire::NoticeBatch& batch) {
  for (const auto& notice : board.notices->Merge(batch, board.clock.now())) {
    if (IsAboutRunner(notice)) {
      board.shards_outdated = true;
    } else {
      HandleCrashNotice(board, notice);
    }
  }
}

void HandleNoticeRequest(Blackboard& board, const core::RouterIdentity& sender) {
  for (auto& batch : board.notices->All(kBatchBytes, board.clock.now())) {
    board.outbox->Add(sender, std::move(batch), &wire::Message::mutable_notice_batch);
  }
}

void ReconcileNotices(Blackboard& board, const core::RouterIdentity& peer) {
  HandleNoticeRequest(board, peer);
  board.outbox->Add(peer, wire::NoticeRequest(), &wire::Message::mutable_notice_request);
}

}  // namespace pomelospar::daemon
