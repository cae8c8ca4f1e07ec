#ifndef POMELOSPAR_LIBRARIES_CORE_LOG_H_
#define POMELOSPAR_LIBRARIES_CORE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "libraries/core/result.h"

namespace pomelospar::core {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

Result<LogLevel> ParseLogLevel(std::string_view name);

struct LogField {
  std::string_view key;
  std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool> value;
};

/// Formats one JSON object without a line end. Invalid UTF-8 is replaced.
std::string FormatLogLine(LogLevel level, std::string_view message,
                          std::initializer_list<LogField> fields);

/// Writes one JSON object per line to standard error from a separate thread, so that a slow reader
/// of standard error cannot block the I/O thread. Lines beyond the queue limit are dropped and
/// counted. API keys and bodies must never be passed as fields.
class Log {
 public:
  static Result<std::unique_ptr<Log>> Create(LogLevel minimum_level);

  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;
  /// Writes all queued lines before it returns.
  ~Log();

  void Write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});
  std::uint64_t dropped() const;

 private:
  struct State;
  explicit Log(std::unique_ptr<State> state);

  std::unique_ptr<State> state;
};

}  // namespace pomelospar::core

#endif  // POMELOSPAR_LIBRARIES_CORE_LOG_H_
