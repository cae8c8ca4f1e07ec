#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_DAEMON_SETTINGS_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_DAEMON_SETTINGS_H_

#include <chrono>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/configuration/diagnostic.h"
#include "libraries/core/log.h"

namespace pomelospar::configuration {

/// How often the daemon polls; each poll adds jitter of its own.
struct PollPeriods {
  /// At the target 370 routers read `config/head` 185 times a second at this period.
  std::chrono::milliseconds configuration = std::chrono::seconds(2);
  /// A leaving upstream must receive no new work after 3 s.
  std::chrono::milliseconds instances = std::chrono::seconds(2);
  std::chrono::milliseconds load = std::chrono::seconds(1);
};

/// The settings of one daemon process, from its own TOML file. Files are named by path; their
/// content is read by the daemon, so that the settings hold no secret.
struct DaemonSettings {
  /// "ip:port" for messages between routers; also the address of the router's identity.
  std::string control_address;
  /// "ip:port" for callers.
  std::string caller_address;
  /// "ip:port" for operators; loopback unless set.
  std::string admin_address = "127.0.0.1:7403";
  std::string failure_domain;
  std::string region;
  /// Authenticates and verifies messages.
  std::string fleet_key_file;
  /// Only opens messages, during a key rotation; may be empty.
  std::string previous_fleet_key_file;
  std::string admin_token_file;
  /// "ip:port" of the platform's table and object stores.
  std::string platform_address;
  /// Both empty for plain HTTP on the caller port.
  std::string certificate_file;
  std::string private_key_file;
  core::LogLevel log_level = core::LogLevel::kInfo;
  /// Control addresses of routers to join by.
  std::vector<std::string> seeds;
  /// Longest time that a graceful shutdown waits for accepted requests.
  std::chrono::milliseconds shutdown_grace = std::chrono::minutes(10);
  /// Whether the admin port accepts fault injection; for tests only.
  bool faults_enabled = false;
  PollPeriods poll;
};

/// Parses and validates daemon settings; all errors in one pass.
std::variant<DaemonSettings, std::vector<Diagnostic>> ParseDaemonSettings(std::string_view document,
                                                                          const std::string& file);

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_DAEMON_SETTINGS_H_
