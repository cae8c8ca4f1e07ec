#include "libraries/core/buffered_log.h"

#include <gmock/gmock.h>
#include <unistd.h>

#include <array>
#include <string>

namespace pomelospar::core {
namespace {

/// A pipe. `Read` returns what was written so far, up to 64 KiB.
class Pipe {
 public:
  Pipe() { EXPECT_EQ(pipe(this->ends.data()), 0); }
  ~Pipe() {
    close(this->ends[0]);
    close(this->ends[1]);
  }
  int output() const { return this->ends[1]; }
  std::string Read() {
    std::array<char, 65536> block{};
    const auto count = read(this->ends[0], block.data(), block.size());
    return {block.data(), count > 0 ? static_cast<std::size_t>(count) : 0};
  }

 private:
  std::array<int, 2> ends{};
};

TEST(BufferedLogTest, WritesJsonLines) {
  Pipe pipe;
  ManualClock clock;
  BufferedLog log(pipe.output(), clock.clock());
  log.Write(LogLevel::kInfo, "request",
            {{"request", "a\"1\n"}, {"ms", 1.5}, {"sends", std::uint64_t{2}}, {"late", false}});
  log.Flush();
  EXPECT_THAT(pipe.Read(),
              testing::HasSubstr(
                  R"("message":"request","request":"a\"1\n","ms":1.500,"sends":2,"late":false})"
                  "\n"));
}

// Guards against a flood of one message that fills the log and uses up processor time.
TEST(BufferedLogTest, BoundsTheLinesOfOneMessageAndCountsTheRest) {
  Pipe pipe;
  ManualClock clock;
  BufferedLog log(pipe.output(), clock.clock());
  for (int line = 0; line < 1000; ++line) log.Write(LogLevel::kInfo, "shed");
  log.Write(LogLevel::kInfo, "other");
  log.Flush();
  const auto text = pipe.Read();
  EXPECT_THAT(text, testing::HasSubstr(R"("message":"other")"));
  EXPECT_THAT(text, testing::HasSubstr(R"("message":"log_lines_left_out","count":900)"));
  clock.Advance(std::chrono::seconds(1));
  log.Write(LogLevel::kInfo, "shed");
  EXPECT_EQ(log.left_out(), 900U);
}

// Guards against a process that blocks because the reader of its log stops reading.
TEST(BufferedLogTest, DoesNotBlockOnAFullOutput) {
  Pipe pipe;
  ManualClock clock;
  BufferedLog log(pipe.output(), clock.clock());
  const std::string large(1000, 'x');
  for (int second = 0; second < 40; ++second) {
    for (int line = 0; line < 100; ++line) log.Write(LogLevel::kInfo, "line", {{"text", large}});
    log.Flush();
    clock.Advance(std::chrono::seconds(1));
  }
  EXPECT_GT(log.left_out(), 0U);
}

}  // namespace
}  // namespace pomelospar::core
