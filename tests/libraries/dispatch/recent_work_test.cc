#include "libraries/dispatch/recent_work.h"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;

TEST(RecentWorkTest, HasNoValuesBeforeTheFirstPrompt) {
  const RecentWork recent;
  EXPECT_EQ(recent.LimitingObjective(), core::Duration::zero());
  EXPECT_EQ(recent.TypicalPrefillMs(), 0.0);
}

// Most requests are short and have the tightest objective, but large prompts cause most of the
// work. If the short ones limited the queues, the engines would be idle between two large prompts.
TEST(RecentWorkTest, ShortPromptsDoNotLimitTheQueuesOfLargeOnes) {
  RecentWork recent;
  for (int round = 0; round < 50; ++round) {
    recent.AddPrompt(milliseconds(800), 100.0);
    for (int prompt = 0; prompt < 2; ++prompt) recent.AddPrompt(milliseconds(500), 10.0);
  }
  EXPECT_EQ(recent.LimitingObjective(), milliseconds(800));
}

// A route with a wide objective must not let the queues grow beyond what the others can bear, even
// if it causes most of the work.
TEST(RecentWorkTest, AWideObjectiveDoesNotLengthenTheQueuesOfTighterOnes) {
  RecentWork recent;
  for (int round = 0; round < 50; ++round) {
    recent.AddPrompt(milliseconds(600), 40.0);
    recent.AddPrompt(milliseconds(1200), 100.0);
  }
  EXPECT_EQ(recent.LimitingObjective(), milliseconds(600));
}

// The limit follows a change of the load, and an objective of an earlier configuration does not
// stay.
TEST(RecentWorkTest, FollowsAChangeOfTheLoad) {
  RecentWork recent;
  for (int prompt = 0; prompt < 1000; ++prompt) recent.AddPrompt(milliseconds(300), 100.0);
  for (int prompt = 0; prompt < 300; ++prompt) recent.AddPrompt(milliseconds(900), 100.0);
  EXPECT_EQ(recent.LimitingObjective(), milliseconds(900));
}

// The tightest objective limits the queues as soon as it has more than a fifth of the work, and the
// limiting objective is always one of a recorded prompt.
RC_GTEST_PROP(RecentWorkTest, AtMostAFifthOfTheWorkHasATighterObjective, ()) {
  const auto prompts = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(1, 5), rc::gen::inRange(1, 500))));
  RecentWork recent;
  std::map<core::Duration, double> work;
  for (const auto& [objective, prefill_ms] : prompts) {
    recent.AddPrompt(milliseconds(100 * objective), prefill_ms);
    for (auto& [other, sum] : work) sum *= 0.99;
    work[milliseconds(100 * objective)] += prefill_ms;
  }
  const auto limiting = recent.LimitingObjective();
  RC_ASSERT(work.contains(limiting));
  double total = 0.0;
  double tighter = 0.0;
  for (const auto& [objective, sum] : work) {
    total += sum;
    if (objective < limiting) tighter += sum;
  }
  RC_ASSERT(tighter <= 0.2 * total * (1.0 + 1e-9));
  RC_ASSERT(tighter + work[limiting] > 0.2 * total * (1.0 - 1e-9));
}

}  // namespace
}  // namespace pomelospar::dispatch
