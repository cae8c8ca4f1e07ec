#include "libraries/dispatch/connection_backlog.h"

#include <chrono>

namespace pomelospar::dispatch {
namespace {

// Processor time to read a request, to place it and to send it to a runner. It is less on a fast
// processor, where the router then refuses somewhat more than it has to.
constexpr core::Duration kRequestTime = std::chrono::milliseconds(1);
// Callers open connections in clumps, also without a flood.
constexpr std::size_t kAlwaysAccepted = 8;
// A connection whose first request was not read after this time is taken as idle; else its caller
// has abandoned the request. Callers that keep connections in reserve, or that never send anything,
// must not keep others out.
constexpr core::Duration kIdleAfter = std::chrono::seconds(1);

}  // namespace

bool ConnectionBacklog::TryAdd(core::TimePoint now, core::Duration overdue) {
  if (!this->is_limited()) return true;
  this->DropIdle(now);
  if (this->accepted.size() >= kAlwaysAccepted) {
    const auto work = kRequestTime * static_cast<std::int64_t>(this->accepted.size());
    const auto delay = std::chrono::duration<double>(work) / this->share + overdue;
    if (delay > this->delay_limit) return false;
  }
  this->accepted.push_back(now);
  return true;
}

void ConnectionBacklog::OnFirstRequest(core::TimePoint now) {
  this->DropIdle(now);
  if (!this->accepted.empty()) this->accepted.pop_front();
}

void ConnectionBacklog::DropIdle(core::TimePoint now) {
  while (!this->accepted.empty() && now - this->accepted.front() >= kIdleAfter) {
    this->accepted.pop_front();
  }
}

}  // namespace pomelospar::dispatch
