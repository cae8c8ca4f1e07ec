#ifndef POMELOSPAR_SERVICES_POMELOSPARD_MESSAGE_DISPATCHER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_MESSAGE_DISPATCHER_H_

#include <string_view>

#include "services/pomelospard/membership_controller.h"
#include "services/pomelospard/router_state.h"

namespace pomelospar::daemon {

/// Callbacks for the peer events and messages that the configuration synchronisation handles.
struct ConfigurationHooks {
  PeerHooks peers;
  std::function<void(const core::RouterIdentity&, const wire::ConfigurationRequest&)> on_request;
  std::function<void(const core::RouterIdentity&, const wire::ConfigurationChanges&)> on_changes;
};

/// The kind of a message for metrics, such as "demand".
std::string_view KindName(const wire::Message& message);

/// Passes a message to the controller that handles its kind. The message comes from an opened
/// envelope or from this router itself.
void DispatchMessage(RouterState& state, const core::RouterIdentity& sender,
                     const wire::Message& message, const ConfigurationHooks& configuration);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_MESSAGE_DISPATCHER_H_
