#include "services/pomelospard/outbox.h"

#include <gtest/gtest.h>

namespace pomelospar::daemon {
namespace {

// Guards against sending each message in a datagram of its own: at the target load the headers
// alone would exceed 3 KB/s.
TEST(OutboxTest, BatchesByReceiverAndAsksForOneFlush) {
  int flushes = 0;
  Outbox outbox([&] { ++flushes; });
  const core::RouterIdentity first = {"127.0.0.1:1", 1};
  const core::RouterIdentity second = {"127.0.0.1:2", 2};
  outbox.Add(first, wire::Grant(), &wire::Message::mutable_grant);
  outbox.Add(first, wire::Release(), &wire::Message::mutable_release);
  outbox.Add(second, wire::NoticeRequest(), &wire::Message::mutable_notice_request);
  EXPECT_EQ(flushes, 1);
  const auto batches = outbox.Take();
  ASSERT_EQ(batches.size(), 2U);
  EXPECT_EQ(batches[0].messages.size(), 2U);
  EXPECT_TRUE(batches[0].messages[1].has_release());
  EXPECT_TRUE(outbox.Take().empty());
  outbox.Add(second, wire::NoticeRequest(), &wire::Message::mutable_notice_request);
  EXPECT_EQ(flushes, 2);
}

}  // namespace
}  // namespace pomelospar::daemon
