#ifndef POMELOSPAR_SERVICES_POMELOSPARD_MESSAGE_DISPATCHER_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_MESSAGE_DISPATCHER_H_

#include <string_view>

#include "services/pomelospard/membership_controller.h"
#include "services/pomelospard/router_state.h"

namespace pomelospar::daemon {

/// Messages about the configuration, which belong to its synchronisation.
struct ConfigurationHooks {
  PeerHooks peers;
  std::function<void(const core::RouterIdentity&, const wire::ConfigurationRequest&)> on_request;
  std::function<void(const core::RouterIdentity&, const wire::ConfigurationChanges&)> on_changes;
};

/// The kind of a message for metrics, such as "demand".
std::string_view KindName(const wire::Message& message);

/// Hands a message of an opened envelope, or of this router to itself, to its controller.
void DispatchMessage(RouterState& state, const core::RouterIdentity& sender,
                     const wire::Message& message, const ConfigurationHooks& configuration);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_MESSAGE_DISPATCHER_H_
