#ifndef POMELOSPAR_SERVICES_POMELOSPARD_ADMIN_VIEWS_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_ADMIN_VIEWS_H_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "services/pomelospard/router_state.h"

/// The JSON documents of the admin API that show state; docs/admin_api.md describes them.
namespace pomelospar::daemon {

nlohmann::ordered_json StatusView(const RouterState& state);
nlohmann::ordered_json WorkspacesView(const RouterState& state);
nlohmann::ordered_json UpstreamsView(const RouterState& state);
nlohmann::ordered_json MembersView(const RouterState& state);
nlohmann::ordered_json QuarantineView(const RouterState& state);
nlohmann::ordered_json RequestView(const RequestRecord& record);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_ADMIN_VIEWS_H_
