#include <fmt/core.h>
#include <gflags/gflags.h>
#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "libraries/core/text_file.h"
#include "platform/settings.h"
#include "services/pomelospar_edge/edge.h"

DEFINE_string(settings, "", "path of the settings file; by default the platform names it");
DEFINE_bool(check, false, "check the settings file and exit: 0 if it is valid, 2 if not");

namespace {

// Exit codes; docs/OPERATIONS.md lists them too.
constexpr int kFailed = 1;
constexpr int kUsage = 2;
// Free heap that is kept, and the step by which the heap grows: 10% and 1% of the memory of the
// smallest instance (160 MB).
constexpr int kKeptHeapBytes = 16 << 20;
constexpr int kHeapStepBytes = 1 << 20;

int Fail(int code, std::string_view message) {
  fmt::print(stderr, "pomelospar_edge: {}\n", message);
  return code;
}

std::string SettingsPath() {
  if (!FLAGS_settings.empty()) return FLAGS_settings;
  const char* named = std::getenv(pomelospar::adapter::kSettingsVariable);
  return named != nullptr ? named : pomelospar::adapter::kDefaultSettingsPath;
}

}  // namespace

int main(int argc, char** argv) {
  using pomelospar::adapter::DecodeSettings;
  gflags::SetUsageMessage("[--settings=FILE] [--check]\n  Runs one router on the platform.");
  gflags::SetVersionString("0.2.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc > 1) return Fail(kUsage, "takes no arguments besides its flags; see --help");
  const auto path = SettingsPath();
  auto document = pomelospar::core::ReadTextFile(path);
  if (!document) return Fail(kUsage, fmt::format("cannot read the settings file {}", path));
  auto settings = DecodeSettings(document.value());
  if (!settings) return Fail(kUsage, settings.error().message);
  if (FLAGS_check) return 0;
  std::signal(SIGPIPE, SIG_IGN);
  // Freed memory is kept for the next request instead of being returned by a system call.
  mallopt(M_TRIM_THRESHOLD, kKeptHeapBytes);
  mallopt(M_TOP_PAD, kHeapStepBytes);
  auto edge = pomelospar::edge::Edge::Create(path, std::move(document.value()),
                                             std::move(settings.value()));
  if (!edge) return Fail(kFailed, edge.error().message);
  edge.value()->Run();
  // Exits without running destructors: requests that were cut off at the end of the grace time are
  // not unwound.
  std::fflush(stdout);
  std::_Exit(0);
}
