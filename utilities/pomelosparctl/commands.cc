#include "utilities/pomelosparctl/commands.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <utility>
#include <variant>

#include "libraries/configuration/daemon_settings.h"
#include "libraries/http/message.h"
#include "utilities/pomelosparctl/output.h"

namespace pomelospar::pomelosparctl {
namespace {

using core::ErrorKind;
using core::MakeError;
using nlohmann::json;

std::string Trim(const std::string& text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const auto first = text.find_first_not_of(kSpace);
  if (first == std::string::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

void PrintMessage(const json& response) {
  fmt::print("{}\n", Cell(response.value("message", json("done"))));
}

void PrintStatus(const json& response) { fmt::print("{}", FormatFields(response)); }

void PrintWorkspaces(const json& response) {
  fmt::print("{}", FormatTable({{"WORKSPACE", "name"},
                                {"SHARE", "share"},
                                {"SERVICE", "service"},
                                {"NORMALISED", "normalised_service"},
                                {"QUEUED", "queued"},
                                {"RUNNING", "running"},
                                {"GAP", "gap"}},
                               response.value("workspaces", json::array())));
}

void PrintUpstreams(const json& response) {
  json rows = json::array();
  for (const auto& upstream : response.value("upstreams", json::array())) {
    for (auto runner : upstream.value("runners", json::array())) {
      runner["upstream"] = upstream.value("name", json());
      runner["model"] = upstream.value("model", json());
      rows.push_back(std::move(runner));
    }
  }
  fmt::print("{}", FormatTable({{"UPSTREAM", "upstream"},
                                {"MODEL", "model"},
                                {"RUNNER", "address"},
                                {"DOMAIN", "domain"},
                                {"SLOTS", "slots"},
                                {"RUNNING", "running"},
                                {"STATE", "state"}},
                               rows));
}

void PrintMembers(const json& response) {
  fmt::print("{}", FormatTable({{"ROUTER", "address"},
                                {"INCARNATION", "incarnation"},
                                {"DOMAIN", "domain"},
                                {"STATUS", "status"},
                                {"GENERATION", "generation"}},
                               response.value("members", json::array())));
}

void PrintQuarantine(const json& response) {
  fmt::print("{}",
             FormatTable({{"FINGERPRINT", "fingerprint"}, {"REMAINING (s)", "remaining_seconds"}},
                         response.value("quarantine", json::array())));
}

void PrintRequest(const json& response) {
  auto fields = response;
  fields.erase("events");
  fmt::print("{}\n{}", FormatFields(fields),
             FormatTable({{"AT (ms)", "at_milliseconds"}, {"EVENT", "event"}, {"DETAIL", "detail"}},
                         response.value("events", json::array())));
}

int Status(const Options& options) {
  return Call(options, "GET", "/v1/status", nullptr, PrintStatus);
}

int Workspaces(const Options& options) {
  return Call(options, "GET", "/v1/workspaces", nullptr, PrintWorkspaces);
}

int Upstreams(const Options& options) {
  return Call(options, "GET", "/v1/upstreams", nullptr, PrintUpstreams);
}

int Members(const Options& options) {
  return Call(options, "GET", "/v1/members", nullptr, PrintMembers);
}

int Drain(const Options& options) {
  return Call(options, "POST", "/v1/runners/drain", {{"address", options.arguments[0]}},
              PrintMessage);
}

int Undrain(const Options& options) {
  return Call(options, "POST", "/v1/runners/undrain", {{"address", options.arguments[0]}},
              PrintMessage);
}

int Quarantine(const Options& options) {
  const auto& action = options.arguments[0];
  if (action == "list" && options.arguments.size() == 1) {
    return Call(options, "GET", "/v1/quarantine", nullptr, PrintQuarantine);
  }
  if (action == "clear" && options.arguments.size() == 2) {
    return Call(options, "DELETE", "/v1/quarantine/" + http::PercentEncode(options.arguments[1]),
                nullptr, PrintMessage);
  }
  return Fail(kUsageError, "write `quarantine list` or `quarantine clear FINGERPRINT`");
}

int Explain(const Options& options) {
  return Call(options, "GET", "/v1/requests/" + http::PercentEncode(options.arguments[0]), nullptr,
              PrintRequest);
}

int Faults(const Options& options) {
  const auto body = json::parse(options.arguments[0], nullptr, false);
  if (!body.is_object()) {
    return Fail(kUsageError,
                R"(the faults are not a JSON object; write for example '{"block_platform":true}')");
  }
  return Call(options, "POST", "/v1/faults", body, PrintMessage);
}

}  // namespace

int Fail(int exit_code, std::string_view message) {
  fmt::print(stderr, "pomelosparctl: {}\n", message);
  return exit_code;
}

core::Result<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name, std::ios::binary);
  std::string content{std::istreambuf_iterator<char>(file), {}};
  if (!file) {
    return MakeError(ErrorKind::kNotFound,
                     fmt::format("cannot read {}; check its path and permissions", name));
  }
  return content;
}

core::Result<AdminClient> MakeClient(const Options& options) {
  AdminClient client;
  client.servers = options.servers;
  client.timeout = std::chrono::seconds(options.timeout_seconds);
  auto token_file = options.token_file;
  if (!options.settings_file.empty()) {
    BOOST_OUTCOME_TRY(const auto text, ReadFile(options.settings_file));
    const auto parsed = configuration::ParseDaemonSettings(text, options.settings_file);
    const auto* settings = std::get_if<configuration::DaemonSettings>(&parsed);
    if (settings == nullptr) {
      return MakeError(ErrorKind::kInvalidArgument,
                       fmt::format("{} is invalid; see `pomelosparctl validate --settings={}`",
                                   options.settings_file, options.settings_file));
    }
    if (client.servers.empty()) {
      client.servers.push_back(settings->admin_address);
    }
    if (token_file.empty()) {
      token_file = settings->admin_token_file;
    }
  }
  if (client.servers.empty() || token_file.empty()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "name a router and its token: --server=IP:PORT --token-file=FILE, or "
                     "--settings=DAEMON.toml");
  }
  BOOST_OUTCOME_TRY(const auto token, ReadFile(token_file));
  client.token = Trim(token);
  return client;
}

int ReportFailure(const Options& options, const AdminResponse& response) {
  if (options.json) {
    fmt::print("{}\n", Dump(response.body));
  }
  const auto message = response.body.value("message", json("no reason given"));
  // Only prints the message; the status decides the exit code below.
  Fail(0, fmt::format("{} (HTTP {})", Cell(message), response.status));
  // On a conflict, `changes` lists what changed since the expected generation; for other failures,
  // what the apply changes.
  for (const auto& change : response.body.value("changes", json::array())) {
    fmt::print(stderr, "  {}\n", Cell(change));
  }
  for (const auto& item : response.body.value("diagnostics", json::array())) {
    fmt::print(stderr, "{}:{}: {}: {}; {}\n", Cell(item.value("file", json())),
               Cell(item.value("line", json())), Cell(item.value("key", json())),
               Cell(item.value("message", json())), Cell(item.value("remedy", json())));
  }
  switch (response.status) {
    case 409:
      return kConflict;
    case 422:
      return kInvalid;
    case 504:
      return kOutcomeUnknown;
    default:
      return kNotDone;
  }
}

int Call(const Options& options, const std::string& method, const std::string& target,
         const json& body, void (*print)(const json& response)) {
  const auto client = MakeClient(options);
  if (!client) {
    return Fail(kUsageError, client.error().message);
  }
  return CallWith(options, client.value(), method, target, body, print);
}

int CallWith(const Options& options, const AdminClient& client, const std::string& method,
             const std::string& target, const json& body, void (*print)(const json& response)) {
  const auto response = Request(client, method, target, body);
  if (!response) {
    return Fail(kNotDone, response.error().message);
  }
  if (response.value().status != 200) {
    return ReportFailure(options, response.value());
  }
  if (options.json) {
    fmt::print("{}\n", Dump(response.value().body));
  } else {
    print(response.value().body);
  }
  return kDone;
}

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"validate", "[FILE]", "check a fleet file, or daemon settings given by --settings", 0, 1,
       Validate},
      {"diff", "FILE [NEW]", "changes from the fleet's configuration to FILE, or from FILE to NEW",
       1, 2, DiffFiles},
      {"apply", "FILE", "make FILE the fleet's configuration", 1, 1, ApplyFile},
      {"history", "", "the latest configuration generations, newest first", 0, 0, ShowHistory},
      {"rollback", "GENERATION", "apply an earlier generation as a new one", 1, 1, RollBack},
      {"status", "", "state of the router that answers", 0, 0, Status},
      {"workspaces", "", "share, service, queued and running requests, and gap of each workspace",
       0, 0, Workspaces},
      {"upstreams", "", "runners with their state", 0, 0, Upstreams},
      {"members", "", "routers of the fleet", 0, 0, Members},
      {"drain", "ADDRESS", "give a runner no new work", 1, 1, Drain},
      {"undrain", "ADDRESS", "give a drained runner work again", 1, 1, Undrain},
      {"quarantine", "list | clear FINGERPRINT",
       "list or clear quarantined requests, which are suspected of crashing runners", 1, 2,
       Quarantine},
      {"explain", "REQUEST", "what happened to a request of pomelospard; see also `place`", 1, 1,
       Explain},
      {"place", "HOST PATH [FIELD=VALUE]...",
       "where pomelospar_edge would send a request now, and why; --server is its metrics address",
       2, 11, Place},
      {"hash-key", "", "SHA-256 of the API key on standard input", 0, 0, HashKey},
      {"faults", "JSON", "inject faults into a router whose settings enable [faults]", 1, 1,
       Faults},
  };
  return commands;
}

}  // namespace pomelospar::pomelosparctl
