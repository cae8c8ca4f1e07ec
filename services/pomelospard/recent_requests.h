#ifndef POMELOSPAR_SERVICES_POMELOSPARD_RECENT_REQUESTS_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_RECENT_REQUESTS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/core/clock.h"

namespace pomelospar::daemon {

/// One step of serving a request, for `pomelosparctl explain`.
struct RequestStep {
  /// Time since the request was received.
  core::Duration elapsed{};
  std::string text;
};

struct RequestRecord {
  std::string id;
  core::TimePoint received;
  std::string workspace;
  std::string request_class;
  std::string upstream;
  std::uint64_t generation = 0;
  /// Empty while the request is being served.
  std::string outcome;
  unsigned status = 0;
  std::vector<RequestStep> steps;
};

/// The latest requests of this router and the steps of each, which explain its outcome. Bounded in
/// requests and in steps per request: a new request replaces the oldest one, whereas a record keeps
/// its first 32 steps and ignores later ones.
class RecentRequests {
 public:
  /// Keeps at most this many requests; the oldest are dropped.
  explicit RecentRequests(std::size_t capacity) : capacity(capacity) {}

  /// Starts a record. The reference is valid until the next call of `Begin`.
  RequestRecord& Begin(std::string id, core::TimePoint now);

  /// Appends a step to a record; does nothing if the record was dropped or already has 32 steps.
  void AddStep(std::string_view id, core::TimePoint now, std::string text);

  /// The record, or null if it was dropped or never existed.
  RequestRecord* Find(std::string_view id);

 private:
  std::size_t capacity;
  std::unordered_map<std::string, RequestRecord> records;
  std::deque<std::string> order;
};

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_RECENT_REQUESTS_H_
