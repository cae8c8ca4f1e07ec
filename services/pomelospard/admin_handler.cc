#include "services/pomelospard/admin_handler.h"

#include <fmt/format.h>
#include <openssl/crypto.h>

#include <nlohmann/json.hpp>
#include <set>
#include <tuple>
#include <utility>

#include "libraries/admission/digest.h"
#include "services/pomelospard/admin_views.h"
#include "services/pomelospard/crash_controller.h"
#include "services/pomelospard/json_response.h"
#include "services/pomelospard/runner_controller.h"

namespace pomelospar::daemon {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMetricsPartBytes = 64UL * 1024;

http::HttpResponse TextResponse(unsigned status, std::string_view text) {
  http::HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "text/plain; charset=utf-8"}};
  response.body = text;
  return response;
}

// Compares digests of the tokens, so that the time depends neither on the token's length nor on its
// content.
bool IsAuthorized(const AdminServices& services, const http::HttpRequest& request) {
  const auto given =
      admission::Sha256(request.FindHeader("Authorization").value_or(std::string_view()));
  const auto expected = admission::Sha256("Bearer " + services.token);
  return CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
}

// Returns the percent-decoded part of the path after a prefix.
std::string PathSuffix(const http::HttpRequest& request, std::string_view prefix) {
  return http::PercentDecode(request.path().substr(prefix.size()));
}

http::HttpResponse ResultResponse(const core::Result<void>& result) {
  if (result) {
    return JsonResponse(200, {{"message", "done"}});
  }
  return JsonErrorResponse(core::Is(result.error(), core::ErrorKind::kNotFound) ? 404 : 500,
                           result.error().message);
}

http::HttpResponse ServeRunnerAction(AdminServices& services, const http::HttpRequest& request,
                                     core::Result<void> (*action)(RouterState&, std::string_view)) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("address") || !body["address"].is_string()) {
    return JsonErrorResponse(400, "send {\"address\": \"ip:port\"} of a runner");
  }
  return ResultResponse(action(services.state, body["address"].get<std::string>()));
}

http::HttpResponse InjectFaults(AdminServices& services, const http::HttpRequest& request) {
  if (!services.state.settings.faults_enabled) {
    return JsonErrorResponse(403, "fault injection is off; set [faults] enabled = true in a test");
  }
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return JsonErrorResponse(400, "send {\"blocked_peers\": [...], \"block_platform\": false}");
  }
  std::set<std::string> blocked;
  for (const auto& peer : body.value("blocked_peers", nlohmann::json::array())) {
    if (peer.is_string()) {
      blocked.insert(peer.get<std::string>());
    }
  }
  const auto block_platform = body.value("block_platform", nlohmann::json(false));
  services.transport.BlockPeers(std::move(blocked));
  services.faults.block_platform = block_platform.is_boolean() && block_platform.get<bool>();
  return JsonResponse(200, {{"message", "done"}});
}

http::HttpResponse Explain(AdminServices& services, const std::string& id) {
  const auto* record = services.state.recent.Find(id);
  if (record == nullptr) {
    return JsonErrorResponse(
        404,
        "this router does not know the request; ask the router that answered it, "
        "which keeps its latest 2,000 requests");
  }
  return JsonResponse(200, RequestView(*record));
}

bool NeedsConfiguration(std::string_view path) {
  return path == "/v1/workspaces" || path == "/v1/upstreams";
}

http::HttpResponse ServeView(AdminServices& services, const http::HttpRequest& request) {
  const auto path = request.path();
  const auto& state = services.state;
  if (NeedsConfiguration(path) && state.configuration == nullptr) {
    return JsonErrorResponse(503, "no configuration is in force; apply one");
  }
  if (path == "/v1/status") {
    return JsonResponse(200, StatusView(state));
  }
  if (path == "/v1/workspaces") {
    return JsonResponse(200, WorkspacesView(state));
  }
  if (path == "/v1/upstreams") {
    return JsonResponse(200, UpstreamsView(state));
  }
  if (path == "/v1/members") {
    return JsonResponse(200, MembersView(state));
  }
  if (path == "/v1/quarantine") {
    return JsonResponse(200, QuarantineView(state));
  }
  if (path.starts_with("/v1/requests/")) {
    return Explain(services, PathSuffix(request, "/v1/requests/"));
  }
  return JsonErrorResponse(404, "no such resource; docs/admin_api.md lists them");
}

http::HttpResponse ServeAction(AdminServices& services, const http::HttpRequest& request) {
  const auto path = request.path();
  if (request.method == "POST" && path == "/v1/runners/drain") {
    return ServeRunnerAction(services, request, DrainRunner);
  }
  if (request.method == "POST" && path == "/v1/runners/undrain") {
    return ServeRunnerAction(services, request, UndrainRunner);
  }
  if (request.method == "POST" && path == "/v1/faults") {
    return InjectFaults(services, request);
  }
  if (request.method == "DELETE" && path.starts_with("/v1/quarantine/")) {
    ClearQuarantine(services.state, PathSuffix(request, "/v1/quarantine/"));
    return JsonResponse(200, {{"message", "done"}});
  }
  return JsonErrorResponse(404, "no such action; docs/admin_api.md lists them");
}

asio::awaitable<void> ServeMetrics(AdminServices& services, http::ServerExchange& exchange) {
  http::ResponseHead head;
  head.chunked = true;
  head.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
  auto written = co_await exchange.StartStream(std::move(head));
  metrics::RenderCursor cursor;
  while (written && !cursor.finished) {
    std::string part;
    services.state.metrics.RenderPart(cursor, kMetricsPartBytes, part);
    if (!part.empty()) {
      written = co_await exchange.Write(part);
    }
  }
  if (written) {
    std::ignore = co_await exchange.FinishStream({});
  }
}

asio::awaitable<bool> ServePublicRequest(AdminServices& services, http::ServerExchange& exchange) {
  const auto path = exchange.request().path();
  if (path == "/healthz") {
    auto response = TextResponse(200, "ok\n");
    std::ignore = co_await exchange.Respond(std::move(response));
    co_return true;
  }
  if (path == "/readyz") {
    const bool ready = services.state.lifecycle == Lifecycle::kServing;
    auto response = ready ? TextResponse(200, "ready\n") : TextResponse(503, "not ready\n");
    std::ignore = co_await exchange.Respond(std::move(response));
    co_return true;
  }
  if (path == "/metrics") {
    co_await ServeMetrics(services, exchange);
    co_return true;
  }
  co_return false;
}

}  // namespace

asio::awaitable<void> HandleAdminRequest(AdminServices& services, http::ServerExchange& exchange) {
  if (co_await ServePublicRequest(services, exchange)) {
    co_return;
  }
  const auto& request = exchange.request();
  // g++ 12 destroys the temporaries of a conditional expression twice if they are in an expression
  // with co_await, so each response is a variable of its own.
  http::HttpResponse response;
  if (!IsAuthorized(services, request)) {
    response = JsonErrorResponse(401, "send the operator's token as Authorization: Bearer TOKEN");
  } else if (request.path().starts_with("/v1/configuration")) {
    response = co_await ServeConfigurationRequest(services.configuration, request);
  } else if (request.method == "GET") {
    response = ServeView(services, request);
  } else {
    response = ServeAction(services, request);
  }
  std::ignore = co_await exchange.Respond(std::move(response));
}

}  // namespace pomelospar::daemon
