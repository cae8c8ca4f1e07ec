#include "libraries/notices/notice_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "libraries/core/clock.h"

namespace pomelospar::notices {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kNoLimit = 1UL << 20U;

core::TimePoint Start() { return core::TimePoint(std::chrono::hours(1)); }

Fact Leaving(const std::string& address, const std::string& incarnation) {
  return {wire::NOTICE_RUNNER_LEAVING, address, incarnation};
}

wire::NoticeBatch BatchOf(const std::vector<wire::Notice>& notices) {
  wire::NoticeBatch batch;
  for (const auto& notice : notices) {
    *batch.add_notices() = notice;
  }
  return batch;
}

// Returns the stored notices without their lifetimes, which differ by transit times.
std::vector<std::string> StateOf(NoticeTable* table, core::TimePoint now) {
  std::vector<std::string> state;
  for (const auto& batch : table->All(kNoLimit, now)) {
    for (wire::Notice notice : batch.notices()) {
      notice.set_remaining_seconds(0);
      state.push_back(notice.SerializeAsString());
    }
  }
  return state;
}

rc::Gen<wire::Notice> AnyNotice() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(1, 4),
                     rc::gen::inRange(1, 4), rc::gen::inRange(1, 100), rc::gen::arbitrary<bool>()),
      [](const auto& drawn) {
        wire::Notice notice;
        notice.set_kind(static_cast<wire::NoticeKind>(std::get<0>(drawn)));
        notice.set_subject("runner" + std::to_string(std::get<1>(drawn)));
        notice.set_version(static_cast<std::uint64_t>(std::get<2>(drawn)));
        notice.set_origin(static_cast<std::uint64_t>(std::get<3>(drawn)));
        notice.set_remaining_seconds(static_cast<std::uint32_t>(std::get<4>(drawn)));
        // An origin publishes only one content for each version.
        notice.set_withdrawn((std::get<2>(drawn) + std::get<3>(drawn)) % 3 == 0);
        return notice;
      });
}

// Guards against routers that end up with different facts because notices arrived in another order,
// twice, or through another router.
RC_GTEST_PROP(NoticeTableProperty, MergeIsCommutativeAndIdempotent, ()) {
  const auto notices = *rc::gen::container<std::vector<wire::Notice>>(AnyNotice());
  auto shuffled = notices;
  shuffled.insert(shuffled.end(), notices.begin(), notices.end());
  std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(*rc::gen::arbitrary<int>()));
  NoticeTable in_order({});
  NoticeTable one_by_one({});
  NoticeTable relayed({});
  in_order.Merge(BatchOf(notices), Start());
  for (const auto& notice : shuffled) {
    one_by_one.Merge(BatchOf({notice}), Start());
  }
  for (const auto& batch : one_by_one.All(100, Start())) {
    relayed.Merge(batch, Start());
  }
  RC_ASSERT(StateOf(&in_order, Start()) == StateOf(&one_by_one, Start()));
  RC_ASSERT(StateOf(&in_order, Start()) == StateOf(&relayed, Start()));
  RC_ASSERT(in_order.Digest(Start()) == relayed.Digest(Start()));
  RC_ASSERT(in_order.Merge(BatchOf(shuffled), Start()).empty());
}

// Guards against a digest that hides a difference between two routers, and against one that depends
// on the remaining lifetimes, which would make routers exchange notices without end.
RC_GTEST_PROP(NoticeTableProperty, DigestIsEqualIfAndOnlyIfTheNoticesAre, ()) {
  const auto one = *rc::gen::container<std::vector<wire::Notice>>(AnyNotice());
  auto other = one;
  for (auto& notice : other) {
    notice.set_remaining_seconds(notice.remaining_seconds() + 100);
  }
  if (*rc::gen::arbitrary<bool>()) {
    other.push_back(*AnyNotice());
  }
  NoticeTable left({});
  NoticeTable right({});
  left.Merge(BatchOf(one), Start());
  right.Merge(BatchOf(other), Start());
  RC_ASSERT((left.Digest(Start()) == right.Digest(Start())) ==
            (StateOf(&left, Start()) == StateOf(&right, Start())));
}

// Guards against a notice that never expires because two routers send it back and forth.
TEST(NoticeTableTest, CopiesExpireEverywhere) {
  NoticeTable left({.origin = 1});
  NoticeTable right({.origin = 2});
  core::TimePoint now = Start();
  ASSERT_TRUE(left.Publish(Leaving("a", "1"), seconds(10), now).value().has_value());
  for (int step = 0; step < 200; ++step) {
    for (const auto& batch : right.All(kNoLimit, now + milliseconds(30))) {
      left.Merge(batch, now + milliseconds(60));
    }
    for (const auto& batch : left.All(kNoLimit, now + milliseconds(60))) {
      right.Merge(batch, now + milliseconds(140));
    }
    now += milliseconds(200);
    if (now - Start() > seconds(12)) {
      ASSERT_TRUE(left.IsRunnerUsable("a", "1", now));
      ASSERT_TRUE(right.IsRunnerUsable("a", "1", now));
    }
  }
  EXPECT_EQ(left.size() + right.size(), 0U);
}

// Guards against work sent to a runner that is leaving, and against a new runner that gets no work
// because an earlier incarnation at its address left.
TEST(NoticeTableTest, NoticeAboutOneIncarnationDoesNotConcernTheNext) {
  NoticeTable table({.origin = 1});
  ASSERT_TRUE(table.Publish(Leaving("a", "1"), minutes(10), Start()).has_value());
  EXPECT_EQ(table.UnusableReason("a", "1", Start()), wire::NOTICE_RUNNER_LEAVING);
  EXPECT_EQ(table.UnusableReason("a", "", Start()), wire::NOTICE_RUNNER_LEAVING);
  EXPECT_TRUE(table.IsRunnerUsable("a", "2", Start()));
  EXPECT_TRUE(table.IsRunnerUsable("aa", "1", Start()));
  EXPECT_TRUE(table.IsRunnerUsable("a", "1", Start() + minutes(10)));
  ASSERT_TRUE(table.Publish({wire::NOTICE_RUNNER_DRAINED, "a", ""}, minutes(10), Start()));
  EXPECT_EQ(table.UnusableReason("a", "2", Start()), wire::NOTICE_RUNNER_DRAINED);
}

// Guards against a withdrawn fact that an old copy restores, and against a new fact that other
// routers ignore because they still hold a version that has expired at the publisher.
TEST(NoticeTableTest, WithdrawalWinsAndNewFactWinsAgain) {
  NoticeTable publisher({.origin = 1});
  NoticeTable other({.origin = 9});
  const Fact drained{wire::NOTICE_RUNNER_DRAINED, "a", ""};
  const auto published = publisher.Publish(drained, minutes(10), Start()).value();
  other.Merge(BatchOf({*published}), Start());
  const auto withdrawn = other.Withdraw(drained, minutes(1), Start());
  ASSERT_TRUE(withdrawn.has_value());
  EXPECT_FALSE(other.Withdraw(drained, minutes(1), Start()).has_value());
  other.Merge(BatchOf({*published}), Start());
  EXPECT_TRUE(other.IsRunnerUsable("a", "", Start()));
  publisher.Merge(BatchOf({*withdrawn}), Start());
  EXPECT_TRUE(publisher.IsRunnerUsable("a", "", Start()));

  const core::TimePoint later = Start() + minutes(11);
  EXPECT_EQ(publisher.Digest(later), 0U);
  const auto again = publisher.Publish(drained, minutes(10), later).value();
  EXPECT_EQ(other.Merge(BatchOf({*again}), Start()).size(), 1U);
  EXPECT_FALSE(other.IsRunnerUsable("a", "", Start()));
}

// Guards against needless control traffic when the same fact is observed repeatedly.
TEST(NoticeTableTest, PublishesAgainOnlyWhenHalfOfTheLifetimeHasPassed) {
  NoticeTable table({.origin = 1});
  const Fact quarantine{wire::NOTICE_QUARANTINE, "fingerprint", "", 2};
  EXPECT_TRUE(table.Publish(quarantine, minutes(10), Start()).value().has_value());
  EXPECT_FALSE(table.Publish(quarantine, minutes(10), Start() + minutes(4)).value().has_value());
  EXPECT_EQ(table.QuarantineOf("fingerprint", Start() + minutes(4)), minutes(6));
  EXPECT_TRUE(table.Publish(quarantine, minutes(10), Start() + minutes(6)).value().has_value());
  EXPECT_EQ(table.QuarantineOf("fingerprint", Start() + minutes(6)), minutes(10));
  EXPECT_FALSE(table.QuarantineOf("fingerprint", Start() + minutes(16)).has_value());
}

// Guards against a flood of quarantines that exhausts memory or evicts facts that expire later.
TEST(NoticeTableTest, FullTableKeepsTheNoticesThatLastLongest) {
  NoticeTable table({.origin = 1, .maximum_notices = 3});
  for (int minute = 1; minute <= 5; ++minute) {
    const Fact fact{wire::NOTICE_QUARANTINE, std::to_string(minute), ""};
    ASSERT_TRUE(table.Publish(fact, minutes(minute), Start()).has_value());
  }
  const Fact brief{wire::NOTICE_QUARANTINE, "brief", ""};
  const auto refused = table.Publish(brief, seconds(1), Start());
  EXPECT_TRUE(core::Is(refused.error(), core::ErrorKind::kExhausted));
  EXPECT_EQ(table.size(), 3U);
  EXPECT_EQ(table.evicted(), 2U);
  EXPECT_EQ(table.refused(), 1U);
  EXPECT_FALSE(table.QuarantineOf("2", Start()).has_value());
  EXPECT_TRUE(table.QuarantineOf("3", Start()).has_value());
}

// Guards against a batch of notices that exceeds the size limit of a datagram.
TEST(NoticeTableTest, BatchesAreBounded) {
  NoticeTable table({.origin = 1});
  for (int runner = 0; runner < 500; ++runner) {
    ASSERT_TRUE(
        table.Publish(Leaving("runner" + std::to_string(runner), "i"), minutes(9), Start()));
  }
  int total = 0;
  for (const auto& batch : table.All(2000, Start())) {
    EXPECT_LE(batch.ByteSizeLong(), 2000U);
    total += batch.notices_size();
  }
  EXPECT_EQ(total, 500);
}

// Guards against a notice of a faulty peer whose version no later notice can exceed, and against a
// subject that makes receivers reject the whole datagram because it is not UTF-8.
TEST(NoticeTableTest, RefusesMalformedNotices) {
  NoticeTable table({.origin = 1});
  wire::Notice endless;
  endless.set_subject("a");
  endless.set_version(~0ULL);
  endless.set_remaining_seconds(10);
  wire::Notice nameless;
  nameless.set_version(1);
  nameless.set_remaining_seconds(10);
  EXPECT_TRUE(table.Merge(BatchOf({endless, nameless}), Start()).empty());
  EXPECT_EQ(table.refused(), 2U);
  const auto binary = table.Publish({wire::NOTICE_QUARANTINE, "\xff", ""}, minutes(1), Start());
  EXPECT_TRUE(core::Is(binary.error(), core::ErrorKind::kInvalidArgument));
}

}  // namespace
}  // namespace pomelospar::notices
