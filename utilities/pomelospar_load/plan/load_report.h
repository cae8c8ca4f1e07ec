#ifndef POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_PLAN_LOAD_REPORT_H_
#define POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_PLAN_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "utilities/pomelospar_load/plan/load_plan.h"

namespace pomelospar::load {

enum class RequestResult {
  /// Whole, and the caller's own.
  kAnswered,
  /// An error status of the upstream, relayed whole.
  kFailed,
  /// Status below 500 and not run.
  kRefused,
  /// Not run for a cause other than the request itself, or no connection to the router.
  kNotRun,
  /// Cut off, timed out, or declared unknown by the router.
  kUnknown,
  /// A response that looks complete and is not the whole answer to this request.
  kWrong,
  /// Not sent because too many requests were in flight.
  kNotSent,
};

std::string_view NameOf(RequestResult result);

/// What was seen of one attempt. Times are in seconds from the begin of the run.
struct Observation {
  PlannedRequest request;
  unsigned attempt = 1;
  std::string target;
  double planned = 0.0;
  double sent = 0.0;
  std::optional<double> first_event;
  double done = 0.0;
  /// Gaps between events, seconds.
  std::vector<float> gaps;
  std::uint64_t tokens = 0;
  unsigned status = 0;
  std::string outcome_header;
  /// Whether any byte of the request may have reached the router.
  bool was_sent = false;
  /// Whether the whole HTTP response was received.
  bool complete = false;
  /// What was wrong with a complete answer; empty if nothing.
  std::string problem;
};

RequestResult ResultOf(const Observation& observation);

/// One JSON object without line end.
std::string HistoryLine(const Observation& observation);

/// Collects observations for each workspace and class. Latencies count from the planned send time.
class LoadReport {
 public:
  void Add(const Observation& observation);

  /// `seconds` is the length of the run, for rates.
  std::string Table(double seconds) const;
  std::string Json(double seconds) const;
  std::uint64_t CountOf(RequestResult result) const;

 private:
  struct Group {
    std::map<RequestResult, std::uint64_t> results;
    std::uint64_t sent = 0;
    std::uint64_t tokens = 0;
    std::vector<float> first_token;
    std::vector<float> between_tokens;
    std::vector<float> whole;
  };

  std::uint64_t TotalTokens() const;

  std::map<std::pair<std::string, std::string>, Group> groups;
};

}  // namespace pomelospar::load

#endif  // POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_PLAN_LOAD_REPORT_H_
