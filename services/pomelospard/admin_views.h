#ifndef POMELOSPAR_SERVICES_POMELOSPARD_ADMIN_VIEWS_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_ADMIN_VIEWS_H_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "services/pomelospard/router_state.h"

/// Builds the JSON documents with which the admin API shows the state of this router;
/// docs/admin_api.md describes them. `WorkspacesView` and `UpstreamsView` require a configuration
/// in force.
namespace pomelospar::daemon {

nlohmann::ordered_json StatusView(const RouterState& state);
nlohmann::ordered_json WorkspacesView(const RouterState& state);
nlohmann::ordered_json UpstreamsView(const RouterState& state);
nlohmann::ordered_json MembersView(const RouterState& state);
nlohmann::ordered_json QuarantineView(const RouterState& state);
nlohmann::ordered_json RequestView(const RequestRecord& record);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_ADMIN_VIEWS_H_
