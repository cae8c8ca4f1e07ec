#include <fmt/core.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <variant>

#include "libraries/configuration/daemon_settings.h"
#include "libraries/core/text_file.h"
#include "services/pomelospard/daemon.h"

DEFINE_string(settings, "", "path of the daemon's settings file (TOML)");
DEFINE_bool(check, false, "check the settings file and exit: 0 if it is valid, 2 if not");

namespace {

// Exit codes, also in docs/operating.md.
constexpr int kFailed = 1;
constexpr int kUsage = 2;

int Fail(int code, std::string_view message) {
  fmt::print(stderr, "pomelospard: {}\n", message);
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  using pomelospar::configuration::DaemonSettings;
  gflags::SetUsageMessage("--settings=FILE [--check]\n  Runs one router of the fleet.");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty() || argc > 1) {
    return Fail(kUsage, "give the settings file as --settings=FILE and no other arguments");
  }
  const auto document = pomelospar::core::ReadTextFile(FLAGS_settings);
  if (!document) {
    return Fail(kUsage, document.error().message);
  }
  auto parsed = pomelospar::configuration::ParseDaemonSettings(document.value(), FLAGS_settings);
  if (const auto* errors =
          std::get_if<std::vector<pomelospar::configuration::Diagnostic>>(&parsed)) {
    for (const auto& diagnostic : *errors) {
      fmt::print(stderr, "{}\n", pomelospar::configuration::FormatDiagnostic(diagnostic));
    }
    return kUsage;
  }
  if (FLAGS_check) {
    return 0;
  }
  auto daemon = pomelospar::daemon::Daemon::Create(std::move(std::get<DaemonSettings>(parsed)));
  if (!daemon) {
    return Fail(kFailed, daemon.error().message);
  }
  daemon.value()->Run();
  return 0;
}
