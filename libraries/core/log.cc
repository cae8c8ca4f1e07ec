#include "libraries/core/log.h"

#include <fmt/chrono.h>
#include <fmt/core.h>
#include <tbb/concurrent_queue.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace pomelospar::core {
namespace {

// A burst of this many lines is kept while standard error is blocked; at 300 bytes a line this
// costs at most 1.2 MB of the daemon's 32 MB.
constexpr std::ptrdiff_t kMaximumQueuedLines = 4096;

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

std::string Timestamp() {
  const auto now =
      std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
  const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                     (now - seconds).count());
}

}  // namespace

struct Log::State {
  LogLevel minimum_level = LogLevel::kInfo;
  std::atomic<std::uint64_t> dropped = 0;
  // An empty line asks the writer to stop.
  tbb::concurrent_bounded_queue<std::string> lines;
  std::thread writer;
};

Result<LogLevel> ParseLogLevel(std::string_view name) {
  for (const auto level :
       {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning, LogLevel::kError}) {
    if (LevelName(level) == name) {
      return level;
    }
  }
  return MakeError(
      ErrorKind::kInvalidArgument,
      fmt::format("unknown log level \"{}\"; use debug, info, warning or error", name));
}

std::string FormatLogLine(LogLevel level, std::string_view message,
                          std::initializer_list<LogField> fields) {
  nlohmann::ordered_json object;
  object["time"] = Timestamp();
  object["level"] = LevelName(level);
  object["message"] = message;
  for (const auto& field : fields) {
    std::visit([&](const auto& value) { object[std::string(field.key)] = value; }, field.value);
  }
  // Callers choose some field values, so bytes that are not UTF-8 are replaced instead of refused.
  return object.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

Log::Log(std::unique_ptr<State> state) : state(std::move(state)) {}

Result<std::unique_ptr<Log>> Log::Create(LogLevel minimum_level) {
  auto state = std::make_unique<State>();
  state->minimum_level = minimum_level;
  state->lines.set_capacity(kMaximumQueuedLines);
  state->writer = std::thread([&lines = state->lines] {
    std::string line;
    for (lines.pop(line); !line.empty(); lines.pop(line)) {
      fmt::print(stderr, "{}\n", line);
    }
  });
  return std::unique_ptr<Log>(new Log(std::move(state)));
}

Log::~Log() {
  this->state->lines.push(std::string());
  this->state->writer.join();
}

void Log::Write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields) {
  if (level < this->state->minimum_level) {
    return;
  }
  auto line = FormatLogLine(level, message, fields);
  if (!this->state->lines.try_push(std::move(line))) {
    this->state->dropped.fetch_add(1, std::memory_order_relaxed);
  }
}

std::uint64_t Log::dropped() const { return this->state->dropped.load(std::memory_order_relaxed); }

}  // namespace pomelospar::core
