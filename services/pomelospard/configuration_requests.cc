#include "services/pomelospard/configuration_requests.h"

#include <boost/asio/this_coro.hpp>
#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "libraries/configuration/configuration_parser.h"
#include "services/pomelospard/awaitable_callback.h"
#include "services/pomelospard/json_response.h"

namespace pomelospar::daemon {
namespace {

namespace asio = boost::asio;
using configuration::Diagnostic;
using Json = nlohmann::ordered_json;

constexpr std::uint32_t kDefaultHistory = 20;
constexpr std::uint32_t kMaximumHistory = 100;

using Parsed = std::variant<configuration::SectionMap, std::vector<Diagnostic>>;

Parsed ParseSections(const std::string& document, const std::string& file) {
  auto parsed = configuration::ParseConfiguration(document, file);
  if (auto* errors = std::get_if<std::vector<Diagnostic>>(&parsed)) {
    return std::move(*errors);
  }
  return configuration::ToSections(std::get<configuration::Configuration>(parsed));
}

asio::awaitable<Parsed> ParseOnWorker(const ConfigurationServices& services, std::string document,
                                      std::string file) {
  AwaitableCallback<Parsed> pending(co_await asio::this_coro::executor);
  auto result = std::make_shared<Parsed>();
  services.offload([result, document = std::move(document),
                    file = std::move(file)] { *result = ParseSections(document, file); },
                   [result, callback = pending.Callback()] { callback(std::move(*result)); });
  co_return co_await pending.Wait();
}

std::string StringField(const nlohmann::json& body, const char* name) {
  const auto found = body.find(name);
  return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<std::uint64_t> NumberField(const nlohmann::json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

// Returns the first field whose type differs from the admin API's, or nothing. A field of the wrong
// type must not count as absent: a change whose expected generation cannot be read would apply
// without the check.
std::optional<std::string> FindMistypedField(const nlohmann::json& body) {
  for (const auto* name : {"document", "file", "apply_identifier", "operator", "message"}) {
    if (body.contains(name) && !body[name].is_string()) {
      return name;
    }
  }
  for (const auto* name : {"expect_generation", "generation"}) {
    if (body.contains(name) && !body[name].is_null() && !body[name].is_number_unsigned()) {
      return name;
    }
  }
  if (body.contains("dry_run") && !body["dry_run"].is_boolean()) {
    return "dry_run";
  }
  return std::nullopt;
}

configuration::ApplyRequest RequestFrom(const nlohmann::json& body) {
  configuration::ApplyRequest request;
  request.expected_generation = NumberField(body, "expect_generation");
  request.apply_identifier = StringField(body, "apply_identifier");
  request.operator_name = StringField(body, "operator");
  request.message = StringField(body, "message");
  const auto dry_run = body.find("dry_run");
  request.dry_run = dry_run != body.end() && dry_run->is_boolean() && dry_run->get<bool>();
  return request;
}

http::HttpResponse DiagnosticsResponse(const std::vector<Diagnostic>& diagnostics) {
  Json rows = Json::array();
  for (const auto& diagnostic : diagnostics) {
    rows.push_back({{"file", diagnostic.file},
                    {"line", diagnostic.line},
                    {"key", diagnostic.key},
                    {"message", diagnostic.message},
                    {"remedy", diagnostic.remedy}});
  }
  return JsonResponse(422, {{"message", "the file has errors; nothing was applied"},
                            {"diagnostics", std::move(rows)}});
}

http::HttpResponse ApplyResponse(const configuration::ApplyResult& result) {
  const auto status = static_cast<unsigned>(configuration::HttpStatus(result.outcome));
  Json body;
  body["applied"] = result.outcome == configuration::ApplyOutcome::kApplied;
  body["generation"] = result.generation;
  if (result.outcome == configuration::ApplyOutcome::kConflict) {
    body["current_generation"] = result.generation;
  }
  body["changes"] = result.changes;
  body["message"] = result.message;
  return JsonResponse(status, body);
}

asio::awaitable<http::HttpResponse> Apply(ConfigurationServices& services,
                                          const nlohmann::json& body) {
  auto document = StringField(body, "document");
  auto file = StringField(body, "file");
  auto parsed = co_await ParseOnWorker(services, std::move(document), std::move(file));
  if (const auto* errors = std::get_if<std::vector<Diagnostic>>(&parsed)) {
    co_return DiagnosticsResponse(*errors);
  }
  auto request = RequestFrom(body);
  request.sections = std::move(std::get<configuration::SectionMap>(parsed));
  AwaitableCallback<configuration::ApplyResult> pending(co_await asio::this_coro::executor);
  services.applier.Apply(std::move(request), pending.Callback());
  const auto result = co_await pending.Wait();
  co_return ApplyResponse(result);
}

asio::awaitable<http::HttpResponse> Rollback(ConfigurationServices& services,
                                             const nlohmann::json& body) {
  const auto generation = NumberField(body, "generation");
  if (!generation) {
    co_return JsonErrorResponse(400, "send the generation to roll back to as a number");
  }
  AwaitableCallback<configuration::ApplyResult> pending(co_await asio::this_coro::executor);
  services.applier.Rollback(*generation, RequestFrom(body), pending.Callback());
  const auto result = co_await pending.Wait();
  co_return ApplyResponse(result);
}

std::uint32_t HistoryLimit(const http::HttpRequest& request) {
  const auto text = request.QueryParameter("limit").value_or(std::string());
  std::uint32_t limit = kDefaultHistory;
  std::from_chars(text.data(), text.data() + text.size(), limit);
  return std::min(std::max(limit, 1U), kMaximumHistory);
}

asio::awaitable<http::HttpResponse> History(ConfigurationServices& services,
                                            const http::HttpRequest& request) {
  using Records = core::Result<std::vector<configuration::ChangeRecord>>;
  AwaitableCallback<Records> pending(co_await asio::this_coro::executor);
  services.applier.History(HistoryLimit(request), pending.Callback());
  const auto records = co_await pending.Wait();
  if (!records) {
    co_return JsonErrorResponse(503, records.error().message);
  }
  Json entries = Json::array();
  for (const auto& record : records.value()) {
    entries.push_back({{"generation", record.generation},
                       {"time", record.time_seconds},
                       {"operator", record.operator_name},
                       {"message", record.message},
                       {"apply_identifier", record.apply_identifier},
                       {"summary", record.summary}});
  }
  co_return JsonResponse(200, {{"changes", std::move(entries)}});
}

http::HttpResponse CurrentConfigurationResponse(const ConfigurationServices& services) {
  const auto held = services.store.held();
  if (held == nullptr) {
    return JsonResponse(200, {{"generation", 0}, {"sections", Json::object()}});
  }
  Json sections = Json::object();
  for (const auto& [name, text] : configuration::LiveSections(*held)) {
    sections[name] = Json::parse(text, nullptr, false);
  }
  return JsonResponse(200, {{"generation", held->generation},
                            {"apply_identifier", held->apply_identifier},
                            {"sections", std::move(sections)}});
}

}  // namespace

asio::awaitable<http::HttpResponse> ServeConfigurationRequest(ConfigurationServices& services,
                                                              const http::HttpRequest& request) {
  const auto path = request.path();
  if (request.method == "GET" && path == "/v1/configuration") {
    co_return CurrentConfigurationResponse(services);
  }
  if (request.method == "GET" && path == "/v1/configuration/history") {
    co_return co_await History(services, request);
  }
  const bool apply = path == "/v1/configuration/apply";
  if (request.method != "POST" || (!apply && path != "/v1/configuration/rollback")) {
    co_return JsonErrorResponse(404, "no such resource; docs/admin_api.md lists them");
  }
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    co_return JsonErrorResponse(400, "the body is not a JSON object");
  }
  if (const auto wrong = FindMistypedField(body)) {
    co_return JsonErrorResponse(400, "the field \"" + *wrong +
                                         "\" has a wrong type; "
                                         "docs/admin_api.md lists the types");
  }
  if (apply) {
    co_return co_await Apply(services, body);
  }
  co_return co_await Rollback(services, body);
}

}  // namespace pomelospar::daemon
