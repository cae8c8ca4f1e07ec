#ifndef POMELOSPAR_SERVICES_POMELOSPARD_SLEEP_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_SLEEP_H_

#include <boost/asio/awaitable.hpp>

#include "libraries/core/clock.h"

namespace pomelospar::daemon {

/// Suspends the calling coroutine for this time.
boost::asio::awaitable<void> Sleep(core::Duration time);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_SLEEP_H_
