#include "libraries/http/deadline.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace pomelospar::http {

struct Deadline::State : std::enable_shared_from_this<Deadline::State> {
  State(const boost::asio::any_io_executor& executor, std::function<void()> on_expiry_handler)
      : timer(executor), on_expiry(std::move(on_expiry_handler)) {}

  void Wait(core::TimePoint until) {
    this->wake_up = until;
    this->timer.expires_at(until);
    this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      const auto self = weak.lock();
      if (self && !error) self->OnTimer();
    });
  }

  void OnTimer() {
    this->wake_up = core::TimePoint::max();
    if (this->limit == core::TimePoint::max()) return;
    if (this->limit > std::chrono::steady_clock::now()) {
      this->Wait(this->limit);
      return;
    }
    this->limit = core::TimePoint::max();
    this->expired = true;
    this->on_expiry();
  }

  boost::asio::steady_timer timer;
  std::function<void()> on_expiry;
  core::TimePoint limit = core::TimePoint::max();
  /// When the timer fires next; `max` if it is not running.
  core::TimePoint wake_up = core::TimePoint::max();
  bool expired = false;
};

Deadline::Deadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expiry)
    : state(std::make_shared<State>(executor, std::move(on_expiry))) {}

Deadline::~Deadline() = default;

void Deadline::ExpireAfter(core::Duration duration) {
  this->state->expired = false;
  this->state->limit = std::chrono::steady_clock::now() + duration;
  if (this->state->limit < this->state->wake_up) this->state->Wait(this->state->limit);
}

void Deadline::Clear() { this->state->limit = core::TimePoint::max(); }

bool Deadline::expired() const { return this->state->expired; }

}  // namespace pomelospar::http
