#include "services/pomelospar_edge/reservation.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace pomelospar::edge {

Reservation::Reservation(Blackboard& blackboard, std::shared_ptr<Runner> runner,
                         const dispatch::EngineLoad& reserved)
    : board(blackboard), held(std::move(runner)), amount(reserved) {
  this->held->own += this->amount;
}

Reservation::~Reservation() { this->GiveBack(this->amount); }

void Reservation::EndReading() {
  if (this->amount.prefill_tokens <= 0.0) return;
  const dispatch::EngineLoad read = {.prefill_tokens = this->amount.prefill_tokens};
  this->amount.prefill_tokens = 0.0;
  this->GiveBack(read);
}

void Reservation::GiveBack(const dispatch::EngineLoad& returned) {
  this->held->own -= returned;
  if (this->board.waiting.size() == 0 || this->board.room_came_free) return;
  // Posted, because the waiters must not run inside of a destructor, and once for all that ends in
  // the same turn.
  this->board.room_came_free = true;
  boost::asio::post(this->board.io, [&board = this->board] {
    board.room_came_free = false;
    board.waiting.TryAll();
  });
}

}  // namespace pomelospar::edge
