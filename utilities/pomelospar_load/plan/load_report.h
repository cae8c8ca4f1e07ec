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
  /// The response is complete and belongs to the request.
  kAnswered,
  /// A complete response with an error status of the upstream, relayed by the router.
  kFailed,
  /// The router did not run the request and answered with a status below 500.
  kRefused,
  /// The router did not run the request and answered with a status of 500 or above, or no
  /// connection to the router was possible.
  kNotRun,
  /// The response was cut off or timed out, or the router reported the outcome as unknown.
  kUnknown,
  /// A complete HTTP response whose body is not the complete answer to this request.
  kWrong,
  /// Not sent because too many requests were in flight.
  kNotSent,
};

std::string_view NameOf(RequestResult result);

/// The record of one attempt to send a request. Times are in seconds since the start of the run.
struct Observation {
  PlannedRequest request;
  unsigned attempt = 1;
  std::string target;
  double planned = 0.0;
  double sent = 0.0;
  std::optional<double> first_event;
  double done = 0.0;
  /// Times between successive events of the response, in seconds.
  std::vector<float> gaps;
  std::uint64_t tokens = 0;
  unsigned status = 0;
  std::string outcome_header;
  /// Whether any byte of the request may have reached the router.
  bool was_sent = false;
  /// Whether the whole HTTP response was received.
  bool complete = false;
  /// What failed during the attempt or is wrong with the response; empty if nothing is.
  std::string problem;
};

RequestResult ResultOf(const Observation& observation);

/// Returns the observation as one JSON object without a line end.
std::string HistoryLine(const Observation& observation);

/// Collects observations per workspace and class. Latencies count from the planned send time.
class LoadReport {
 public:
  void Add(const Observation& observation);

  /// Formats the report as a text table. `seconds` is the length of the run, for the token rate.
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
