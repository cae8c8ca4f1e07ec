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
  if (this->amount.unread_tokens <= 0.0) return;
  const dispatch::EngineLoad read = {.unread_tokens = this->amount.unread_tokens};
  this->amount.unread_tokens = 0.0;
  this->GiveBack(read);
}

void Reservation::GiveBack(const dispatch::EngineLoad& returned) {
  this->held->own -= returned;
  if (this->board.waiting.size() == 0 || this->board.room_came_free) return;
  // Posted, because the waiters must not run inside a destructor. One call serves all reservations
  // that end in the same turn of the event loop.
  this->board.room_came_free = true;
  boost::asio::post(this->board.io, [&board = this->board] {
    board.room_came_free = false;
    board.waiting.TryAll();
  });
}

}  // namespace pomelospar::edge
