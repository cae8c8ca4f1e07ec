#include "libraries/admission/crash_tracker.h"

#include <algorithm>

#include "libraries/admission/digest.h"

namespace pomelospar::admission {
namespace {

// A single crash may have another cause, such as the hardware, so a request must have been in
// flight in two.
constexpr std::size_t kCrashesForQuarantine = 2;

template <typename Map, typename Projection>
auto EarliestOf(Map& map, Projection projection) {
  return std::ranges::min_element(map, {},
                                  [&](const auto& entry) { return projection(entry.second); });
}

}  // namespace

Fingerprint FingerprintOf(std::string_view workspace, std::string_view method,
                          std::string_view path, std::string_view body) {
  return ToHex(Sha256OfParts({workspace, method, path, body}));
}

CrashTracker::CrashTracker(std::uint64_t origin) : origin(origin) {}

std::vector<Suspicion> CrashTracker::OnRunnerCrash(core::TimePoint now, const std::string& crash,
                                                   std::span<const Fingerprint> in_flight) {
  const std::set<Fingerprint> distinct(in_flight.begin(), in_flight.end());
  std::vector<Suspicion> suspicions;
  for (const auto& fingerprint : distinct) {
    const auto count = static_cast<std::uint32_t>(distinct.size());
    suspicions.push_back(Suspicion{fingerprint, crash, this->origin, count});
    this->AddSuspicion(now, suspicions.back());
  }
  return suspicions;
}

void CrashTracker::MergeSuspicion(core::TimePoint now, const Suspicion& suspicion) {
  this->AddSuspicion(now, suspicion);
}

void CrashTracker::AddSuspicion(core::TimePoint now, const Suspicion& suspicion) {
  if (!this->crash_map.contains(suspicion.crash)) {
    this->EvictOldestCrashIfFull();
    this->crash_map[suspicion.crash].first_reported = now;
  }
  if (!this->suspect_map.contains(suspicion.fingerprint)) {
    this->EvictOldestSuspectIfFull();
  }
  auto& crash = this->crash_map[suspicion.crash];
  auto& report = crash.reports[suspicion.origin];
  report.expected = std::max(report.expected, suspicion.in_flight);
  report.received.insert(suspicion.fingerprint);
  crash.candidates.insert(suspicion.fingerprint);
  auto& suspect = this->suspect_map[suspicion.fingerprint];
  const bool is_new = suspect.crashes.insert(suspicion.crash).second;
  if (is_new && !suspect.quarantined) {
    suspect.expires = now + kRetention;
  }
}

void CrashTracker::EvictOldestSuspectIfFull() {
  if (this->suspect_map.size() < kMaximumSuspects) {
    return;
  }
  const auto oldest = EarliestOf(this->suspect_map, [](const Suspect& suspect) {
    return std::pair(suspect.quarantined, suspect.expires);
  });
  this->Drop(Fingerprint(oldest->first), false);
}

void CrashTracker::EvictOldestCrashIfFull() {
  if (this->crash_map.size() < kMaximumCrashes) {
    return;
  }
  const auto oldest =
      EarliestOf(this->crash_map, [](const Crash& crash) { return crash.first_reported; });
  for (const auto& fingerprint : oldest->second.candidates) {
    const auto suspect = this->suspect_map.find(fingerprint);
    if (suspect != this->suspect_map.end()) {
      suspect->second.crashes.erase(oldest->first);
    }
  }
  this->crash_map.erase(oldest);
}

void CrashTracker::Drop(const Fingerprint& fingerprint, bool succeeded) {
  const auto suspect = this->suspect_map.find(fingerprint);
  if (suspect == this->suspect_map.end()) {
    return;
  }
  for (const auto& name : suspect->second.crashes) {
    const auto crash = this->crash_map.find(name);
    if (crash == this->crash_map.end()) {
      continue;
    }
    crash->second.candidates.erase(fingerprint);
    crash->second.conclusive = crash->second.conclusive && succeeded;
    if (crash->second.candidates.empty()) {
      this->crash_map.erase(crash);
    }
  }
  this->suspect_map.erase(suspect);
}

bool CrashTracker::OnSuccess(const Fingerprint& fingerprint) {
  const bool known = this->suspect_map.contains(fingerprint);
  this->Drop(fingerprint, true);
  return known;
}

void CrashTracker::MergeQuarantine(core::TimePoint now, const Fingerprint& fingerprint,
                                   core::Duration remaining) {
  if (!this->suspect_map.contains(fingerprint)) {
    this->EvictOldestSuspectIfFull();
  }
  auto& suspect = this->suspect_map[fingerprint];
  const auto expires = now + std::min(remaining, kRetention);
  suspect.expires = suspect.quarantined ? std::max(suspect.expires, expires) : expires;
  suspect.quarantined = true;
}

void CrashTracker::Forget(const Fingerprint& fingerprint) { this->Drop(fingerprint, false); }

bool CrashTracker::MustQuarantine(core::TimePoint now, const Fingerprint& fingerprint,
                                  const Suspect& suspect) const {
  if (suspect.crashes.size() < kCrashesForQuarantine) {
    return false;
  }
  return std::ranges::any_of(suspect.crashes, [&](const std::string& name) {
    const auto found = this->crash_map.find(name);
    if (found == this->crash_map.end()) {
      return false;
    }
    const auto& crash = found->second;
    const bool complete = std::ranges::all_of(crash.reports, [](const auto& report) {
      return report.second.received.size() >= report.second.expected;
    });
    const bool only_candidate =
        crash.candidates.size() == 1 && crash.candidates.contains(fingerprint);
    return only_candidate && complete && crash.conclusive &&
           now - crash.first_reported >= kSettleTime;
  });
}

bool CrashTracker::AwaitsNotices(core::TimePoint now, const Suspect& suspect) const {
  return std::ranges::any_of(suspect.crashes, [&](const std::string& name) {
    const auto found = this->crash_map.find(name);
    return found != this->crash_map.end() && now - found->second.first_reported < kSettleTime;
  });
}

CrashVerdict CrashTracker::VerdictFor(core::TimePoint now, const Fingerprint& fingerprint) const {
  const auto found = this->suspect_map.find(fingerprint);
  if (found == this->suspect_map.end() || now >= found->second.expires) {
    return CrashVerdict::kAllowed;
  }
  const auto& suspect = found->second;
  if (suspect.quarantined || this->MustQuarantine(now, fingerprint, suspect)) {
    return CrashVerdict::kQuarantined;
  }
  if (suspect.crashes.size() >= kCrashesForQuarantine && this->AwaitsNotices(now, suspect)) {
    return CrashVerdict::kPending;
  }
  return CrashVerdict::kRunAlone;
}

bool CrashTracker::MustRunAlone(core::TimePoint now, const Fingerprint& fingerprint) const {
  const auto verdict = this->VerdictFor(now, fingerprint);
  return verdict == CrashVerdict::kRunAlone || verdict == CrashVerdict::kPending;
}

std::vector<Fingerprint> CrashTracker::Quarantined() const {
  std::vector<Fingerprint> fingerprints;
  for (const auto& [fingerprint, suspect] : this->suspect_map) {
    if (suspect.quarantined) {
      fingerprints.push_back(fingerprint);
    }
  }
  return fingerprints;
}

std::vector<Fingerprint> CrashTracker::Tick(core::TimePoint now) {
  std::vector<Fingerprint> expired;
  std::vector<Fingerprint> newly_quarantined;
  for (auto& [fingerprint, suspect] : this->suspect_map) {
    if (now >= suspect.expires) {
      expired.push_back(fingerprint);
    } else if (!suspect.quarantined && this->MustQuarantine(now, fingerprint, suspect)) {
      suspect.quarantined = true;
      suspect.expires = now + kRetention;
      newly_quarantined.push_back(fingerprint);
    }
  }
  for (const auto& fingerprint : expired) {
    this->Drop(fingerprint, false);
  }
  return newly_quarantined;
}

}  // namespace pomelospar::admission
