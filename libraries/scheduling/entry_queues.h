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

/// Identifies one queue, and thereby one demand row. Allocators do not distinguish the requests of
/// one queue.
struct QueueKey {
  core::UpstreamId upstream{};
  core::WorkspaceId workspace{};
  core::ClassId request_class{};

  // clang-tidy 14 mistakes the zero in the generated comparison for a null pointer.
  auto operator<=>(const QueueKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// A request that waits for a slot.
struct QueuedRequest {
  /// Chosen by the user of this library; unique among the queued requests.
  std::uint64_t id = 0;
  QueueKey key;
  /// Hash of the identity of the HTTP caller within the workspace.
  std::uint64_t caller = 0;
  /// In cost units.
  double estimated_cost = 0.0;
  std::size_t bytes = 0;
  core::TimePoint enqueued{};
  /// A request that still waits at this time is refused, with the outcome that it was not run.
  core::TimePoint deadline{};
};

/// Limits on the waiting requests of one workspace at this router.
struct QueueLimits {
  std::size_t requests = 1000;
  std::size_t bytes = 16 * 1024 * 1024;
};

enum class PushResult { kAccepted, kTooManyRequests, kTooManyBytes };

/// The requests that wait at an entry router. Within one queue (upstream, workspace, class) the
/// callers are served round-robin, so that one caller with many requests does not delay the others.
class EntryQueues {
 public:
  void SetLimits(core::WorkspaceId workspace, const QueueLimits& limits);

  /// Appends the request to its caller's requests unless a limit of the workspace is reached.
  PushResult Push(const QueuedRequest& request);
  /// Puts a request that could not be dispatched back at the head of its caller's requests. Limits
  /// do not apply because the request was accepted before.
  void Requeue(const QueuedRequest& request);
  /// Removes and returns the first request of the next caller in round-robin order; empty if the
  /// queue is empty.
  std::optional<QueuedRequest> Pop(const QueueKey& key, core::TimePoint now);
  /// Removes the request of a caller that disconnected. Returns false if it does not wait here.
  bool Remove(std::uint64_t id);
  /// Removes and returns all requests whose deadline has passed.
  std::vector<QueuedRequest> TakeExpired(core::TimePoint now);
  /// Returns the earliest deadline of the waiting requests.
  std::optional<core::TimePoint> NextDeadline() const;

  /// Estimates, from the depth of the queue and its recent service rate, when a request that is
  /// refused now is likely to be served; between one second and one minute.
  std::chrono::seconds RetryAfter(const QueueKey& key, core::TimePoint now) const;

  /// Returns the number of requests that wait in the queue.
  std::size_t Depth(const QueueKey& key) const;
  /// Returns the arrival time of the oldest waiting request. The queue must not be empty.
  core::TimePoint OldestEnqueued(const QueueKey& key) const;
  /// Returns the mean estimated cost of the waiting requests in cost units; 0 if there are none.
  double MeanEstimatedCost(const QueueKey& key) const;
  std::size_t QueuedRequests(core::WorkspaceId workspace) const;
  std::size_t QueuedBytes(core::WorkspaceId workspace) const;
  /// Calls `visit` for the key of each queue that is not empty, in key order.
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
    /// Callers with waiting requests in round-robin order; the first one is served next.
    std::list<Caller> round_robin;
    std::unordered_map<std::uint64_t, std::list<Caller>::iterator> callers;
    std::set<std::pair<core::TimePoint, std::uint64_t>> by_arrival;
    std::size_t depth = 0;
    double estimated_cost = 0.0;
    /// Requests served per second, as an exponential moving average over about 10 s.
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
  /// Removes the request from all indexes and returns it.
  QueuedRequest Take(std::unordered_map<std::uint64_t, Position>::iterator position);

  std::map<QueueKey, Queue> queues;
  std::unordered_map<core::WorkspaceId, Usage> usage;
  std::unordered_map<std::uint64_t, Position> positions;
  std::set<std::pair<core::TimePoint, std::uint64_t>> deadlines;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_ENTRY_QUEUES_H_
