#include "libraries/configuration/configuration_validator.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "libraries/configuration/units.h"

namespace pomelospar::configuration {
namespace {

constexpr std::size_t kMaximumNameLength = 64;
constexpr std::size_t kKeyHashDigits = 64;

using HashFunction = std::function<std::uint64_t(std::string_view)>;

bool IsName(std::string_view name) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  return name.size() <= kMaximumNameLength && std::all_of(name.begin(), name.end(), allowed);
}

bool IsKeyHash(std::string_view text) {
  const auto digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
  return text.size() == kKeyHashDigits && std::all_of(text.begin(), text.end(), digit);
}

enum class Repetition { kForbidden, kAllowed };

/// Model names and paths go into JSON and log lines, which take no invalid UTF-8.
bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

void CheckPrintable(std::string_view text, const ErrorLocation& location,
                    const ReportError& report) {
  if (!IsPrintable(text)) {
    report(location, "contains a character that is not printable ASCII", "remove the character");
  }
}

/// Collects the names of one kind and reports names that are malformed, repeated, or have the same
/// hash.
class NameRegister {
 public:
  NameRegister(std::string_view what, const HashFunction& hash_name, const ReportError& report)
      : what(what), hash_name(&hash_name), report(&report) {}

  /// Checks the syntax of a name and registers it.
  void Add(const std::string& name, const ErrorLocation& location, Repetition repetition) {
    if (!IsName(name)) {
      (*this->report)(location, "is not a name", "use at most 64 letters, digits, '-', '_' or '.'");
      return;
    }
    this->Register(name, location, repetition);
  }

  void Register(const std::string& name, const ErrorLocation& location, Repetition repetition) {
    if (name.empty()) {
      return;
    }
    const auto [entry, inserted] = this->names.emplace((*this->hash_name)(name), name);
    const bool same = entry->second == name;
    if (inserted || (same && repetition == Repetition::kAllowed)) {
      return;
    }
    if (same) {
      (*this->report)(location, fmt::format("the {} \"{}\" is declared twice", this->what, name),
                      "rename or remove one of them");
      return;
    }
    (*this->report)(
        location,
        fmt::format("the names \"{}\" and \"{}\" have the same hash", entry->second, name),
        "rename one of them");
  }

 private:
  std::string_view what;
  const HashFunction* hash_name;
  const ReportError* report;
  std::map<std::uint64_t, std::string> names;
};

void ValidateClasses(const Configuration& configuration, const HashFunction& hash_name,
                     const ReportError& report) {
  NameRegister names("class", hash_name, report);
  for (std::size_t index = 0; index < configuration.classes.size(); ++index) {
    names.Add(configuration.classes[index].name, {"class", index, "name"}, Repetition::kForbidden);
  }
}

void ValidateModel(const Upstream& upstream, std::size_t index,
                   std::map<std::string, std::string>& models, const ReportError& report) {
  const ErrorLocation location{"upstream", index, "model"};
  if (upstream.kind == UpstreamKind::kPlainService) {
    if (!upstream.model.empty()) {
      report(location, "a plain service has no model",
             "remove `model` or set `kind = \"model_engine\"`");
    }
    return;
  }
  if (upstream.model.empty()) {
    report(location, "is missing", "name the model that callers send in `model`");
    return;
  }
  CheckPrintable(upstream.model, location, report);
  const auto [entry, inserted] = models.emplace(upstream.model, upstream.name);
  if (!inserted) {
    report(location,
           fmt::format("the model \"{}\" is served by the upstream \"{}\" already", upstream.model,
                       entry->second),
           "put the runners of one model into one upstream");
  }
}

void ValidateUpstreams(const Configuration& configuration, const HashFunction& hash_name,
                       const ReportError& report) {
  NameRegister names("upstream", hash_name, report);
  NameRegister domains("failure domain", hash_name, report);
  NameRegister runners("runner address", hash_name, report);
  std::map<std::string, std::string> models;
  for (std::size_t index = 0; index < configuration.upstreams.size(); ++index) {
    const auto& upstream = configuration.upstreams[index];
    names.Add(upstream.name, {"upstream", index, "name"}, Repetition::kForbidden);
    ValidateModel(upstream, index, models, report);
    for (std::size_t position = 0; position < upstream.runners.size(); ++position) {
      const auto at = static_cast<std::ptrdiff_t>(position);
      const auto& runner = upstream.runners[position];
      domains.Add(runner.domain, {"upstream", index, "runners", at, "domain"},
                  Repetition::kAllowed);
      runners.Register(runner.address, {"upstream", index, "runners", at, "address"},
                       Repetition::kForbidden);
    }
  }
}

void ValidateKeyHashes(const Workspace& workspace, std::size_t index,
                       std::map<std::string, std::string>& owners, const ReportError& report) {
  for (std::size_t position = 0; position < workspace.key_hashes.size(); ++position) {
    const auto& hash = workspace.key_hashes[position];
    const ErrorLocation location{"workspace", index, "key_hashes",
                                 static_cast<std::ptrdiff_t>(position)};
    if (hash.empty()) {
      continue;
    }
    if (!IsKeyHash(hash)) {
      // The value is not quoted: it may be an API key in plain text.
      report(location, "is no SHA-256 of 64 lower-case hexadecimal digits",
             "write the output of `pomelosparctl hash-key`, never the key itself");
      continue;
    }
    const auto [entry, inserted] = owners.emplace(hash, workspace.name);
    if (!inserted) {
      report(location,
             fmt::format("this key belongs to the workspace \"{}\" already", entry->second),
             "give each workspace keys of its own");
    }
  }
}

template <typename T>
void ValidateReferences(const std::vector<std::string>& names, const std::vector<T>& declared,
                        ErrorLocation location, const ReportError& report) {
  for (std::size_t position = 0; position < names.size(); ++position) {
    const auto& name = names[position];
    location.position = static_cast<std::ptrdiff_t>(position);
    const auto here = names.begin() + location.position;
    if (name.empty()) {
      continue;
    }
    if (FindByName(declared, name) == nullptr) {
      report(location, fmt::format("\"{}\" is not declared", name),
             "declare it or correct the name");
    }
    if (std::find(names.begin(), here, name) != here) {
      report(location, fmt::format("\"{}\" is listed twice", name), "remove one of them");
    }
  }
}

void ValidateDefaultClass(const Workspace& workspace, std::size_t index,
                          const ReportError& report) {
  const auto& classes = workspace.classes;
  const bool listed =
      std::find(classes.begin(), classes.end(), workspace.default_class) != classes.end();
  if (!workspace.default_class.empty() && !listed) {
    report({"workspace", index, "default_class"},
           fmt::format("\"{}\" is not one of the workspace's classes", workspace.default_class),
           "add it to `classes` or name one of them");
  }
}

void ValidateWorkspaces(const Configuration& configuration, const HashFunction& hash_name,
                        const ReportError& report) {
  NameRegister names("workspace", hash_name, report);
  std::map<std::string, std::string> key_owners;
  for (std::size_t index = 0; index < configuration.workspaces.size(); ++index) {
    const auto& workspace = configuration.workspaces[index];
    names.Add(workspace.name, {"workspace", index, "name"}, Repetition::kForbidden);
    ValidateKeyHashes(workspace, index, key_owners, report);
    ValidateReferences(workspace.classes, configuration.classes, {"workspace", index, "classes"},
                       report);
    ValidateReferences(workspace.upstreams, configuration.upstreams,
                       {"workspace", index, "upstreams"}, report);
    ValidateDefaultClass(workspace, index, report);
  }
}

bool SharesMethod(const Route& left, const Route& right) {
  if (left.methods.empty() || right.methods.empty()) {
    return true;
  }
  return std::any_of(left.methods.begin(), left.methods.end(), [&](const std::string& method) {
    return !method.empty() &&
           std::find(right.methods.begin(), right.methods.end(), method) != right.methods.end();
  });
}

void ValidateMethods(const Route& route, std::size_t index, const ReportError& report) {
  const auto upper = [](char c) { return c >= 'A' && c <= 'Z'; };
  for (std::size_t position = 0; position < route.methods.size(); ++position) {
    const auto& method = route.methods[position];
    if (!std::all_of(method.begin(), method.end(), upper)) {
      report({"route", index, "methods", static_cast<std::ptrdiff_t>(position)},
             "is not an upper-case HTTP method", "write for example \"POST\"");
    }
  }
}

void ValidateRouteTarget(const Configuration& configuration, std::size_t index,
                         const ReportError& report) {
  const auto& route = configuration.routes[index];
  const auto& upstreams = configuration.upstreams;
  if (!route.upstream.empty() && FindByName(upstreams, route.upstream) == nullptr) {
    report({"route", index, "upstream"}, fmt::format("\"{}\" is not declared", route.upstream),
           "declare the upstream or correct the name");
  }
  const bool has_model = std::any_of(upstreams.begin(), upstreams.end(), [](const auto& upstream) {
    return upstream.kind == UpstreamKind::kModelEngine;
  });
  if (route.upstream.empty() && !upstreams.empty() && !has_model) {
    report({"route", index, "upstream"},
           "the route leads to the upstream of a model, but no upstream serves a model",
           "name an upstream, or declare one with `kind = \"model_engine\"`");
  }
}

void ValidateRoutes(const Configuration& configuration, const HashFunction& hash_name,
                    const ReportError& report) {
  NameRegister names("route", hash_name, report);
  const auto& routes = configuration.routes;
  for (std::size_t index = 0; index < routes.size(); ++index) {
    const auto& route = routes[index];
    names.Add(route.name, {"route", index, "name"}, Repetition::kForbidden);
    ValidateMethods(route, index, report);
    ValidateRouteTarget(configuration, index, report);
    if (route.path_prefix.empty()) {
      continue;
    }
    CheckPrintable(route.path_prefix, {"route", index, "path_prefix"}, report);
    if (route.path_prefix.front() != '/') {
      report({"route", index, "path_prefix"}, "does not start with \"/\"",
             "write the path from its first \"/\"");
    }
    for (std::size_t other = 0; other < index; ++other) {
      if (routes[other].path_prefix == route.path_prefix && SharesMethod(routes[other], route)) {
        report({"route", index, "path_prefix"},
               fmt::format("overlaps the route \"{}\": same prefix and method", routes[other].name),
               "give them different prefixes or disjoint `methods`");
      }
    }
  }
}

}  // namespace

void ValidateConfiguration(const Configuration& configuration, const HashFunction& hash_name,
                           const ReportError& report) {
  ValidateClasses(configuration, hash_name, report);
  ValidateUpstreams(configuration, hash_name, report);
  ValidateWorkspaces(configuration, hash_name, report);
  ValidateRoutes(configuration, hash_name, report);
}

}  // namespace pomelospar::configuration
