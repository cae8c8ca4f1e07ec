#ifndef POMELOSPAR_LIBRARIES_CORE_BUFFERED_LOG_H_
#define POMELOSPAR_LIBRARIES_CORE_BUFFERED_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "libraries/core/clock.h"
#include "libraries/core/log.h"

namespace pomelospar::core {

/// Writes one JSON object per line to a file descriptor without a thread and without blocking, for
/// instances with little processor time. Lines are collected and written together by `Flush`.
/// Lines beyond a rate limit per message, and lines that arrive while the buffer is full, are left
/// out and counted; `Flush` reports the count in a separate line. API keys and bodies must never be
/// passed as fields.
class BufferedLog {
 public:
  BufferedLog(int descriptor, Clock clock);

  void Write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});
  /// Writes as much as the descriptor accepts without blocking. Call it several times a second and
  /// before the process ends.
  void Flush();
  std::uint64_t left_out() const { return this->left_out_total; }

 private:
  bool TakeLine(std::string_view message);

  int descriptor;
  Clock clock;
  std::string buffer;
  std::int64_t second = 0;
  std::unordered_map<std::string, unsigned> lines_in_second;
  std::uint64_t left_out_total = 0;
  std::uint64_t left_out_reported = 0;
};

}  // namespace pomelospar::core

#endif  // POMELOSPAR_LIBRARIES_CORE_BUFFERED_LOG_H_
