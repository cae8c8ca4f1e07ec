#include "services/pomelospard/recent_requests.h"

#include <utility>

namespace pomelospar::daemon {
namespace {

// A request that is retried often or queued for long repeats its steps, and the first ones suffice
// to explain it.
constexpr std::size_t kMaximumSteps = 32;

}  // namespace

RequestRecord& RecentRequests::Begin(std::string id, core::TimePoint now) {
  if (this->order.size() >= this->capacity) {
    this->records.erase(this->order.front());
    this->order.pop_front();
  }
  this->order.push_back(id);
  auto& record = this->records[id];
  record.id = std::move(id);
  record.received = now;
  return record;
}

void RecentRequests::AddStep(std::string_view id, core::TimePoint now, std::string text) {
  auto* record = this->Find(id);
  if (record == nullptr || record->steps.size() >= kMaximumSteps) {
    return;
  }
  record->steps.push_back({now - record->received, std::move(text)});
}

RequestRecord* RecentRequests::Find(std::string_view id) {
  const auto found = this->records.find(std::string(id));
  return found == this->records.end() ? nullptr : &found->second;
}

}  // namespace pomelospar::daemon
