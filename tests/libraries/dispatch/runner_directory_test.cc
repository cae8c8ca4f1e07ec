#include "libraries/dispatch/runner_directory.h"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

namespace pomelospar::dispatch {
namespace {

using core::Duration;
using std::chrono::milliseconds;

RunnerChange Entry(int id, unsigned slots) {
  const auto name = std::to_string(id);
  return {.id = name, .record = RunnerRecord{.id = name, .upstream = "pool", .slots = slots}};
}

DirectoryChange Step(RunnerDirectory& directory, std::vector<RunnerChange> entries) {
  DirectoryChange step;
  step.before = directory.state();
  for (const auto& entry : entries) directory.Apply(entry);
  step.after = directory.state();
  step.entries = std::move(entries);
  return step;
}

// Whichever reports a router has lost, its directory must not deviate from the store: each change
// that it applies leads to a content that the polling router had.
RC_GTEST_PROP(RunnerDirectoryTest, StepsLeadOnlyToContentsOfTheStore, ()) {
  RunnerDirectory asking;
  RunnerDirectory following;
  std::set<std::uint64_t> contents = {asking.state()};
  for (int change = 0; change < 30; ++change) {
    const int id = *rc::gen::inRange(0, 6);
    auto entry = Entry(id, *rc::gen::inRange(1U, 4U));
    if (*rc::gen::arbitrary<bool>()) entry.record.reset();
    const auto step = Step(asking, {entry});
    contents.insert(asking.state());
    const bool arrives = *rc::gen::inRange(0, 4) > 0;
    if (!arrives || !following.CanApply(step)) continue;
    for (const auto& taken : step.entries) following.Apply(taken);
    RC_ASSERT(contents.contains(following.state()));
  }
}

// A router must not apply a change that starts from another content than its own, or one that was
// altered on the way.
TEST(RunnerDirectoryTest, RefusesStepsThatDoNotFit) {
  RunnerDirectory asking;
  RunnerDirectory following;
  auto step = Step(asking, {Entry(1, 8), Entry(2, 8)});
  EXPECT_TRUE(following.CanApply(step));
  step.entries[1].record->slots = 9;
  EXPECT_FALSE(following.CanApply(step));
  following.Apply(Entry(3, 8));
  step.entries[1].record->slots = 8;
  EXPECT_FALSE(following.CanApply(step));
}

// Entries may be removed while the change history of the store is dropped. A full read must reveal
// them.
TEST(RunnerDirectoryTest, NamesWhatAWholeReadNoLongerHolds) {
  RunnerDirectory directory;
  directory.Apply(Entry(1, 8));
  directory.Apply(Entry(2, 8));
  EXPECT_THAT(directory.MissingFrom({"2", "3"}), testing::ElementsAre("1"));
}

// During a release many entries change. A router that lost a report must find the changes in the
// next ones, and the datagrams must stay small.
TEST(DirectoryChangeLogTest, TellsRecentStepsWithinTheLimit) {
  core::ManualClock clock;
  RunnerDirectory asking;
  DirectoryChangeLog changes;
  changes.Record(clock.now(), Step(asking, {Entry(1, 8)}));
  clock.Advance(milliseconds(600));
  changes.Record(clock.now(), Step(asking, {Entry(2, 8)}));
  EXPECT_EQ(changes.Recent(clock.now()).size(), 2);
  clock.Advance(milliseconds(700));
  ASSERT_EQ(changes.Recent(clock.now()).size(), 1);
  EXPECT_EQ(changes.Recent(clock.now())[0].after, asking.state());

  std::vector<RunnerChange> many;
  many.reserve(40);
  for (int id = 0; id < 40; ++id) many.push_back(Entry(id, 4));
  changes.Record(clock.now(), Step(asking, many));
  changes.Record(clock.now(), Step(asking, {Entry(1, 2)}));
  // The older changes no longer fit.
  EXPECT_EQ(changes.Recent(clock.now()).size(), 3);
  changes.Record(clock.now(), Step(asking, {Entry(1, 3), Entry(2, 3), Entry(3, 3), Entry(4, 3),
                                            Entry(5, 3), Entry(6, 3), Entry(7, 3), Entry(8, 3)}));
  EXPECT_EQ(changes.Recent(clock.now()).size(), 2);
}

// Changes without effect must not be repeated in reports.
TEST(DirectoryChangeLogTest, LeavesOutStepsWithoutEffect) {
  core::ManualClock clock;
  RunnerDirectory asking;
  DirectoryChangeLog changes;
  changes.Record(clock.now(), Step(asking, {}));
  EXPECT_TRUE(changes.Recent(clock.now()).empty());
}

}  // namespace
}  // namespace pomelospar::dispatch
