#include "libraries/core/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <tbb/concurrent_queue.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace pomelospar::core {
namespace {

// While standard error is blocked, up to this many lines are queued. With 300 bytes per line, this
// takes at most 1.2 MB of the daemon's 32 MB.
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

/// Whether the text needs no escapes in JSON. Lines are formatted without a JSON object, because on
/// a small instance a JSON object for the line of each request costs more than relaying a short
/// response.
bool IsPlain(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char byte) {
    return byte >= ' ' && byte != '"' && byte != '\\' && byte != '\x7f';
  });
}

void AppendQuoted(fmt::memory_buffer& line, std::string_view text) {
  if (IsPlain(text)) {
    line.push_back('"');
    line.append(text);
    line.push_back('"');
    return;
  }
  // Callers choose some field values, so invalid UTF-8 is replaced instead of rejected.
  line.append(nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void AppendValue(fmt::memory_buffer& line, std::string_view value) { AppendQuoted(line, value); }

void AppendValue(fmt::memory_buffer& line, bool value) {
  line.append(value ? std::string_view("true") : std::string_view("false"));
}

void AppendValue(fmt::memory_buffer& line, double value) {
  // JSON cannot represent infinity and NaN.
  if (std::isfinite(value)) {
    fmt::format_to(std::back_inserter(line), "{:.3f}", value);
  } else {
    line.append(std::string_view("null"));
  }
}

template <typename Integer>
void AppendValue(fmt::memory_buffer& line, Integer value) {
  fmt::format_to(std::back_inserter(line), "{}", value);
}

}  // namespace

struct Log::State {
  LogLevel minimum_level = LogLevel::kInfo;
  std::atomic<std::uint64_t> dropped = 0;
  // The lines that the writer thread prints; an empty line stops it.
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
  fmt::memory_buffer line;
  const auto out = std::back_inserter(line);
  fmt::format_to(out, R"({{"time":"{}","level":"{}","message":)", Timestamp(), LevelName(level));
  AppendQuoted(line, message);
  for (const auto& field : fields) {
    line.push_back(',');
    AppendQuoted(line, field.key);
    line.push_back(':');
    std::visit([&](const auto& value) { AppendValue(line, value); }, field.value);
  }
  line.push_back('}');
  return fmt::to_string(line);
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
