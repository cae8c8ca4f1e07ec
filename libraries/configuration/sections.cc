#include "libraries/configuration/sections.h"

#include <fmt/format.h>

#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "libraries/configuration/configuration_validator.h"
#include "libraries/configuration/normalise.h"

namespace pomelospar::configuration {
namespace {

using core::ErrorKind;
using core::MakeError;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kLimits = "limits";

json Encode(const Limits& limits) {
  return {{"maximum_header_bytes", limits.maximum_header_bytes},
          {"maximum_body_bytes", limits.maximum_body_bytes},
          {"maximum_answer_bytes", limits.maximum_answer_bytes},
          {"header_timeout_ms", limits.header_timeout.count()},
          {"body_timeout_ms", limits.body_timeout.count()},
          {"queue_timeout_ms", limits.queue_timeout.count()},
          {"largest_request_cost", limits.largest_request_cost},
          {"slot_service_rate", limits.slot_service_rate}};
}

json Encode(const RequestClass& item) { return {{"weight", item.weight}}; }

json Encode(const Upstream& upstream) {
  json runners = json::array();
  for (const auto& runner : upstream.runners) {
    runners.push_back(
        {{"address", runner.address}, {"domain", runner.domain}, {"slots", runner.slots}});
  }
  const json cost = {{"per_call", upstream.cost.per_call},
                     {"per_input_token", upstream.cost.per_input_token},
                     {"per_output_token", upstream.cost.per_output_token}};
  return {{"kind", upstream.kind == UpstreamKind::kModelEngine ? "model_engine" : "plain_service"},
          {"model", upstream.model},
          {"cost", cost},
          {"cross_domain", upstream.cross_domain},
          {"checks_fencing", upstream.checks_fencing},
          {"connect_timeout_ms", upstream.connect_timeout.count()},
          {"runners", runners}};
}

json Encode(const Workspace& workspace) {
  return {{"share", workspace.share},
          {"key_hashes", workspace.key_hashes},
          {"classes", workspace.classes},
          {"default_class", workspace.default_class},
          {"upstreams", workspace.upstreams},
          {"maximum_queued_requests", workspace.maximum_queued_requests},
          {"maximum_queued_bytes", workspace.maximum_queued_bytes}};
}

json Encode(const Route& route) {
  return {{"path_prefix", route.path_prefix},
          {"methods", route.methods},
          {"upstream", route.upstream},
          {"repeatable", route.repeatable},
          {"first_byte_timeout_ms", route.first_byte_timeout.count()},
          {"idle_timeout_ms", route.idle_timeout.count()}};
}

template <typename T>
T At(const json& value, const char* key) {
  return value.at(key).get<T>();
}

milliseconds MillisecondsAt(const json& value, const char* key) {
  return milliseconds(At<std::int64_t>(value, key));
}

Limits DecodeLimits(const json& value) {
  Limits limits;
  limits.maximum_header_bytes = At<std::size_t>(value, "maximum_header_bytes");
  limits.maximum_body_bytes = At<std::size_t>(value, "maximum_body_bytes");
  limits.maximum_answer_bytes = At<std::size_t>(value, "maximum_answer_bytes");
  limits.header_timeout = MillisecondsAt(value, "header_timeout_ms");
  limits.body_timeout = MillisecondsAt(value, "body_timeout_ms");
  limits.queue_timeout = MillisecondsAt(value, "queue_timeout_ms");
  limits.largest_request_cost = At<double>(value, "largest_request_cost");
  limits.slot_service_rate = At<double>(value, "slot_service_rate");
  return limits;
}

RequestClass DecodeClass(const json& value) {
  RequestClass item;
  item.weight = At<double>(value, "weight");
  return item;
}

Runner DecodeRunner(const json& value) {
  Runner runner;
  runner.address = At<std::string>(value, "address");
  runner.domain = At<std::string>(value, "domain");
  runner.slots = At<std::uint32_t>(value, "slots");
  return runner;
}

Upstream DecodeUpstream(const json& value) {
  Upstream upstream;
  upstream.kind = At<std::string>(value, "kind") == "model_engine" ? UpstreamKind::kModelEngine
                                                                   : UpstreamKind::kPlainService;
  upstream.model = At<std::string>(value, "model");
  const auto& cost = value.at("cost");
  upstream.cost.per_call = At<double>(cost, "per_call");
  upstream.cost.per_input_token = At<double>(cost, "per_input_token");
  upstream.cost.per_output_token = At<double>(cost, "per_output_token");
  upstream.cross_domain = At<bool>(value, "cross_domain");
  upstream.checks_fencing = At<bool>(value, "checks_fencing");
  upstream.connect_timeout = MillisecondsAt(value, "connect_timeout_ms");
  for (const auto& runner : value.at("runners")) {
    upstream.runners.push_back(DecodeRunner(runner));
  }
  return upstream;
}

Workspace DecodeWorkspace(const json& value) {
  Workspace workspace;
  workspace.share = At<double>(value, "share");
  workspace.key_hashes = At<std::vector<std::string>>(value, "key_hashes");
  workspace.classes = At<std::vector<std::string>>(value, "classes");
  workspace.default_class = At<std::string>(value, "default_class");
  workspace.upstreams = At<std::vector<std::string>>(value, "upstreams");
  workspace.maximum_queued_requests = At<std::size_t>(value, "maximum_queued_requests");
  workspace.maximum_queued_bytes = At<std::size_t>(value, "maximum_queued_bytes");
  return workspace;
}

Route DecodeRoute(const json& value) {
  Route route;
  route.path_prefix = At<std::string>(value, "path_prefix");
  route.methods = At<std::vector<std::string>>(value, "methods");
  route.upstream = At<std::string>(value, "upstream");
  route.repeatable = At<bool>(value, "repeatable");
  route.first_byte_timeout = MillisecondsAt(value, "first_byte_timeout_ms");
  route.idle_timeout = MillisecondsAt(value, "idle_timeout_ms");
  return route;
}

template <typename T>
void EncodeItems(std::string_view kind, const std::vector<T>& items, SectionMap& sections) {
  for (const auto& item : items) {
    sections[fmt::format("{}/{}", kind, item.name)] = Encode(item).dump();
  }
}

template <typename T>
void AddItem(T item, std::string_view name, std::vector<T>& items) {
  item.name = name;
  items.push_back(std::move(item));
}

/// Throws `json::exception`.
void DecodeSection(std::string_view section, const json& value, Configuration& configuration) {
  const auto slash = section.find('/');
  const auto kind = section.substr(0, slash);
  const auto name =
      slash == std::string_view::npos ? std::string_view() : section.substr(slash + 1);
  if (section == kLimits) {
    configuration.limits = DecodeLimits(value);
  } else if (kind == "class") {
    AddItem(DecodeClass(value), name, configuration.classes);
  } else if (kind == "upstream") {
    AddItem(DecodeUpstream(value), name, configuration.upstreams);
  } else if (kind == "workspace") {
    AddItem(DecodeWorkspace(value), name, configuration.workspaces);
  } else if (kind == "route") {
    AddItem(DecodeRoute(value), name, configuration.routes);
  }
}

std::string Shown(const std::string& path, const json& value) {
  return path.starts_with("/key_hashes") ? "(hash)" : value.dump();
}

json ValueAt(const json& document, const std::string& path) {
  const json::json_pointer pointer(path);
  return document.contains(pointer) ? document.at(pointer) : json();
}

std::string DescribeKeys(const std::string& before, const std::string& after) {
  const auto old_value = json::parse(before, nullptr, false);
  const auto new_value = json::parse(after, nullptr, false);
  std::string text;
  for (const auto& step : json::diff(old_value, new_value)) {
    const auto path = step.at("path").get<std::string>();
    const auto operation = step.at("op").get<std::string>();
    const auto separator = text.empty() ? "" : ", ";
    if (operation == "replace") {
      text += fmt::format("{}{} {} -> {}", separator, path, Shown(path, ValueAt(old_value, path)),
                          Shown(path, step.at("value")));
    } else if (operation == "add") {
      text += fmt::format("{}{} added {}", separator, path, Shown(path, step.at("value")));
    } else {
      text += fmt::format("{}{} removed", separator, path);
    }
  }
  return text;
}

}  // namespace

SectionMap ToSections(const Configuration& configuration) {
  SectionMap sections;
  sections[std::string(kLimits)] = Encode(configuration.limits).dump();
  EncodeItems("class", configuration.classes, sections);
  EncodeItems("upstream", configuration.upstreams, sections);
  EncodeItems("workspace", configuration.workspaces, sections);
  EncodeItems("route", configuration.routes, sections);
  return sections;
}

core::Result<Configuration> FromSections(const SectionMap& sections) {
  if (!sections.contains(std::string(kLimits))) {
    return MakeError(ErrorKind::kMalformed,
                     "the sections have no \"limits\"; fetch the whole configuration again");
  }
  Configuration configuration;
  for (const auto& [name, text] : sections) {
    try {
      DecodeSection(name, json::parse(text), configuration);
    } catch (const std::exception&) {
      return MakeError(
          ErrorKind::kMalformed,
          fmt::format("section {} is malformed; run the same version on all routers", name));
    }
  }
  // Sections that come from different generations may contradict each other.
  std::optional<std::string> first_error;
  ValidateConfiguration(
      configuration, core::HashName,
      [&](const ErrorLocation& location, const std::string& message, const std::string&) {
        if (!first_error) {
          first_error = fmt::format("{} {}: {}", location.section, location.key, message);
        }
      });
  if (first_error) {
    return MakeError(
        ErrorKind::kMalformed,
        fmt::format("the sections do not fit together ({}); fetch the whole configuration again",
                    *first_error));
  }
  Normalise(configuration);
  return configuration;
}

std::vector<SectionChange> Diff(const SectionMap& before, const SectionMap& after) {
  std::map<std::string, SectionChange> changes;
  for (const auto& [name, text] : after) {
    const auto old_section = before.find(name);
    if (old_section == before.end()) {
      changes[name] = {name, ChangeKind::kAdded, text};
    } else if (old_section->second != text) {
      changes[name] = {name, ChangeKind::kChanged, text};
    }
  }
  for (const auto& [name, text] : before) {
    if (!after.contains(name)) {
      changes[name] = {name, ChangeKind::kRemoved, ""};
    }
  }
  std::vector<SectionChange> ordered;
  ordered.reserve(changes.size());
  for (auto& [name, change] : changes) {
    ordered.push_back(std::move(change));
  }
  return ordered;
}

SectionMap ApplyChanges(SectionMap sections, const std::vector<SectionChange>& changes) {
  for (const auto& change : changes) {
    if (change.kind == ChangeKind::kRemoved) {
      sections.erase(change.name);
    } else {
      sections[change.name] = change.json;
    }
  }
  return sections;
}

std::vector<std::string> Summarise(const SectionMap& before,
                                   const std::vector<SectionChange>& changes) {
  std::vector<std::string> lines;
  lines.reserve(changes.size());
  for (const auto& change : changes) {
    switch (change.kind) {
      case ChangeKind::kAdded:
        lines.push_back("+ " + change.name);
        break;
      case ChangeKind::kRemoved:
        lines.push_back("- " + change.name);
        break;
      case ChangeKind::kChanged:
        lines.push_back(fmt::format("~ {}: {}", change.name,
                                    DescribeKeys(before.at(change.name), change.json)));
        break;
    }
  }
  return lines;
}

}  // namespace pomelospar::configuration
