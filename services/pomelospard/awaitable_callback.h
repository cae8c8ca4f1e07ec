#ifndef POMELOSPAR_SERVICES_POMELOSPARD_AWAITABLE_CALLBACK_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_AWAITABLE_CALLBACK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace pomelospar::daemon {

/// Lets a coroutine wait for the value passed to a callback that runs once on the I/O thread,
/// possibly before the wait starts.
template <typename T>
class AwaitableCallback {
 public:
  explicit AwaitableCallback(const boost::asio::any_io_executor& executor)
      : state(std::make_shared<State>(executor)) {}

  std::function<void(T)> Callback() const {
    return [state = this->state](T value) {
      state->value = std::move(value);
      state->timer.cancel();
    };
  }

  boost::asio::awaitable<T> Wait() {
    if (!this->state->value) {
      co_await this->state->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_return std::move(*this->state->value);
  }

 private:
  struct State {
    explicit State(const boost::asio::any_io_executor& executor)
        : timer(executor, boost::asio::steady_timer::time_point::max()) {}
    boost::asio::steady_timer timer;
    std::optional<T> value;
  };
  std::shared_ptr<State> state;
};

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_AWAITABLE_CALLBACK_H_
