#include <fmt/chrono.h>
#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <utility>
#include <variant>

#include "libraries/configuration/configuration_parser.h"
#include "libraries/configuration/daemon_settings.h"
#include "libraries/configuration/sections.h"
#include "libraries/core/identifiers.h"
#include "utilities/pomelosparctl/commands.h"
#include "utilities/pomelosparctl/output.h"

namespace pomelospar::pomelosparctl {
namespace {

using configuration::Diagnostic;
using configuration::SectionMap;
using nlohmann::json;

int ReportDiagnostics(const Options& options, const std::vector<Diagnostic>& diagnostics) {
  if (options.json) {
    fmt::print("{}\n", Dump({{"valid", false}, {"diagnostics", ToJson(diagnostics)}}));
  }
  for (const auto& diagnostic : diagnostics) {
    fmt::print(stderr, "{}\n", FormatDiagnostic(diagnostic));
  }
  return kInvalid;
}

int ReportValid(const Options& options, const std::string& file) {
  if (options.json) {
    fmt::print("{}\n", Dump({{"valid", true}, {"diagnostics", json::array()}}));
  } else {
    fmt::print("{} is valid\n", file);
  }
  return kDone;
}

/// Returns the sections of a fleet file; on errors, prints them and returns the exit code.
std::variant<SectionMap, int> LoadSections(const Options& options, const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return Fail(kUsageError, text.error().message);
  }
  const auto parsed = configuration::ParseConfiguration(text.value(), file);
  if (const auto* diagnostics = std::get_if<std::vector<Diagnostic>>(&parsed)) {
    return ReportDiagnostics(options, *diagnostics);
  }
  return ToSections(std::get<configuration::Configuration>(parsed));
}

/// Fetches the sections of the fleet's current configuration; on an error, prints it and returns
/// the exit code.
std::variant<SectionMap, int> FetchSections(const Options& options) {
  const auto client = MakeClient(options);
  if (!client) {
    return Fail(kUsageError, client.error().message);
  }
  const auto response = Request(client.value(), "GET", "/v1/configuration", nullptr);
  if (!response) {
    return Fail(kNotDone, response.error().message);
  }
  if (response.value().status != 200) {
    return ReportFailure(options, response.value());
  }
  const auto held = response.value().body.value("sections", json::object());
  SectionMap sections;
  for (const auto& [name, value] : held.items()) {
    sections[name] = value.dump();
  }
  return sections;
}

void PrintApplied(const Options& options, const json& response) {
  if (options.json) {
    fmt::print("{}\n", Dump(response));
    return;
  }
  for (const auto& change : response.value("changes", json::array())) {
    fmt::print("{}\n", Cell(change));
  }
  fmt::print("{}\n", Cell(response.value("message", json("done"))));
}

/// Searches the history for a change whose outcome is unknown, prints whether it took effect and
/// returns the exit code.
int ResolveFromHistory(const Options& options, const AdminClient& client,
                       const std::string& identifier) {
  const auto history = Request(client, "GET", "/v1/configuration/history?limit=100", nullptr);
  if (history && history.value().status == 200) {
    for (const auto& change : history.value().body.value("changes", json::array())) {
      if (change.value("apply_identifier", json()) == json(identifier)) {
        const auto generation = change.value("generation", json());
        PrintApplied(options, {{"generation", generation},
                               {"applied", true},
                               {"changes", change.value("summary", json::array())},
                               {"message", fmt::format("the response was lost, but generation {} "
                                                       "took effect",
                                                       Cell(generation))}});
        return kDone;
      }
    }
  }
  return Fail(kOutcomeUnknown,
              fmt::format("the outcome is unknown and the history does not show it yet; repeat the "
                          "command with --apply-identifier={}, which never applies twice",
                          identifier));
}

/// Sends a change of the configuration with an apply identifier, prints the result and returns the
/// exit code.
int PostChange(const Options& options, const std::string& target, json body) {
  const auto client = MakeClient(options);
  if (!client) {
    return Fail(kUsageError, client.error().message);
  }
  const auto identifier = options.apply_identifier.empty()
                              ? fmt::format("{:016x}", core::RandomNonZero())
                              : options.apply_identifier;
  body["apply_identifier"] = identifier;
  body["operator"] = options.operator_name;
  body["message"] = options.message;
  const auto response = Request(client.value(), "POST", target, body);
  if (!response && core::Is(response.error(), core::ErrorKind::kUnavailable)) {
    return Fail(kNotDone, "nothing was applied: " + response.error().message);
  }
  if (!response || response.value().status == 504) {
    return ResolveFromHistory(options, client.value(), identifier);
  }
  if (response.value().status != 200) {
    return ReportFailure(options, response.value());
  }
  PrintApplied(options, response.value().body);
  return kDone;
}

std::string HexDigest(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned int index = 0; index < size; ++index) {
    hex += fmt::format("{:02x}", digest[index]);
  }
  return hex;
}

}  // namespace

int Validate(const Options& options) {
  const bool settings = !options.settings_file.empty();
  if (settings != options.arguments.empty()) {
    return Fail(kUsageError, "write `validate FILE` or `validate --settings=FILE`");
  }
  if (!settings) {
    const auto sections = LoadSections(options, options.arguments[0]);
    const auto* code = std::get_if<int>(&sections);
    return code != nullptr ? *code : ReportValid(options, options.arguments[0]);
  }
  const auto text = ReadFile(options.settings_file);
  if (!text) {
    return Fail(kUsageError, text.error().message);
  }
  const auto parsed = configuration::ParseDaemonSettings(text.value(), options.settings_file);
  if (const auto* diagnostics = std::get_if<std::vector<Diagnostic>>(&parsed)) {
    return ReportDiagnostics(options, *diagnostics);
  }
  return ReportValid(options, options.settings_file);
}

int DiffFiles(const Options& options) {
  const bool offline = options.arguments.size() == 2;
  const auto after = LoadSections(options, options.arguments.back());
  if (const auto* code = std::get_if<int>(&after)) {
    return *code;
  }
  const auto before =
      offline ? LoadSections(options, options.arguments[0]) : FetchSections(options);
  if (const auto* code = std::get_if<int>(&before)) {
    return *code;
  }
  const auto& old_sections = std::get<SectionMap>(before);
  const auto changes = configuration::Diff(old_sections, std::get<SectionMap>(after));
  const auto lines = configuration::Summarise(old_sections, changes);
  if (options.json) {
    fmt::print("{}\n", Dump(json{{"changes", lines}}));
    return kDone;
  }
  for (const auto& line : lines) {
    fmt::print("{}\n", line);
  }
  if (lines.empty()) {
    fmt::print("no changes\n");
  }
  return kDone;
}

int ApplyFile(const Options& options) {
  const auto& file = options.arguments[0];
  const auto sections = LoadSections(options, file);
  if (const auto* code = std::get_if<int>(&sections)) {
    return *code;
  }
  const auto text = ReadFile(file);
  if (!text) {
    return Fail(kUsageError, text.error().message);
  }
  json body = {{"document", text.value()}, {"file", file}, {"dry_run", options.dry_run}};
  if (options.expect_generation) {
    body["expect_generation"] = *options.expect_generation;
  }
  return PostChange(options, "/v1/configuration/apply", std::move(body));
}

int RollBack(const Options& options) {
  const auto& text = options.arguments[0];
  std::uint64_t generation = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, generation);
  if (error != std::errc() || rest != end || generation == 0) {
    return Fail(
        kUsageError,
        fmt::format("\"{}\" is not a generation number; see `pomelosparctl history`", text));
  }
  return PostChange(options, "/v1/configuration/rollback", {{"generation", generation}});
}

int ShowHistory(const Options& options) {
  const auto print = [](const json& response) {
    json rows = response.value("changes", json::array());
    for (auto& row : rows) {
      const auto seconds = row.value("time", std::int64_t{0});
      row["when"] = fmt::format("{:%Y-%m-%d %H:%M:%S}Z", fmt::gmtime(static_cast<time_t>(seconds)));
      row["sections"] = row.value("summary", json::array()).size();
    }
    fmt::print("{}", FormatTable({{"GENERATION", "generation"},
                                  {"WHEN", "when"},
                                  {"OPERATOR", "operator"},
                                  {"SECTIONS", "sections"},
                                  {"IDENTIFIER", "apply_identifier"},
                                  {"MESSAGE", "message"}},
                                 rows));
  };
  return Call(options, "GET", fmt::format("/v1/configuration/history?limit={}", options.limit),
              nullptr, print);
}

int HashKey(const Options&) {
  std::string key;
  std::getline(std::cin, key);
  if (!key.empty() && key.back() == '\r') {
    key.pop_back();
  }
  if (key.empty()) {
    return Fail(kUsageError, "no key; write `pomelosparctl hash-key < KEYFILE`");
  }
  fmt::print("{}\n", HexDigest(key));
  return kDone;
}

}  // namespace pomelospar::pomelosparctl
