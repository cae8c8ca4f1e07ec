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

DirectoryChange ApplyEntries(RunnerDirectory& directory, std::vector<RunnerChange> entries) {
  DirectoryChange step;
  step.before = directory.state();
  for (const auto& entry : entries) directory.Apply(entry);
  step.after = directory.state();
  step.entries = std::move(entries);
  return step;
}

// Whichever reports a router has lost, its directory must not deviate from the store: each change
// that it applies leads to a content that the polling router had.
RC_GTEST_PROP(RunnerDirectoryTest, ChangesLeadOnlyToContentsOfTheStore, ()) {
  RunnerDirectory polling;
  RunnerDirectory follower;
  std::set<std::uint64_t> contents = {polling.state()};
  for (int change = 0; change < 30; ++change) {
    const int id = *rc::gen::inRange(0, 6);
    auto entry = Entry(id, *rc::gen::inRange(1U, 4U));
    if (*rc::gen::arbitrary<bool>()) entry.record.reset();
    const auto step = ApplyEntries(polling, {entry});
    contents.insert(polling.state());
    const bool arrives = *rc::gen::inRange(0, 4) > 0;
    if (!arrives || !follower.CanApply(step)) continue;
    for (const auto& taken : step.entries) follower.Apply(taken);
    RC_ASSERT(contents.contains(follower.state()));
  }
}

// A router must not apply a change that starts from another content than its own, or one that was
// altered on the way.
TEST(RunnerDirectoryTest, RejectsChangesThatDoNotApply) {
  RunnerDirectory polling;
  RunnerDirectory follower;
  auto step = ApplyEntries(polling, {Entry(1, 8), Entry(2, 8)});
  EXPECT_TRUE(follower.CanApply(step));
  step.entries[1].record->slots = 9;
  EXPECT_FALSE(follower.CanApply(step));
  follower.Apply(Entry(3, 8));
  step.entries[1].record->slots = 8;
  EXPECT_FALSE(follower.CanApply(step));
}

// Entries may be removed while the change history of the store is dropped. A full read must reveal
// them.
TEST(RunnerDirectoryTest, FindsEntriesMissingFromAFullRead) {
  RunnerDirectory directory;
  directory.Apply(Entry(1, 8));
  directory.Apply(Entry(2, 8));
  EXPECT_THAT(directory.MissingFrom({"2", "3"}), testing::ElementsAre("1"));
}

// During a release many entries change. A router that lost a report must find the changes in the
// next ones, and the datagrams must stay small.
TEST(DirectoryChangeLogTest, SendsRecentChangesWithinTheLimit) {
  core::ManualClock clock;
  RunnerDirectory polling;
  DirectoryChangeLog changes;
  changes.Record(clock.now(), ApplyEntries(polling, {Entry(1, 8)}));
  clock.Advance(milliseconds(600));
  changes.Record(clock.now(), ApplyEntries(polling, {Entry(2, 8)}));
  EXPECT_EQ(changes.Recent(clock.now()).size(), 2);
  clock.Advance(milliseconds(700));
  ASSERT_EQ(changes.Recent(clock.now()).size(), 1);
  EXPECT_EQ(changes.Recent(clock.now())[0].after, polling.state());

  std::vector<RunnerChange> many;
  many.reserve(40);
  for (int id = 0; id < 40; ++id) many.push_back(Entry(id, 4));
  changes.Record(clock.now(), ApplyEntries(polling, many));
  changes.Record(clock.now(), ApplyEntries(polling, {Entry(1, 2)}));
  // The older changes no longer fit.
  EXPECT_EQ(changes.Recent(clock.now()).size(), 3);
  changes.Record(clock.now(),
                 ApplyEntries(polling, {Entry(1, 3), Entry(2, 3), Entry(3, 3), Entry(4, 3),
                                        Entry(5, 3), Entry(6, 3), Entry(7, 3), Entry(8, 3)}));
  EXPECT_EQ(changes.Recent(clock.now()).size(), 2);
}

// Changes without effect must not be repeated in reports.
TEST(DirectoryChangeLogTest, OmitsChangesWithoutEffect) {
  core::ManualClock clock;
  RunnerDirectory polling;
  DirectoryChangeLog changes;
  changes.Record(clock.now(), ApplyEntries(polling, {}));
  EXPECT_TRUE(changes.Recent(clock.now()).empty());
}

}  // namespace
}  // namespace pomelospar::dispatch
