#ifndef POMELOSPAR_LIBRARIES_ADMISSION_RESOLVE_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_RESOLVE_H_

#include <boost/outcome.hpp>
#include <string>
#include <string_view>

#include "libraries/configuration/configuration.h"

namespace pomelospar::admission {

/// Request headers by which a caller chooses the request class and names itself.
inline constexpr std::string_view kClassHeader = "Pomelospar-Class";
inline constexpr std::string_view kCallerHeader = "Pomelospar-Caller";

/// The parts of a request that determine its route and upstream. Absent parts are empty.
struct RequestHead {
  std::string_view method;
  /// Request target in origin form (path and query); the query is ignored.
  std::string_view path;
  /// Value of `kClassHeader`.
  std::string_view class_header;
  /// Value of the field `model` of the body.
  std::string_view model;
};

/// The route, upstream and request class of an admitted request. The pointers refer to the
/// configuration passed to `Resolve` and are valid as long as it.
struct Resolution {
  const configuration::Workspace* workspace = nullptr;
  const configuration::Route* route = nullptr;
  const configuration::Upstream* upstream = nullptr;
  const configuration::RequestClass* request_class = nullptr;
  /// Whether the route permits the request to be sent more than once.
  bool repeatable = true;
};

/// Why a request is rejected before anything of it is sent; its outcome is `not_run`.
struct Refusal {
  /// HTTP status: 400, 401, 403 or 404.
  unsigned status = 0;
  /// Tells the caller the cause and what to do about it.
  std::string message;
};

using ResolveResult = boost::outcome_v2::checked<Resolution, Refusal>;

/// Finds the route, upstream and request class of a request from a caller of this workspace.
/// Errors: 401 if the workspace is no longer declared; 400 if the path has a dot segment, a model
/// is required and absent, or the class is unknown or not allowed; 404 if no route matches or the
/// model is unknown; 403 if the workspace may not use the upstream.
ResolveResult Resolve(const configuration::Configuration& configuration,
                      core::WorkspaceId workspace, const RequestHead& head);

/// Returns the name of the caller within its workspace; the callers of a workspace are served in
/// turn. It is the first non-empty value of the header `kCallerHeader`, the body's field `user` and
/// the remote address, truncated to 128 bytes.
std::string_view CallerName(std::string_view caller_header, std::string_view user,
                            std::string_view remote_address);

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_RESOLVE_H_
