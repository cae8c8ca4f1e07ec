#include "libraries/dispatch/report_relay.h"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace pomelospar::dispatch {
namespace {

using testing::ElementsAre;

// A failure domain must not receive a router's report twice or not at all.
TEST(ChooseRelaysTest, TakesOneLiveRouterOfEachDomain) {
  const std::vector<RelayCandidate> candidates = {
      {"b", true}, {"c", false}, {"b", false}, {"c", true}};
  EXPECT_THAT(ChooseRelays(candidates, 0), ElementsAre(0, 3));
  EXPECT_THAT(ChooseRelays(candidates, 1), ElementsAre(0, 3));
}

// A failure domain must not be left out after its routers were silent for a while, because nobody
// would notice that they are back.
TEST(ChooseRelaysTest, UsesADomainWithoutLiveRouters) {
  const std::vector<RelayCandidate> candidates = {{"b", false}, {"b", false}};
  EXPECT_THAT(ChooseRelays(candidates, 4), ElementsAre(0));
  EXPECT_THAT(ChooseRelays(candidates, 5), ElementsAre(1));
}

// Routers may die before any report shows it, even half of them at once. Each relay must be used
// for its share of the reports only, so that a dead one cannot cut a domain off.
RC_GTEST_PROP(ChooseRelaysTest, TakesTurns, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 60);
  const std::vector<RelayCandidate> candidates(count, RelayCandidate{"b", true});
  const auto start = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
  std::set<std::size_t> used;
  for (std::uint64_t turn = start; turn < start + count; ++turn) {
    used.insert(ChooseRelays(candidates, turn).front());
  }
  RC_ASSERT(used.size() == count);
}

}  // namespace
}  // namespace pomelospar::dispatch
