#include "libraries/dispatch/peer_view.h"

#include <algorithm>
#include <utility>

#include "libraries/core/identifiers.h"

namespace pomelospar::dispatch {

void PeerView::Add(const PeerReport& report) {
  for (const auto& [runner, load] : report.runners) this->load_sum[runner] += load;
  for (const auto& [workspace, usage] : report.workspaces) {
    auto& sum = this->usage_sum[workspace];
    sum.asked += usage.asked;
    sum.forecast += usage.forecast;
    sum.served += usage.served;
  }
}

void PeerView::Remove(const PeerReport& report) {
  for (const auto& [runner, load] : report.runners) this->load_sum[runner] -= load;
  for (const auto& [workspace, usage] : report.workspaces) {
    auto& sum = this->usage_sum[workspace];
    sum.asked = std::max(sum.asked - usage.asked, 0.0);
    sum.forecast = std::max(sum.forecast - usage.forecast, 0.0);
    sum.served = std::max(sum.served - usage.served, 0.0);
  }
}

bool PeerView::ApplyPartial(Received& known, const PeerReport& report, core::TimePoint now) {
  if (known.report.incarnation != report.incarnation) return false;
  if (known.report.sequence >= report.sequence) return false;
  if (known.partial_sequence >= report.sequence) return false;
  for (const auto& [runner, load] : report.runners) {
    auto& reported = known.report.runners[runner];
    auto& sum = this->load_sum[runner];
    sum -= reported;
    sum += load;
    reported = load;
  }
  known.partial_sequence = report.sequence;
  known.at = now;
  return true;
}

bool PeerView::Apply(PeerReport report, core::TimePoint now) {
  const auto found = this->reports.find(report.sender);
  if (report.is_partial) {
    return found != this->reports.end() && this->ApplyPartial(found->second, report, now);
  }
  if (found == this->reports.end()) {
    this->Add(report);
    auto sender = report.sender;
    this->reports.emplace(std::move(sender), Received{std::move(report), now});
    return true;
  }
  auto& known = found->second;
  const bool is_same_process = known.report.incarnation == report.incarnation;
  if (is_same_process && known.report.sequence >= report.sequence) return false;
  this->Remove(known.report);
  const auto partial_sequence = is_same_process ? known.partial_sequence : 0;
  // A relayed report arrives later than a partial one that was sent after it.
  if (report.sequence < partial_sequence) report.runners = std::move(known.report.runners);
  this->Add(report);
  known = {std::move(report), now, partial_sequence};
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

EngineLoad PeerView::LoadWithout(const std::string& sender, std::uint64_t runner) const {
  auto load = this->LoadOf(runner);
  const auto found = this->reports.find(sender);
  if (found == this->reports.end()) return load;
  const auto reported = found->second.report.runners.find(runner);
  if (reported != found->second.report.runners.end()) load -= reported->second;
  return load;
}

std::vector<std::string_view> PeerView::RoutersOf(std::string_view domain) const {
  std::vector<std::string_view> names;
  for (const auto& [name, received] : this->reports) {
    if (received.report.domain == domain) names.emplace_back(name);
  }
  return names;
}

std::vector<std::string_view> PeerView::Routers() const {
  std::vector<std::string_view> names;
  names.reserve(this->reports.size() + 1);
  for (const auto& [name, received] : this->reports) names.emplace_back(name);
  return names;
}

WorkspaceUsage PeerView::UsageOf(std::uint64_t workspace) const {
  const auto found = this->usage_sum.find(workspace);
  return found == this->usage_sum.end() ? WorkspaceUsage{} : found->second;
}

}  // namespace pomelospar::dispatch
