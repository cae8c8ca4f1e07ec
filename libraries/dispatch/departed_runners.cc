#include "libraries/dispatch/departed_runners.h"

#include <algorithm>

namespace pomelospar::dispatch {

void RecordDeparture(DepartedRunners& departed, const RunnerRecord& record, bool leaving,
                     core::TimePoint now) {
  if (record.started_unix_ms == 0) return;
  auto& runs = departed.runs;
  runs[record.id] = {.started_unix_ms = record.started_unix_ms, .leaving = leaving, .at = now};
  std::erase_if(runs, [&](const auto& run) { return now - run.second.at >= kDepartureLifetime; });
  if (runs.size() <= kMaxDepartures) return;
  runs.erase(std::min_element(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
    return left.second.at < right.second.at;
  }));
}

std::optional<DepartedRun> TakeDeparture(DepartedRunners& departed, const RunnerRecord& record,
                                         core::TimePoint now) {
  const auto found = departed.runs.find(record.id);
  if (found == departed.runs.end()) return std::nullopt;
  const auto run = found->second;
  departed.runs.erase(found);
  const bool is_same = run.started_unix_ms == record.started_unix_ms;
  if (!is_same || now - run.at >= kDepartureLifetime) return std::nullopt;
  return run;
}

}  // namespace pomelospar::dispatch
