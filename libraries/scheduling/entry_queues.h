#ifndef POMELOSPAR_LIBRARIES_SCHEDULING_ENTRY_QUEUES_H_
#define POMELOSPAR_LIBRARIES_SCHEDULING_ENTRY_QUEUES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"

namespace pomelospar::scheduling {

/// One row of demand: requests that are equal to the allocators.
struct QueueKey {
  core::UpstreamId upstream{};
  core::WorkspaceId workspace{};
  core::ClassId request_class{};

  // clang-tidy 14 takes the zero in the generated comparison for a null pointer.
  auto operator<=>(const QueueKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// A request that waits for a slot.
struct QueuedRequest {
  /// Chosen by the caller of this library; unique among queued requests.
  std::uint64_t id = 0;
  QueueKey key;
  /// Hash of the caller's identity within the workspace.
  std::uint64_t caller = 0;
  /// Cost units.
  double estimated_cost = 0.0;
  std::size_t bytes = 0;
  core::TimePoint enqueued{};
  /// The request is refused as not run if it still waits at this time.
  core::TimePoint deadline{};
};

/// Limits of one workspace at this router.
struct QueueLimits {
  std::size_t requests = 1000;
  std::size_t bytes = 16 * 1024 * 1024;
};

enum class PushResult { kAccepted, kTooManyRequests, kTooManyBytes };

/// The requests that wait at an entry router. Callers of one (upstream, workspace, class) take
/// turns, so that one caller with many requests does not delay the others.
class EntryQueues {
 public:
  void SetLimits(core::WorkspaceId workspace, const QueueLimits& limits);

  PushResult Push(const QueuedRequest& request);
  /// Puts a request that could not be dispatched back at the head of its caller's queue. Limits do
  /// not apply because the request was accepted before.
  void Requeue(const QueuedRequest& request);
  /// The next request in the turn of callers; it leaves the queue.
  std::optional<QueuedRequest> Pop(const QueueKey& key, core::TimePoint now);
  /// Removes the request of a caller that left. False if it does not wait here.
  bool Remove(std::uint64_t id);
  /// Removes and returns all requests whose deadline has passed.
  std::vector<QueuedRequest> Expired(core::TimePoint now);
  /// The earliest deadline of a waiting request.
  std::optional<core::TimePoint> NextDeadline() const;

  /// The time after which a request refused now is likely to be served, from the depth of the queue
  /// and the recent service rate; between one second and one minute.
  std::chrono::seconds RetryAfter(const QueueKey& key, core::TimePoint now) const;

  std::size_t Depth(const QueueKey& key) const;
  /// Arrival of the request that waits longest. The queue must not be empty.
  core::TimePoint OldestEnqueued(const QueueKey& key) const;
  /// Mean estimated cost of the waiting requests, cost units.
  double MeanEstimatedCost(const QueueKey& key) const;
  std::size_t QueuedRequests(core::WorkspaceId workspace) const;
  std::size_t QueuedBytes(core::WorkspaceId workspace) const;
  /// Calls `visit` for each key with waiting requests, in key order.
  template <typename Visitor>
  void ForEachKey(Visitor visit) const {
    for (const auto& [key, queue] : this->queues) {
      if (queue.depth > 0) {
        visit(key);
      }
    }
  }

 private:
  struct Caller {
    std::uint64_t id = 0;
    std::list<QueuedRequest> requests;
  };
  struct Queue {
    /// Callers with waiting requests; the first one is next.
    std::list<Caller> turn;
    std::unordered_map<std::uint64_t, std::list<Caller>::iterator> callers;
    std::set<std::pair<core::TimePoint, std::uint64_t>> by_age;
    std::size_t depth = 0;
    double estimated_cost = 0.0;
    /// Requests served a second, averaged over about 10 s.
    double service_rate = 0.0;
    core::TimePoint last_pop{};
  };
  struct Usage {
    QueueLimits limits;
    std::size_t requests = 0;
    std::size_t bytes = 0;
  };
  struct Position {
    QueueKey key;
    std::list<Caller>::iterator caller;
    std::list<QueuedRequest>::iterator request;
  };

  void Insert(const QueuedRequest& request, bool at_head);
  QueuedRequest Take(std::unordered_map<std::uint64_t, Position>::iterator position);

  std::map<QueueKey, Queue> queues;
  std::unordered_map<core::WorkspaceId, Usage> usage;
  std::unordered_map<std::uint64_t, Position> positions;
  std::set<std::pair<core::TimePoint, std::uint64_t>> deadlines;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_ENTRY_QUEUES_H_
