#ifndef POMELOSPAR_LIBRARIES_HTTP_DEADLINE_H_
#define POMELOSPAR_LIBRARIES_HTTP_DEADLINE_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "libraries/core/clock.h"

namespace pomelospar::http {

/// A time limit that is moved often and rarely reached. Moving it to a later time does not restart
/// the timer: on a busy relay, a timer for each read and write would cost more than the read
/// itself.
class Deadline {
 public:
  /// `on_expiry` runs on the executor each time the time limit is reached.
  Deadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expiry);
  ~Deadline();
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;

  void ExpireAfter(core::Duration duration);
  void Clear();
  /// True from the moment the limit was reached until the next limit is set.
  bool expired() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_DEADLINE_H_
