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

/// Writes one JSON object a line to a file descriptor without a thread and without blocking, for
/// instances whose processor time is scarce. Lines are collected and written together by `Flush`.
/// Beyond a rate for each message, and beyond the buffer, lines are left out and counted; the count
/// follows in a line of its own. API keys and bodies must never be passed as fields.
class BufferedLog {
 public:
  BufferedLog(int descriptor, Clock clock);

  void Write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});
  /// Writes what the descriptor takes at once. Call several times a second and before the end.
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
