#include "libraries/dispatch/evacuations.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace pomelospar::dispatch {
namespace {

// Guards against requests to an evacuated domain after a partial read, and against a domain that
// stays evacuated after a whole read no longer lists it.
TEST(EvacuationsTest, FollowsChangesAndWholeReads) {
  const std::vector<EvacuationRow> asked = {{"a"}, {"b"}};
  auto known = AfterRows({}, asked, true, {{}, 10});
  EXPECT_EQ(known.domains.size(), 2U);
  const std::vector<EvacuationRow> withdrawn = {{"a", true}, {"never-evacuated", true}};
  known = AfterRows(known, withdrawn, false, {{}, 12});
  EXPECT_FALSE(known.domains.contains("a"));
  EXPECT_TRUE(known.domains.contains("b"));
  known = AfterRows(known, {}, false, {{}, 13});
  EXPECT_TRUE(known.domains.contains("b"));
  known = AfterRows(known, {}, true, {{}, 14});
  EXPECT_TRUE(known.domains.empty());
}

// Guards against an older state that comes back with a late report of another router.
TEST(EvacuationsTest, NewerVersionsWin) {
  const std::vector<EvacuationRow> asked = {{"a"}};
  const auto evacuated = AfterRows({}, asked, true, {{}, 20});
  const auto before = AfterRows({}, {}, true, {{}, 19});
  EXPECT_TRUE(IsNewer(evacuated, before));
  EXPECT_FALSE(IsNewer(before, evacuated));
  EXPECT_FALSE(IsNewer(evacuated, evacuated));
}

// Guards against an evacuation that is never in force because the store has come back from an older
// copy and its version is lower than the one that a router knows.
TEST(EvacuationsTest, ALaterEpochWinsWhateverItsVersion) {
  const std::vector<EvacuationRow> asked = {{"a"}};
  const auto before = AfterRows({}, {}, true, {1, 500});
  const auto evacuated = AfterRows({}, asked, true, {2, 400});
  EXPECT_TRUE(IsNewer(evacuated, before));
  EXPECT_FALSE(IsNewer(before, evacuated));
}

// Guards against a proof that does not change with the evacuations: other routers would not ask.
TEST(EvacuationsTest, HashTellsTheDomains) {
  const std::vector<EvacuationRow> a = {{"a"}};
  const std::vector<EvacuationRow> b = {{"b"}};
  EXPECT_EQ(HashOf(Evacuations{.position = {{}, 7}}), 0U);
  EXPECT_NE(HashOf(AfterRows({}, a, true, {{}, 1})), HashOf(AfterRows({}, b, true, {{}, 1})));
  EXPECT_EQ(HashOf(AfterRows({}, a, true, {{}, 1})), HashOf(AfterRows({}, a, true, {{}, 2})));
}

// Guards against memory and reports that grow with what a faulty writer puts into the table.
TEST(EvacuationsTest, BoundsWhatAFaultyWriterAdds) {
  std::vector<EvacuationRow> rows = {{""}, {std::string(kMaxDomainNameBytes + 1, 'x')}};
  EXPECT_TRUE(AfterRows({}, rows, true, {{}, 1}).domains.empty());
  for (int index = 0; index < 1000; ++index) rows.push_back({std::to_string(index)});
  EXPECT_EQ(AfterRows({}, rows, true, {{}, 1}).domains.size(), kMaxEvacuatedDomains);
}

}  // namespace
}  // namespace pomelospar::dispatch
