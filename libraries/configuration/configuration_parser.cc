#include "libraries/configuration/configuration_parser.h"

#include <algorithm>
#include <map>
#include <utility>

#include "libraries/configuration/configuration_validator.h"
#include "libraries/configuration/normalise.h"
#include "libraries/configuration/table_reader.h"
#include "libraries/configuration/toml_document.h"

namespace pomelospar::configuration {
namespace {

using std::chrono::milliseconds;

// The fairness bound is inversely proportional to the smallest share, so shares have a lower limit.
constexpr double kMinimumShare = 0.01;
constexpr double kMaximumShare = 10'000.0;
constexpr double kMinimumWeight = 0.01;
constexpr double kMaximumWeight = 10'000.0;
constexpr double kMaximumCost = 1e9;
constexpr std::uint64_t kMaximumSlots = 1024;
constexpr std::uint64_t kMaximumQueuedRequests = 1'000'000;
constexpr std::size_t kMinimumBytes = 1024;
// Greater than zero, so that the fairness bound is greater than zero.
constexpr double kMinimumCost = 1e-6;
constexpr milliseconds kMinimumTimeout = milliseconds(1);

Limits ReadLimits(TableReader table) {
  Limits limits;
  limits.maximum_header_bytes =
      table.Size("maximum_header_bytes", limits.maximum_header_bytes, kMinimumBytes);
  limits.maximum_body_bytes =
      table.Size("maximum_body_bytes", limits.maximum_body_bytes, kMinimumBytes);
  limits.maximum_answer_bytes =
      table.Size("maximum_answer_bytes", limits.maximum_answer_bytes, kMinimumBytes);
  limits.header_timeout = table.Duration("header_timeout", limits.header_timeout, kMinimumTimeout);
  limits.body_timeout = table.Duration("body_timeout", limits.body_timeout, kMinimumTimeout);
  limits.queue_timeout = table.Duration("queue_timeout", limits.queue_timeout, kMinimumTimeout);
  limits.largest_request_cost =
      table.Number("largest_request_cost", limits.largest_request_cost, kMinimumCost, kMaximumCost);
  limits.slot_service_rate =
      table.Number("slot_service_rate", limits.slot_service_rate, kMinimumCost, kMaximumCost);
  table.Finish();
  return limits;
}

RequestClass ReadClass(TableReader& table) {
  RequestClass item;
  item.name = table.String("name", Presence::kRequired);
  item.weight = table.Number("weight", item.weight, kMinimumWeight, kMaximumWeight);
  table.Finish();
  return item;
}

CostUnits ReadCost(TableReader table) {
  CostUnits cost;
  cost.per_call = table.Number("per_call", cost.per_call, 0.0, kMaximumCost);
  cost.per_input_token = table.Number("per_input_token", cost.per_input_token, 0.0, kMaximumCost);
  cost.per_output_token =
      table.Number("per_output_token", cost.per_output_token, 0.0, kMaximumCost);
  table.Finish();
  return cost;
}

Runner ReadRunner(TableReader& table) {
  Runner runner;
  runner.address = table.Address("address", Presence::kRequired, PortRule::kGiven);
  runner.domain = table.String("domain", Presence::kRequired);
  runner.slots = static_cast<std::uint32_t>(table.Integer("slots", runner.slots, 1, kMaximumSlots));
  table.Finish();
  return runner;
}

UpstreamKind ReadKind(TableReader& table) {
  const auto kind = table.String("kind", Presence::kRequired);
  if (kind == "model_engine") {
    return UpstreamKind::kModelEngine;
  }
  if (!kind.empty() && kind != "plain_service") {
    table.Report("kind", "is unknown", R"(write "model_engine" or "plain_service")");
  }
  return UpstreamKind::kPlainService;
}

Upstream ReadUpstream(TableReader& table) {
  Upstream upstream;
  upstream.name = table.String("name", Presence::kRequired);
  upstream.kind = ReadKind(table);
  upstream.model = table.String("model", Presence::kOptional);
  upstream.cost = ReadCost(table.Table("cost"));
  if (upstream.cost.per_call + upstream.cost.per_input_token + upstream.cost.per_output_token ==
      0.0) {
    table.Report("cost", "is zero for every request",
                 "set at least one of per_call, per_input_token and per_output_token");
  }
  upstream.cross_domain = table.Boolean("cross_domain", upstream.cross_domain);
  upstream.checks_fencing = table.Boolean("checks_fencing", upstream.checks_fencing);
  upstream.connect_timeout =
      table.Duration("connect_timeout", upstream.connect_timeout, kMinimumTimeout);
  for (auto& runner : table.Tables("runners", Presence::kRequired)) {
    upstream.runners.push_back(ReadRunner(runner));
  }
  table.Finish();
  return upstream;
}

Workspace ReadWorkspace(TableReader& table) {
  Workspace workspace;
  workspace.name = table.String("name", Presence::kRequired);
  workspace.share = table.Number("share", workspace.share, kMinimumShare, kMaximumShare);
  workspace.key_hashes = table.Strings("key_hashes", Presence::kRequired);
  workspace.classes = table.Strings("classes", Presence::kRequired);
  const auto first_class = workspace.classes.empty() ? "" : workspace.classes.front();
  workspace.default_class = table.String("default_class", Presence::kOptional, first_class);
  workspace.upstreams = table.Strings("upstreams", Presence::kRequired);
  workspace.maximum_queued_requests = table.Integer(
      "maximum_queued_requests", workspace.maximum_queued_requests, 1, kMaximumQueuedRequests);
  workspace.maximum_queued_bytes =
      table.Size("maximum_queued_bytes", workspace.maximum_queued_bytes, kMinimumBytes);
  table.Finish();
  return workspace;
}

Route ReadRoute(TableReader& table) {
  Route route;
  route.name = table.String("name", Presence::kRequired);
  route.path_prefix = table.String("path_prefix", Presence::kRequired);
  route.methods = table.Strings("methods", Presence::kOptional);
  route.upstream = table.String("upstream", Presence::kOptional);
  route.repeatable = table.Boolean("repeatable", route.repeatable);
  route.first_byte_timeout =
      table.Duration("first_byte_timeout", route.first_byte_timeout, kMinimumTimeout);
  route.idle_timeout = table.Duration("idle_timeout", route.idle_timeout, kMinimumTimeout);
  table.Finish();
  return route;
}

template <typename T>
std::vector<T> ReadItems(std::vector<TableReader>& tables, T (*read)(TableReader&)) {
  std::vector<T> items;
  items.reserve(tables.size());
  for (auto& table : tables) {
    items.push_back(read(table));
  }
  return items;
}

/// The readers of the items of each section kind, for the lines of errors found by the validator.
using SectionTables = std::map<std::string_view, std::vector<TableReader>>;

Configuration ReadConfiguration(TableReader& root, SectionTables& sections) {
  for (const auto* section : {"class", "upstream", "workspace", "route"}) {
    sections.emplace(section, root.Tables(section, Presence::kRequired));
  }
  Configuration configuration;
  configuration.limits = ReadLimits(root.Table("limits"));
  configuration.classes = ReadItems(sections["class"], ReadClass);
  configuration.upstreams = ReadItems(sections["upstream"], ReadUpstream);
  configuration.workspaces = ReadItems(sections["workspace"], ReadWorkspace);
  configuration.routes = ReadItems(sections["route"], ReadRoute);
  root.Finish();
  return configuration;
}

void Validate(const Configuration& configuration, SectionTables& sections,
              const ParseOptions& options) {
  const auto report = [&](const ErrorLocation& location, std::string message, std::string remedy) {
    auto& table = sections.at(location.section).at(location.index);
    const std::string key(location.key);
    if (location.position < 0) {
      table.Report(key, std::move(message), std::move(remedy));
      return;
    }
    table.ReportItem(key, static_cast<std::size_t>(location.position),
                     std::string(location.inner_key), std::move(message), std::move(remedy));
  };
  ValidateConfiguration(configuration, options.hash_name, report);
}

}  // namespace

std::variant<Configuration, std::vector<Diagnostic>> ParseConfiguration(
    std::string_view document, const std::string& file, const ParseOptions& options) {
  DiagnosticList diagnostics(file);
  const auto root = ParseToml(document, file, diagnostics);
  if (!root) {
    return diagnostics.Take();
  }
  TableReader reader(*root, "", diagnostics);
  SectionTables sections;
  auto configuration = ReadConfiguration(reader, sections);
  Validate(configuration, sections, options);
  if (!diagnostics.empty()) {
    return diagnostics.Take();
  }
  Normalise(configuration);
  return configuration;
}

}  // namespace pomelospar::configuration
