#include "libraries/dispatch/peer_view.h"

#include <algorithm>
#include <utility>

namespace pomelospar::dispatch {

void PeerView::Add(const PeerReport& report) {
  for (const auto& [runner, load] : report.runners) this->load_sum[runner] += load;
  for (const auto& [workspace, usage] : report.workspaces) {
    auto& sum = this->usage_sum[workspace];
    sum.asked += usage.asked;
    sum.served += usage.served;
  }
}

void PeerView::Remove(const PeerReport& report) {
  for (const auto& [runner, load] : report.runners) this->load_sum[runner] -= load;
  for (const auto& [workspace, usage] : report.workspaces) {
    auto& sum = this->usage_sum[workspace];
    sum.asked = std::max(sum.asked - usage.asked, 0.0);
    sum.served = std::max(sum.served - usage.served, 0.0);
  }
}

bool PeerView::Apply(PeerReport report, core::TimePoint now) {
  const auto found = this->reports.find(report.sender);
  if (found == this->reports.end()) {
    this->Add(report);
    auto sender = report.sender;
    this->reports.emplace(std::move(sender), Received{std::move(report), now});
    return true;
  }
  auto& known = found->second;
  if (known.report.incarnation == report.incarnation && known.report.sequence >= report.sequence) {
    return false;
  }
  this->Remove(known.report);
  this->Add(report);
  known = {std::move(report), now};
  return true;
}

std::size_t PeerView::Expire(core::TimePoint now, core::Duration limit) {
  const auto expired = std::erase_if(this->reports, [&](const auto& entry) {
    if (now - entry.second.at <= limit) return false;
    this->Remove(entry.second.report);
    return true;
  });
  // Floating-point errors add up in the sums, so these are computed anew. Without reports they are
  // exactly zero.
  if (expired > 0) {
    this->load_sum.clear();
    this->usage_sum.clear();
    for (const auto& [sender, received] : this->reports) this->Add(received.report);
  }
  return expired;
}

std::size_t PeerView::RankOf(std::string_view name, std::string_view domain) const {
  return static_cast<std::size_t>(
      std::count_if(this->reports.begin(), this->reports.end(), [&](const auto& entry) {
        return entry.first < name && (domain.empty() || entry.second.report.domain == domain);
      }));
}

EngineLoad PeerView::LoadOf(std::uint64_t runner) const {
  const auto found = this->load_sum.find(runner);
  return found == this->load_sum.end() ? EngineLoad{} : found->second;
}

WorkspaceUsage PeerView::UsageOf(std::uint64_t workspace) const {
  const auto found = this->usage_sum.find(workspace);
  return found == this->usage_sum.end() ? WorkspaceUsage{} : found->second;
}

}  // namespace pomelospar::dispatch
