#include "libraries/dispatch/crash_suspects.h"

#include "libraries/core/identifiers.h"

namespace pomelospar::dispatch {
namespace {

// Number of reports that include a suspicion. In a large fleet only every fourth report goes to
// other failure domains, and some datagrams are lost.
constexpr unsigned kReportsPerSuspicion = 12;
// One crash makes every request of this router on that runner a suspect.
constexpr std::size_t kMaxSuspects = 4096;

}  // namespace

std::uint64_t RequestFingerprint(std::string_view workspace, std::string_view target,
                                 std::string_view body) {
  return core::CombineHashes(core::HashName(workspace),
                             core::CombineHashes(core::HashName(target), core::HashName(body)));
}

void CrashSuspects::RecordLocalCrash(core::TimePoint now, const Suspicion& suspicion) {
  this->RecordCrash(now, suspicion);
  this->pending_suspicions.push_back({suspicion, kReportsPerSuspicion});
}

void CrashSuspects::RecordCrash(core::TimePoint now, const Suspicion& suspicion) {
  if (this->suspects.size() >= kMaxSuspects) {
    std::erase_if(this->suspects,
                  [&](const auto& entry) { return now - entry.second.last > kRetention; });
  }
  if (this->suspects.size() >= kMaxSuspects) return;
  auto& suspect = this->suspects[suspicion.request];
  if (suspect.crashes.insert(suspicion.crash).second) suspect.last = now;
}

void CrashSuspects::OnSuccess(std::uint64_t request) { this->suspects.erase(request); }

bool CrashSuspects::IsRefused(core::TimePoint now, std::uint64_t request) const {
  const auto found = this->suspects.find(request);
  return found != this->suspects.end() && found->second.crashes.size() >= kCrashLimit &&
         now - found->second.last <= kRetention;
}

std::vector<Suspicion> CrashSuspects::TakePendingSuspicions() {
  std::vector<Suspicion> taken;
  for (auto& entry : this->pending_suspicions) {
    taken.push_back(entry.suspicion);
    --entry.sends_left;
  }
  std::erase_if(this->pending_suspicions,
                [](const PendingSuspicion& entry) { return entry.sends_left == 0; });
  return taken;
}

}  // namespace pomelospar::dispatch
