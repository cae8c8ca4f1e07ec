#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <sstream>
#include <string>

#include "utilities/pomelosparctl/commands.h"

DEFINE_string(server, "", "admin addresses \"ip:port\" of routers, separated by commas");
DEFINE_string(token_file, "", "file with the admin token");
DEFINE_string(settings, "", "daemon settings file, for validate or for the server and token");
DEFINE_int64(expect_generation, -1, "apply: refuse unless this generation is current");
DEFINE_string(operator_name, "", "apply, rollback: name in the history; default: $USER");
DEFINE_string(message, "", "apply, rollback: reason for the history");
DEFINE_string(apply_identifier, "", "apply, rollback: repeat an attempt with unknown outcome");
DEFINE_bool(dry_run, false, "apply: show the changes only");
DEFINE_bool(json, false, "print JSON");
DEFINE_uint32(limit, 20, "history: number of generations, 1 to 100");
DEFINE_uint32(timeout, 20, "seconds to wait for each router");
DECLARE_bool(help);
DECLARE_bool(helpshort);

namespace {

namespace tool = pomelospar::pomelosparctl;

constexpr std::uint32_t kMaximumHistory = 100;

std::string Usage() {
  std::string text = "pomelosparctl COMMAND [ARGUMENT] [FLAGS]\n\ncommands:\n";
  for (const auto& command : tool::Commands()) {
    const auto call = fmt::format("{} {}", command.name, command.arguments);
    text += fmt::format("  {:<38} {}\n", call, command.help);
  }
  return text +
         "\nexit codes: 0 done, 1 usage error, 2 invalid file, 3 conflict, 4 not done, "
         "5 outcome unknown; see docs/admin_api.md";
}

tool::Options ReadOptions(int argument_count, char** arguments) {
  tool::Options options;
  options.arguments.assign(arguments + 2, arguments + argument_count);
  std::istringstream servers(FLAGS_server);
  for (std::string server; std::getline(servers, server, ',');) {
    options.servers.push_back(server);
  }
  options.token_file = FLAGS_token_file;
  options.settings_file = FLAGS_settings;
  if (FLAGS_expect_generation >= 0) {
    options.expect_generation = static_cast<std::uint64_t>(FLAGS_expect_generation);
  }
  const char* user = std::getenv("USER");
  options.operator_name = !FLAGS_operator_name.empty() ? FLAGS_operator_name
                          : user != nullptr            ? user
                                                       : "unknown";
  options.message = FLAGS_message;
  options.apply_identifier = FLAGS_apply_identifier;
  options.dry_run = FLAGS_dry_run;
  options.json = FLAGS_json;
  options.limit = FLAGS_limit;
  options.timeout_seconds = FLAGS_timeout;
  return options;
}

int Run(int argument_count, char** arguments) {
  if (argument_count < 2) {
    return tool::Fail(tool::kUsageError, "no command; see `pomelosparctl --help`");
  }
  if (FLAGS_limit == 0 || FLAGS_limit > kMaximumHistory) {
    return tool::Fail(tool::kUsageError, "--limit must be from 1 to 100");
  }
  // A negative value must not be taken as an unset flag, or the apply would run without its check.
  if (FLAGS_expect_generation < 0 &&
      !gflags::GetCommandLineFlagInfoOrDie("expect_generation").is_default) {
    return tool::Fail(tool::kUsageError,
                      "--expect-generation must be 0 or more; see `pomelosparctl history`");
  }
  const std::string name = arguments[1];
  const auto given = static_cast<std::size_t>(argument_count - 2);
  for (const auto& command : tool::Commands()) {
    if (command.name != name) {
      continue;
    }
    if (given < command.minimum_arguments || given > command.maximum_arguments) {
      return tool::Fail(tool::kUsageError, fmt::format("write `pomelosparctl {} {}`", command.name,
                                                       command.arguments));
    }
    return command.run(ReadOptions(argument_count, arguments));
  }
  return tool::Fail(tool::kUsageError,
                    fmt::format("unknown command \"{}\"; see `pomelosparctl --help`", name));
}

}  // namespace

int main(int argument_count, char** arguments) {
  gflags::SetUsageMessage(Usage());
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineNonHelpFlags(&argument_count, &arguments, true);
  if (FLAGS_help || FLAGS_helpshort) {
    gflags::ShowUsageWithFlagsRestrict(arguments[0], "pomelosparctl/main.cc");
    return tool::kDone;
  }
  gflags::HandleCommandLineHelpFlags();
  try {
    return Run(argument_count, arguments);
  } catch (const std::exception& error) {
    return tool::Fail(tool::kNotDone, error.what());
  }
}
