#ifndef POMELOSPAR_SERVICES_POMELOSPARD_CONFIGURATION_REQUESTS_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_CONFIGURATION_REQUESTS_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "libraries/configuration/configuration_apply.h"
#include "libraries/http/message.h"

namespace pomelospar::daemon {

/// Runs `work` on a worker thread, then `done` on the I/O thread.
using Offload = std::function<void(std::function<void()> work, std::function<void()> done)>;

struct ConfigurationServices {
  configuration::ConfigurationStore& store;
  configuration::ConfigurationApplier& applier;
  Offload offload;
};

/// Serves `/v1/configuration...` of the admin API: apply, rollback, history and the configuration
/// in force.
boost::asio::awaitable<http::HttpResponse> ServeConfigurationRequest(
    ConfigurationServices& services, const http::HttpRequest& request);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_CONFIGURATION_REQUESTS_H_
