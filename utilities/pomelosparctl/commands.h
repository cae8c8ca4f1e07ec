#ifndef POMELOSPAR_UTILITIES_POMELOSPARCTL_COMMANDS_H_
#define POMELOSPAR_UTILITIES_POMELOSPARCTL_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/core/result.h"
#include "utilities/pomelosparctl/admin_client.h"

namespace pomelospar::pomelosparctl {

/// Exit codes; see docs/admin_api.md.
inline constexpr int kDone = 0;
inline constexpr int kUsageError = 1;
inline constexpr int kInvalid = 2;
inline constexpr int kConflict = 3;
inline constexpr int kNotDone = 4;
inline constexpr int kOutcomeUnknown = 5;

/// The arguments and flags of one invocation.
struct Options {
  std::vector<std::string> arguments;
  std::vector<std::string> servers;
  std::string token_file;
  /// Daemon settings file. `validate` checks it; other commands take the server and the token file
  /// from it if the flags do not name them.
  std::string settings_file;
  std::optional<std::uint64_t> expect_generation;
  std::string operator_name;
  std::string message;
  /// Identifier of an earlier apply or rollback to repeat; if empty, a new one is generated.
  std::string apply_identifier;
  bool dry_run = false;
  bool json = false;
  std::uint32_t limit = 20;
  std::uint32_t timeout_seconds = 20;
};

struct Command {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  std::size_t minimum_arguments = 0;
  std::size_t maximum_arguments = 0;
  /// Returns the exit code.
  int (*run)(const Options& options);
};

const std::vector<Command>& Commands();

/// Prints `message` to standard error and returns `exit_code`.
int Fail(int exit_code, std::string_view message);

core::Result<std::string> ReadFile(const std::string& name);

/// Makes a client from the flags and the settings file. Errors: `kInvalidArgument` if the settings
/// are invalid or no server or token file is named, `kNotFound` if a file cannot be read.
core::Result<AdminClient> MakeClient(const Options& options);

/// Sends a request, prints the response with `print`, or as JSON if `--json` is set, and returns
/// the exit code.
int Call(const Options& options, const std::string& method, const std::string& target,
         const nlohmann::json& body, void (*print)(const nlohmann::json& response));

/// The same with a client of its own.
int CallWith(const Options& options, const AdminClient& client, const std::string& method,
             const std::string& target, const nlohmann::json& body,
             void (*print)(const nlohmann::json& response));

/// Prints a response whose status is not 200 and returns the exit code.
int ReportFailure(const Options& options, const AdminResponse& response);

// Commands on files and on the configuration (configuration_commands.cc).
int Validate(const Options& options);
int DiffFiles(const Options& options);
int ApplyFile(const Options& options);
int ShowHistory(const Options& options);
int RollBack(const Options& options);
int HashKey(const Options& options);

// Where a router would send a request (place_command.cc).
int Place(const Options& options);

}  // namespace pomelospar::pomelosparctl

#endif  // POMELOSPAR_UTILITIES_POMELOSPARCTL_COMMANDS_H_
