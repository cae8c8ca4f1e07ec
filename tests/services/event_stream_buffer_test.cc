#include "services/pomelospard/event_stream_buffer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace pomelospar::daemon {
namespace {

std::string Event(int number, bool carriage_returns) {
  const std::string line_end = carriage_returns ? "\r\n" : "\n";
  return "data: {\"token\":" + std::to_string(number) + "}" + line_end + line_end;
}

// Wherever the network splits the bytes, the caller must receive only whole events and the count of
// events must be right; a wrong count makes a resumed stream repeat or lose a token.
RC_GTEST_PROP(EventStreamBufferProperty, PassesWholeEventsForAnyCuts, ()) {
  const auto carriage_returns = *rc::gen::arbitrary<bool>();
  const auto count = *rc::gen::inRange(0, 20);
  std::string stream;
  for (int number = 0; number < count; ++number) {
    stream += Event(number, carriage_returns);
  }
  const std::string half = "data: {\"tok";
  const std::string all = stream + half;
  EventStreamBuffer buffer;
  std::string passed;
  std::size_t position = 0;
  while (position < all.size()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 30);
    const auto piece = std::string_view(all).substr(position, size);
    passed += buffer.Append(piece);
    position += piece.size();
    RC_ASSERT(passed.empty() || passed.back() == '\n');
  }
  RC_ASSERT(passed == stream);
  RC_ASSERT(buffer.Rest() == half);
  RC_ASSERT(buffer.events() == static_cast<std::uint64_t>(count));
  RC_ASSERT(buffer.resumable());
}

// Guards against a buffer that grows without limit when an event never ends.
TEST(EventStreamBufferTest, PassesOversizedEventsAndGivesUpResuming) {
  EventStreamBuffer buffer;
  const std::string piece(64UL * 1024, 'x');
  std::size_t passed = 0;
  for (int round = 0; round < 100; ++round) {
    passed += buffer.Append(piece).size();
    ASSERT_LE(buffer.Rest().size(), EventStreamBuffer::kMaximumEventBytes);
  }
  EXPECT_GT(passed, 0U);
  EXPECT_FALSE(buffer.resumable());
}

}  // namespace
}  // namespace pomelospar::daemon
