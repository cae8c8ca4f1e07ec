#include "libraries/scheduling/entry_queues.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

namespace pomelospar::scheduling {
namespace {

/// Time constant of the exponential moving average of the service rate.
constexpr double kRateWindowSeconds = 10.0;
constexpr double kLongestRetryAfterSeconds = 60.0;

double SecondsBetween(core::TimePoint from, core::TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

/// Returns the average rate after `elapsed` seconds in which no request was served.
double DecayedRate(double rate, double elapsed) {
  return rate * std::exp(-std::max(0.0, elapsed) / kRateWindowSeconds);
}

}  // namespace

void EntryQueues::SetLimits(core::WorkspaceId workspace, const QueueLimits& limits) {
  this->usage[workspace].limits = limits;
}

PushResult EntryQueues::Push(const QueuedRequest& request) {
  const auto& used = this->usage[request.key.workspace];
  if (used.requests >= used.limits.requests) {
    return PushResult::kTooManyRequests;
  }
  if (used.bytes + request.bytes > used.limits.bytes) {
    return PushResult::kTooManyBytes;
  }
  this->Insert(request, false);
  return PushResult::kAccepted;
}

void EntryQueues::Requeue(const QueuedRequest& request) { this->Insert(request, true); }

std::optional<QueuedRequest> EntryQueues::Pop(const QueueKey& key, core::TimePoint now) {
  const auto found = this->queues.find(key);
  if (found == this->queues.end() || found->second.depth == 0) {
    return std::nullopt;
  }
  auto& queue = found->second;
  const auto caller = queue.round_robin.begin();
  const auto id = caller->requests.front().id;
  // The caller moves to the end of the round-robin order. `Take` removes it if it has no more
  // requests.
  queue.round_robin.splice(queue.round_robin.end(), queue.round_robin, caller);
  queue.service_rate =
      DecayedRate(queue.service_rate, SecondsBetween(queue.last_pop, now)) + 1 / kRateWindowSeconds;
  queue.last_pop = now;
  return this->Take(this->positions.find(id));
}

bool EntryQueues::Remove(std::uint64_t id) {
  const auto position = this->positions.find(id);
  if (position == this->positions.end()) {
    return false;
  }
  this->Take(position);
  return true;
}

std::vector<QueuedRequest> EntryQueues::TakeExpired(core::TimePoint now) {
  std::vector<QueuedRequest> expired;
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    expired.push_back(this->Take(this->positions.find(this->deadlines.begin()->second)));
  }
  return expired;
}

std::optional<core::TimePoint> EntryQueues::NextDeadline() const {
  if (this->deadlines.empty()) {
    return std::nullopt;
  }
  return this->deadlines.begin()->first;
}

std::chrono::seconds EntryQueues::RetryAfter(const QueueKey& key, core::TimePoint now) const {
  const auto found = this->queues.find(key);
  if (found == this->queues.end() || found->second.depth == 0) {
    return std::chrono::seconds(1);
  }
  const auto& queue = found->second;
  const double rate = DecayedRate(queue.service_rate, SecondsBetween(queue.last_pop, now));
  const double wait = static_cast<double>(queue.depth) / std::max(rate, 1e-6);
  const double clamped = std::clamp(std::ceil(wait), 1.0, kLongestRetryAfterSeconds);
  return std::chrono::seconds(static_cast<std::int64_t>(clamped));
}

std::size_t EntryQueues::Depth(const QueueKey& key) const {
  const auto found = this->queues.find(key);
  return found == this->queues.end() ? 0 : found->second.depth;
}

core::TimePoint EntryQueues::OldestEnqueued(const QueueKey& key) const {
  return this->queues.at(key).by_arrival.begin()->first;
}

double EntryQueues::MeanEstimatedCost(const QueueKey& key) const {
  const auto found = this->queues.find(key);
  if (found == this->queues.end() || found->second.depth == 0) {
    return 0.0;
  }
  return found->second.estimated_cost / static_cast<double>(found->second.depth);
}

std::size_t EntryQueues::QueuedRequests(core::WorkspaceId workspace) const {
  const auto found = this->usage.find(workspace);
  return found == this->usage.end() ? 0 : found->second.requests;
}

std::size_t EntryQueues::QueuedBytes(core::WorkspaceId workspace) const {
  const auto found = this->usage.find(workspace);
  return found == this->usage.end() ? 0 : found->second.bytes;
}

void EntryQueues::Insert(const QueuedRequest& request, bool at_head) {
  assert(!this->positions.contains(request.id));
  auto& queue = this->queues[request.key];
  const auto [entry, is_new] = queue.callers.try_emplace(request.caller);
  if (is_new) {
    entry->second =
        queue.round_robin.insert(at_head ? queue.round_robin.begin() : queue.round_robin.end(),
                                 Caller{.id = request.caller});
  }
  auto& requests = entry->second->requests;
  const auto place = requests.insert(at_head ? requests.begin() : requests.end(), request);
  this->positions.emplace(request.id, Position{request.key, entry->second, place});
  this->deadlines.emplace(request.deadline, request.id);
  queue.by_arrival.emplace(request.enqueued, request.id);
  ++queue.depth;
  queue.estimated_cost += request.estimated_cost;
  auto& used = this->usage[request.key.workspace];
  ++used.requests;
  used.bytes += request.bytes;
}

QueuedRequest EntryQueues::Take(std::unordered_map<std::uint64_t, Position>::iterator position) {
  const auto [key, caller, place] = position->second;
  auto& queue = this->queues.at(key);
  const QueuedRequest request = *place;
  caller->requests.erase(place);
  if (caller->requests.empty()) {
    queue.callers.erase(caller->id);
    queue.round_robin.erase(caller);
  }
  this->positions.erase(position);
  this->deadlines.erase({request.deadline, request.id});
  queue.by_arrival.erase({request.enqueued, request.id});
  --queue.depth;
  queue.estimated_cost = queue.depth == 0 ? 0.0 : queue.estimated_cost - request.estimated_cost;
  auto& used = this->usage.at(key.workspace);
  --used.requests;
  used.bytes -= request.bytes;
  return request;
}

}  // namespace pomelospar::scheduling
