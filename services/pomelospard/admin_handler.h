#ifndef POMELOSPAR_SERVICES_POMELOSPARD_ADMIN_HANDLER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_ADMIN_HANDLER_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "libraries/http/server_exchange.h"
#include "libraries/transport/control_transport.h"
#include "services/pomelospard/configuration_requests.h"
#include "services/pomelospard/fault_injection.h"
#include "services/pomelospard/router_state.h"

namespace pomelospar::daemon {

/// The objects that the admin API reads and changes.
struct AdminServices {
  RouterState& state;
  ConfigurationServices configuration;
  transport::ControlTransport& transport;
  FaultInjection& faults;
  /// The operator's token, which SIGHUP reloads.
  const std::string& token;
};

/// Serves one request of the admin port as docs/admin_api.md describes. `/healthz`, `/readyz` and
/// `/metrics` need no token.
boost::asio::awaitable<void> HandleAdminRequest(AdminServices& services,
                                                http::ServerExchange& exchange);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_ADMIN_HANDLER_H_
