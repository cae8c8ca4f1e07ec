#include "libraries/configuration/daemon_settings.h"

#include <fmt/format.h>

#include <array>
#include <set>
#include <utility>

#include "libraries/configuration/table_reader.h"
#include "libraries/configuration/toml_document.h"
#include "libraries/configuration/units.h"

namespace pomelospar::configuration {
namespace {

using std::chrono::milliseconds;

// Shorter periods would overload the platform, which sustains about 2,000 reads a second.
constexpr milliseconds kMinimumPollPeriod = milliseconds(50);

void ReadTls(TableReader table, DaemonSettings& settings) {
  settings.certificate_file = table.String("certificate_file", Presence::kOptional);
  settings.private_key_file = table.String("private_key_file", Presence::kOptional);
  if (settings.certificate_file.empty() != settings.private_key_file.empty()) {
    const auto* missing =
        settings.certificate_file.empty() ? "certificate_file" : "private_key_file";
    table.Report(missing, "is missing", "TLS needs both files; set both or none");
  }
  table.Finish();
}

void ReadPoll(TableReader table, PollPeriods& poll) {
  poll.configuration = table.Duration("configuration", poll.configuration, kMinimumPollPeriod);
  poll.instances = table.Duration("instances", poll.instances, kMinimumPollPeriod);
  poll.load = table.Duration("load", poll.load, kMinimumPollPeriod);
  table.Finish();
}

void ReadFaults(TableReader table, DaemonSettings& settings) {
  settings.faults_enabled = table.Boolean("enabled", settings.faults_enabled);
  table.Finish();
}

void ReadSeeds(TableReader& root, DaemonSettings& settings) {
  settings.seeds = root.Strings("seeds", Presence::kOptional);
  for (std::size_t position = 0; position < settings.seeds.size(); ++position) {
    const auto& seed = settings.seeds[position];
    if (!seed.empty() && !IsAddress(seed, PortRule::kGiven)) {
      root.ReportItem("seeds", position, "", "is not an address",
                      R"(write "ip:port" with the control address of a router)");
    }
  }
}

void ReadLogLevel(TableReader& root, DaemonSettings& settings) {
  const auto name = root.String("log_level", Presence::kOptional);
  if (name.empty()) {
    return;
  }
  const auto level = core::ParseLogLevel(name);
  if (!level) {
    root.Report("log_level", "is unknown", "write \"debug\", \"info\", \"warning\" or \"error\"");
    return;
  }
  settings.log_level = level.value();
}

void ReadAddresses(TableReader& root, DaemonSettings& settings) {
  // The control address is part of the router's identity, so peers must be able to dial it.
  settings.control_address = root.Address("control_address", Presence::kRequired, PortRule::kGiven);
  settings.caller_address =
      root.Address("caller_address", Presence::kRequired, PortRule::kMayBeZero);
  settings.admin_address = root.Address("admin_address", Presence::kOptional, PortRule::kMayBeZero,
                                        settings.admin_address);
  settings.platform_address =
      root.Address("platform_address", Presence::kRequired, PortRule::kGiven);
  std::set<std::string> seen;
  for (const auto& [key, address] :
       {std::pair<const char*, std::string&>{"control_address", settings.control_address},
        {"caller_address", settings.caller_address},
        {"admin_address", settings.admin_address}}) {
    if (!address.empty() && !address.ends_with(":0") && !seen.insert(address).second) {
      root.Report(key, "is used by another listener of this file",
                  "give each listener its own port");
    }
  }
}

}  // namespace

std::variant<DaemonSettings, std::vector<Diagnostic>> ParseDaemonSettings(std::string_view document,
                                                                          const std::string& file) {
  DiagnosticList diagnostics(file);
  const auto document_root = ParseToml(document, file, diagnostics);
  if (!document_root) {
    return diagnostics.Take();
  }
  TableReader root(*document_root, "", diagnostics);
  DaemonSettings settings;
  ReadAddresses(root, settings);
  settings.failure_domain = root.String("failure_domain", Presence::kRequired);
  settings.region = root.String("region", Presence::kRequired);
  settings.fleet_key_file = root.String("fleet_key_file", Presence::kRequired);
  settings.previous_fleet_key_file = root.String("previous_fleet_key_file", Presence::kOptional);
  settings.admin_token_file = root.String("admin_token_file", Presence::kRequired);
  settings.shutdown_grace =
      root.Duration("shutdown_grace", settings.shutdown_grace, milliseconds(0));
  ReadLogLevel(root, settings);
  ReadSeeds(root, settings);
  ReadTls(root.Table("tls"), settings);
  ReadFaults(root.Table("faults"), settings);
  ReadPoll(root.Table("poll"), settings.poll);
  root.Finish();
  if (!diagnostics.empty()) {
    return diagnostics.Take();
  }
  return settings;
}

}  // namespace pomelospar::configuration
