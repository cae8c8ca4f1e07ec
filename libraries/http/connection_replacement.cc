#include "libraries/http/connection_replacement.h"

#include <algorithm>

namespace pomelospar::http {

std::optional<ReplacementRank> RankForReplacement(core::TimePoint now, core::Duration grace,
                                                  const ConnectionActivity& activity) {
  using Kind = ReplacementRank::Kind;
  const auto last_progress = std::max(activity.since, activity.last_input);
  switch (activity.stage) {
    case ConnectionStage::kDraining:
      if (now - last_progress < kRefusalGrace) return std::nullopt;
      return ReplacementRank{Kind::kDrained, activity.since};
    case ConnectionStage::kReading:
      if (now - activity.since < grace) return std::nullopt;
      return ReplacementRank{now - last_progress < grace ? Kind::kSlow : Kind::kStalled,
                             activity.since};
    case ConnectionStage::kBusy:
    case ConnectionStage::kServing:
      return std::nullopt;
    case ConnectionStage::kWaiting:
      break;
  }
  if (activity.served_a_request) return ReplacementRank{Kind::kIdle, activity.since};
  if (now - activity.since < grace) return std::nullopt;
  return ReplacementRank{Kind::kSilent, activity.since};
}

}  // namespace pomelospar::http
