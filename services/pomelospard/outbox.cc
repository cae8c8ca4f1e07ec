#include "services/pomelospard/outbox.h"

namespace pomelospar::daemon {

void Outbox::Add(const core::RouterIdentity& receiver, wire::Message message) {
  const bool was_empty = this->messages.empty();
  this->messages[receiver].push_back(std::move(message));
  if (was_empty) {
    this->on_filled();
  }
}

std::vector<Outbox::Batch> Outbox::Take() {
  std::vector<Batch> batches;
  batches.reserve(this->messages.size());
  for (auto& [receiver, queued] : std::exchange(this->messages, {})) {
    batches.push_back({receiver, std::move(queued)});
  }
  return batches;
}

}  // namespace pomelospar::daemon
