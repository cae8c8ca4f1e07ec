#include "libraries/dispatch/runner_directory.h"

#include <utility>

#include "libraries/core/identifiers.h"

namespace pomelospar::dispatch {

bool RunnerDirectory::Apply(const RunnerChange& change) {
  if (!change.record) return this->hashes.erase(change.id) > 0;
  const auto hash = HashOf(*change.record);
  const auto [entry, is_new] = this->hashes.try_emplace(change.id, hash);
  return is_new || std::exchange(entry->second, hash) != hash;
}

std::vector<std::string> RunnerDirectory::MissingFrom(const std::set<std::string>& listed) const {
  std::vector<std::string> missing;
  for (const auto& [id, hash] : this->hashes) {
    if (!listed.contains(id)) missing.push_back(id);
  }
  return missing;
}

std::uint64_t RunnerDirectory::state() const {
  std::uint64_t state = 0;
  for (const auto& [id, hash] : this->hashes) state = core::CombineHashes(state, hash);
  return state;
}

bool RunnerDirectory::CanApply(const DirectoryChange& change) const {
  if (this->state() != change.before) return false;
  auto next = *this;
  for (const auto& entry : change.entries) next.Apply(entry);
  return next.state() == change.after;
}

void DirectoryChangeLog::Record(core::TimePoint now, DirectoryChange change) {
  if (change.before == change.after) return;
  this->recorded.push_back({now, std::move(change)});
}

std::vector<DirectoryChange> DirectoryChangeLog::Recent(core::TimePoint now) {
  while (!this->recorded.empty() && now - this->recorded.front().at > kReportPeriod) {
    this->recorded.pop_front();
  }
  // The newest changes matter most: a router that has the older ones lacks only these.
  std::size_t entries = 0;
  auto first = this->recorded.end();
  while (first != this->recorded.begin()) {
    entries += std::prev(first)->change.entries.size();
    if (entries > kMaxEntries) break;
    --first;
  }
  std::vector<DirectoryChange> recent;
  for (; first != this->recorded.end(); ++first) recent.push_back(first->change);
  return recent;
}

}  // namespace pomelospar::dispatch
