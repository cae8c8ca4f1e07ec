#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "libraries/http/message.h"
#include "utilities/pomelosparctl/commands.h"
#include "utilities/pomelosparctl/output.h"

namespace pomelospar::pomelosparctl {
namespace {

using nlohmann::json;

/// Rounds the times and costs of a runner to tenths and puts its marks into one cell.
json Row(json runner) {
  for (const auto* key : {"forecast_ms", "cost", "cached_tokens", "cold_left_ms"}) {
    if (runner.contains(key) && runner[key].is_number()) {
      runner[key] = fmt::format("{:.1f}", runner[key].get<double>());
    }
  }
  runner["use"] = runner.value("candidate", false) ? json("candidate")
                                                   : runner.value("reason", json("unknown"));
  return runner;
}

void PrintPlacement(const json& answer) {
  json rows = json::array();
  for (const auto& runner : answer.value("runners", json::array())) rows.push_back(Row(runner));
  if (!rows.empty()) {
    fmt::print("{}", FormatTable({{"RUNNER", "id"},
                                  {"DOMAIN", "domain"},
                                  {"USE", "use"},
                                  {"FORECAST (ms)", "forecast_ms"},
                                  {"COST", "cost"},
                                  {"CACHED", "cached_tokens"},
                                  {"COLD (ms)", "cold_left_ms"}},
                                 rows));
  }
  const auto omitted = answer.value("omitted_runners", std::size_t{0});
  if (omitted > 0) fmt::print("and {} more runners\n", omitted);
  auto fields = answer;
  fields.erase("runners");
  fields.erase("omitted_runners");
  fmt::print("{}{}", rows.empty() ? "" : "\n", FormatFields(fields));
}

}  // namespace

int Place(const Options& options) {
  if (options.servers.empty()) {
    return Fail(kUsageError, "name the metrics address of a router: --server=IP:9464");
  }
  auto target = fmt::format("/explain?host={}&path={}", http::PercentEncode(options.arguments[0]),
                            http::PercentEncode(options.arguments[1]));
  for (std::size_t index = 2; index < options.arguments.size(); ++index) {
    const std::string_view argument = options.arguments[index];
    const auto equals = argument.find('=');
    if (equals == std::string_view::npos) {
      return Fail(kUsageError, fmt::format("\"{}\" is not FIELD=VALUE; write for example "
                                           "workspace=NAME",
                                           argument));
    }
    target += fmt::format("&{}={}", http::PercentEncode(argument.substr(0, equals)),
                          http::PercentEncode(argument.substr(equals + 1)));
  }
  // The metrics listener needs no token, so none is sent to it.
  const AdminClient client = {.servers = options.servers,
                              .token = {},
                              .timeout = std::chrono::seconds(options.timeout_seconds)};
  return CallWith(options, client, "GET", target, nullptr, PrintPlacement);
}

}  // namespace pomelospar::pomelosparctl
