#ifndef POMELOSPAR_LIBRARIES_ADMISSION_RESOLVE_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_RESOLVE_H_

#include <boost/outcome.hpp>
#include <string>
#include <string_view>

#include "libraries/configuration/configuration.h"

namespace pomelospar::admission {

inline constexpr std::string_view kClassHeader = "Pomelospar-Class";
inline constexpr std::string_view kCallerHeader = "Pomelospar-Caller";

/// The part of a request that decides where it goes. Absent parts are empty.
struct RequestHead {
  std::string_view method;
  /// Request target in origin form; a query is ignored.
  std::string_view path;
  /// Value of `kClassHeader`.
  std::string_view class_header;
  /// The model that the body names.
  std::string_view model;
};

/// Points into the configuration that it was made from.
struct Resolution {
  const configuration::Workspace* workspace = nullptr;
  const configuration::Route* route = nullptr;
  const configuration::Upstream* upstream = nullptr;
  const configuration::RequestClass* request_class = nullptr;
  bool repeatable = true;
};

/// A request that is refused before anything is sent: outcome `not_run`.
struct Refusal {
  /// HTTP status: 400, 401, 403 or 404.
  unsigned status = 0;
  /// States the cause and the remedy for the caller.
  std::string message;
};

using ResolveResult = boost::outcome_v2::checked<Resolution, Refusal>;

ResolveResult Resolve(const configuration::Configuration& configuration,
                      core::WorkspaceId workspace, const RequestHead& head);

/// The caller inside a workspace, for round-robin service: the first of the header
/// `kCallerHeader`, the body's `user` field and the remote address that is not empty, cut to
/// 128 bytes.
std::string_view CallerName(std::string_view caller_header, std::string_view user,
                            std::string_view remote_address);

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_RESOLVE_H_
