#include "libraries/admission/resolve.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/replace.hpp>

namespace pomelospar::admission {
namespace {

// Bounds the memory that the entry queues need for each caller.
constexpr std::size_t kMaximumCallerBytes = 128;

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::ranges::find(names, name) != names.end();
}

// Such paths are rejected because an upstream may normalise "/open/../orders" to "/orders". The
// request would then be checked against the route of "/open" but reach the resources of "/orders".
bool HasDotSegment(std::string_view path) {
  auto text = boost::algorithm::ireplace_all_copy(std::string(path), "%2e", ".");
  boost::algorithm::ireplace_all(text, "%2f", "/");
  boost::algorithm::ireplace_all(text, "%5c", "/");
  std::ranges::replace(text, '\\', '/');
  text += '/';
  return text.find("/../") != std::string::npos || text.find("/./") != std::string::npos;
}

ResolveResult Refuse(unsigned status, std::string message) {
  return Refusal{status, std::move(message)};
}

boost::outcome_v2::checked<const configuration::Upstream*, Refusal> FindUpstream(
    const configuration::Configuration& configuration, const configuration::Route& route,
    std::string_view model) {
  if (route.upstream.empty() && model.empty()) {
    return Refusal{400, "the body names no model; set the field \"model\" of a JSON body"};
  }
  const auto* upstream = route.upstream.empty()
                             ? configuration::FindUpstreamOfModel(configuration, model)
                             : configuration::FindByName(configuration.upstreams, route.upstream);
  const bool other_model = upstream != nullptr && !model.empty() && !upstream->model.empty() &&
                           upstream->kind == configuration::UpstreamKind::kModelEngine &&
                           upstream->model != model;
  if (upstream == nullptr || other_model) {
    return Refusal{404, fmt::format("unknown model \"{}\"; name a declared model", model)};
  }
  return upstream;
}

}  // namespace

ResolveResult Resolve(const configuration::Configuration& configuration,
                      core::WorkspaceId workspace, const RequestHead& head) {
  const auto* owner = configuration::FindById(configuration.workspaces, workspace);
  if (owner == nullptr) {
    return Refuse(401, "the workspace of this API key is no longer declared; use another key");
  }
  const auto path = head.path.substr(0, head.path.find('?'));
  if (HasDotSegment(path)) {
    return Refuse(400, "the path has a \".\" or \"..\" segment; send the normalised path");
  }
  const auto* route = configuration::FindRoute(configuration, head.method, path);
  if (route == nullptr) {
    return Refuse(404, fmt::format("no route for {} {}; use a declared path", head.method, path));
  }
  BOOST_OUTCOME_TRY(const auto* upstream, FindUpstream(configuration, *route, head.model));
  if (!Contains(owner->upstreams, upstream->name)) {
    return Refuse(403, fmt::format("workspace \"{}\" may not use upstream \"{}\"; ask the operator "
                                   "to add it to the workspace",
                                   owner->name, upstream->name));
  }
  const std::string_view class_name =
      head.class_header.empty() ? std::string_view(owner->default_class) : head.class_header;
  const auto* request_class = configuration::FindByName(configuration.classes, class_name);
  if (request_class == nullptr || !Contains(owner->classes, class_name)) {
    return Refuse(400, fmt::format("class \"{}\" is not allowed; send {} with one of: {}",
                                   class_name, kClassHeader, fmt::join(owner->classes, ", ")));
  }
  return Resolution{owner, route, upstream, request_class, route->repeatable};
}

std::string_view CallerName(std::string_view caller_header, std::string_view user,
                            std::string_view remote_address) {
  std::string_view name = remote_address;
  if (!caller_header.empty()) {
    name = caller_header;
  } else if (!user.empty()) {
    name = user;
  }
  return name.substr(0, kMaximumCallerBytes);
}

}  // namespace pomelospar::admission
