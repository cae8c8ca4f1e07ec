#include "libraries/core/buffered_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace pomelospar::core {
namespace {

// With 300 bytes per line, this holds the lines of a few seconds at the highest rate and takes 1%
// of the memory of the smallest instance (160 MB).
constexpr std::size_t kBufferBytes = 1U << 20U;
// Limit for each message. Formatting a line takes about 5 microseconds, so a flood of one message
// takes at most 0.05% of a core.
constexpr unsigned kLinesPerSecond = 100;

}  // namespace

BufferedLog::BufferedLog(int output, Clock source) : descriptor(output), clock(std::move(source)) {
  const int flags = fcntl(this->descriptor, F_GETFL);
  if (flags >= 0) fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool BufferedLog::TakeLine(std::string_view message) {
  const auto now = this->clock.now().time_since_epoch() / std::chrono::seconds(1);
  if (now != this->second) {
    this->second = now;
    this->lines_in_second.clear();
  }
  const bool taken = ++this->lines_in_second[std::string(message)] <= kLinesPerSecond &&
                     this->buffer.size() < kBufferBytes;
  if (!taken) ++this->left_out_total;
  return taken;
}

void BufferedLog::Write(LogLevel level, std::string_view message,
                        std::initializer_list<LogField> fields) {
  if (!this->TakeLine(message)) return;
  this->buffer += FormatLogLine(level, message, fields);
  this->buffer += '\n';
}

void BufferedLog::Flush() {
  if (this->left_out_total != this->left_out_reported && this->buffer.size() < kBufferBytes) {
    this->buffer += FormatLogLine(LogLevel::kWarning, "log_lines_left_out",
                                  {{"count", this->left_out_total - this->left_out_reported}});
    this->buffer += '\n';
    this->left_out_reported = this->left_out_total;
  }
  if (this->buffer.empty()) return;
  const auto written = write(this->descriptor, this->buffer.data(), this->buffer.size());
  if (written > 0) this->buffer.erase(0, static_cast<std::size_t>(written));
}

}  // namespace pomelospar::core
