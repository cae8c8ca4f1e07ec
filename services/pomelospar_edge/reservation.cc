#include "services/pomelospar_edge/reservation.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace pomelospar::edge {

Reservation::Reservation(RouterState& router_state, std::shared_ptr<Runner> runner,
                         const dispatch::EngineLoad& reserved)
    : state(router_state), held(std::move(runner)), amount(reserved) {
  this->held->own += this->amount;
}

Reservation::~Reservation() {
  if (this->amount.active > 0.0) this->SubtractLoad(this->amount);
}

void Reservation::Cancel() {
  this->held->own -= this->amount;
  this->amount = {};
}

void Reservation::OnPromptPrefilled() {
  if (this->amount.prefill_tokens <= 0.0) return;
  const dispatch::EngineLoad prefilled = {.prefill_tokens = this->amount.prefill_tokens};
  this->amount.prefill_tokens = 0.0;
  this->SubtractLoad(prefilled);
}

void Reservation::SubtractLoad(const dispatch::EngineLoad& returned) {
  this->held->own -= returned;
  if (this->state.on_load_subtracted) this->state.on_load_subtracted(*this->held);
  if (CountWaiting(this->state) == 0 || this->state.placement_retry_posted) return;
  // Posted, because the waiters must not run inside a destructor. One call serves all reservations
  // that end in the same turn of the event loop.
  this->state.placement_retry_posted = true;
  boost::asio::post(this->state.io, [&state = this->state] {
    state.placement_retry_posted = false;
    TryWaiting(state);
  });
}

}  // namespace pomelospar::edge
