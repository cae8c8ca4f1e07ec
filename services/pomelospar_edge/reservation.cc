#include "services/pomelospar_edge/reservation.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace pomelospar::edge {

Reservation::Reservation(RouterState& router_state, std::shared_ptr<Runner> runner,
                         const dispatch::EngineLoad& reserved)
    : state(router_state), held(std::move(runner)), amount(reserved) {
  this->held->own += this->amount;
}

Reservation::~Reservation() { this->GiveBack(this->amount); }

void Reservation::EndReading() {
  if (this->amount.unread_tokens <= 0.0) return;
  const dispatch::EngineLoad read = {.unread_tokens = this->amount.unread_tokens};
  this->amount.unread_tokens = 0.0;
  this->GiveBack(read);
}

void Reservation::GiveBack(const dispatch::EngineLoad& returned) {
  this->held->own -= returned;
  if (this->state.waiting.size() == 0 || this->state.room_came_free) return;
  // Posted, because the waiters must not run inside of a destructor, and once for all that ends in
  // the same turn.
  this->state.room_came_free = true;
  boost::asio::post(this->state.io, [&state = this->state] {
    state.room_came_free = false;
    state.waiting.TryAll();
  });
}

}  // namespace pomelospar::edge
