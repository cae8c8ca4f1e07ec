#include "libraries/configuration/configuration_store.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "libraries/configuration/changes_assembler.h"
#include "libraries/configuration/configuration_records.h"
#include "libraries/configuration/sections.h"
#include "tests/libraries/configuration/fleet_fixture.h"

namespace pomelospar::configuration {
namespace {

/// Generations 1, 2, ... with the given shares of workspaces.
std::vector<HeldPointer> History(const std::vector<std::vector<double>>& generations) {
  std::vector<HeldPointer> history;
  HeldPointer held;
  for (const auto& shares : generations) {
    ChangeRecord record;
    record.generation = history.size() + 1;
    record.changes =
        Diff(held ? LiveSections(*held) : SectionMap(), ToSections(SampleConfiguration(shares)));
    held = Advance(held, ToChanges({record})).value();
    history.push_back(held);
  }
  return history;
}

rc::Gen<std::vector<std::vector<double>>> Generations() {
  const auto share = rc::gen::map(rc::gen::inRange(1, 5), [](int value) { return value * 0.5; });
  const auto shares = rc::gen::resize(6, rc::gen::container<std::vector<double>>(share));
  return rc::gen::container<std::vector<std::vector<double>>>(6, shares);
}

// Guards against values that are lost or changed between routers, and against forms of JSON that
// differ for equal configurations.
TEST(SectionsTest, RoundTripAndDiff) {
  EXPECT_TRUE(rc::check("round trip", [] {
    const auto history = *Generations();
    const auto before = ToSections(SampleConfiguration(history.at(0)));
    const auto after = ToSections(SampleConfiguration(history.at(1)));
    RC_ASSERT(ToSections(FromSections(before).value()) == before);
    const auto changes = Diff(before, after);
    RC_ASSERT(ApplyChanges(before, changes) == after);
    RC_ASSERT(changes.empty() == (before == after));
  }));
  const auto before = ToSections(SampleConfiguration({1.0, 2.0}));
  auto changed = SampleConfiguration({1.5});
  changed.workspaces[0].key_hashes = {std::string(64, 'f')};
  const auto after = ToSections(changed);
  EXPECT_THAT(
      Summarise(before, Diff(before, after)),
      testing::ElementsAre("~ workspace/w0: /key_hashes/0 (hash) -> (hash), /share 1.0 -> 1.5",
                           "- workspace/w1"));
}

// Guards against a configuration made of sections of different generations.
TEST(SectionsTest, RefusesSectionsThatDoNotFitTogether) {
  auto sections = ToSections(SampleConfiguration({1.0}));
  sections.erase("class/standard");
  EXPECT_TRUE(core::Is(FromSections(sections).error(), core::ErrorKind::kMalformed));
  sections = ToSections(SampleConfiguration({1.0}));
  sections["workspace/w0"] = "{";
  EXPECT_TRUE(core::Is(FromSections(sections).error(), core::ErrorKind::kMalformed));
}

// Guards against a generation that goes back, against half-adopted changes, and against sections
// that differ between routers, when messages are lost, repeated, reordered and split into parts.
TEST(ConfigurationStoreTest, NeverGoesBackUnderAnyOrderOfMessages) {
  EXPECT_TRUE(rc::check("two stores", [] {
    const auto history = History(*Generations());
    std::vector<wire::ConfigurationChanges> messages;
    for (const auto& held : history) {
      for (std::uint64_t base = 0; base < held->generation; ++base) {
        for (auto& part : ChangesSince(*held, base, 300)) {
          messages.push_back(std::move(part));
        }
      }
      messages.push_back(DecodeSnapshot(EncodeSnapshot(*held)).value());
    }
    std::vector<ConfigurationStore> stores(2);
    std::vector<ChangesAssembler> assemblers(2);
    const auto choices =
        *rc::gen::container<std::vector<std::pair<bool, std::size_t>>>(rc::gen::pair(
            rc::gen::arbitrary<bool>(), rc::gen::inRange<std::size_t>(0, messages.size())));
    for (const auto& [second, index] : choices) {
      auto& store = stores[second ? 1 : 0];
      const auto before = store.generation();
      if (index % 5 == 0) {
        const auto& prepared = history[index % history.size()];
        RC_ASSERT(store.Adopt(prepared) == (prepared->generation > before));
        continue;
      }
      const auto whole = assemblers[second ? 1 : 0].Add("peer", messages[index]);
      if (whole) {
        const auto adopted = store.Adopt(*whole);
        const bool newer = whole->generation() > before;
        const bool fits = whole->complete() || whole->base_generation() <= before;
        RC_ASSERT((adopted.has_value() == (fits || !newer)));
        RC_ASSERT((!adopted.has_value() || adopted.value() == newer));
      }
      RC_ASSERT(store.generation() >= before);
      if (store.generation() > 0) {
        const auto& expected = *history[store.generation() - 1];
        RC_ASSERT(LiveSections(*store.held()) == LiveSections(expected));
        RC_ASSERT(ToSections(*store.configuration()) == LiveSections(expected));
      }
    }
    const bool first_is_newer = stores[0].generation() > stores[1].generation();
    const auto& newer = stores[first_is_newer ? 0 : 1];
    auto& older = stores[first_is_newer ? 1 : 0];
    if (newer.generation() > older.generation()) {
      for (const auto& part : ChangesSince(*newer.held(), older.generation(), 1 << 30U)) {
        RC_ASSERT(older.Adopt(part).value());
      }
      RC_ASSERT(LiveSections(*older.held()) == LiveSections(*newer.held()));
    }
  }));
}

// Guards against a router that read a snapshot, which holds no removals, and sends only the
// sections that it has to a router that still holds a removed one.
TEST(ConfigurationStoreTest, RemovalReachesOlderRoutersFromARouterThatReadASnapshot) {
  const auto history = History({{1.0, 1.0}, {1.0}});
  ConfigurationStore restarted;
  ASSERT_TRUE(restarted.Adopt(DecodeSnapshot(EncodeSnapshot(*history[1])).value()).value());
  ConfigurationStore older;
  ASSERT_TRUE(older.Adopt(history[0]));
  ASSERT_TRUE(older.Adopt(ChangesSince(*restarted.held(), 1, 1 << 30U).at(0)).value());
  EXPECT_EQ(LiveSections(*older.held()), LiveSections(*history[1]));
}

// Guards against removals that are forgotten although a router that holds an older generation asks:
// it would keep a workspace that no longer exists.
TEST(ConfigurationStoreTest, OlderRoutersGetEverythingOnceRemovalsAreForgotten) {
  auto history = History({{1.0}, {1.0, 1.0}});
  for (std::uint64_t generation = 3; generation < 2300; ++generation) {
    wire::ConfigurationChanges changes;
    changes.set_base_generation(generation - 1);
    changes.set_generation(generation);
    auto* section = changes.add_sections();
    section->set_name("future/" + std::to_string(generation / 2));
    section->set_removed(generation % 2 == 1);
    section->set_json("{}");
    history.push_back(Advance(history.back(), changes).value());
  }
  const auto& newest = *history.back();
  EXPECT_LT(newest.sections.size(), 1100U);
  // At these generations a section exists that the next one removes.
  for (const std::size_t base : {3U, 501U, 1501U, 2291U}) {
    ConfigurationStore store;
    ASSERT_TRUE(store.Adopt(history[base]));
    ASSERT_TRUE(store.Adopt(ChangesSince(newest, base + 1, 1 << 30U).at(0)).value());
    EXPECT_EQ(LiveSections(*store.held()), LiveSections(newest));
  }
}

}  // namespace
}  // namespace pomelospar::configuration
