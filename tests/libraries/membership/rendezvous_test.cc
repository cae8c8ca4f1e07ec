#include "libraries/membership/rendezvous.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace pomelospar::membership {
namespace {

std::vector<core::RouterIdentity> Routers(int count) {
  std::vector<core::RouterIdentity> routers;
  routers.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    routers.push_back({"10.0.0." + std::to_string(index) + ":7100", 1});
  }
  return routers;
}

// Guards against work that moves between live routers when another one dies, and against a result
// that depends on the order of the input.
RC_GTEST_PROP(RendezvousProperty, RemovalKeepsTheOrderOfTheOthers, (std::uint64_t key)) {
  auto routers = Routers(*rc::gen::inRange(1, 20));
  auto expected = RendezvousOrder(key, routers);
  std::reverse(routers.begin(), routers.end());
  RC_ASSERT(RendezvousOrder(key, routers) == expected);
  const auto removed = routers[*rc::gen::inRange<std::size_t>(0, routers.size())];
  std::erase(routers, removed);
  std::erase(expected, removed);
  RC_ASSERT(RendezvousOrder(key, routers) == expected);
}

// Guards against one router that becomes the allocator of far more shards than the others.
TEST(RendezvousTest, SpreadsShardsEvenly) {
  const auto routers = Routers(41);
  std::map<core::RouterIdentity, int> shards;
  for (std::uint32_t index = 0; index < 4100; ++index) {
    const core::ShardIdentity shard{core::UpstreamId{5}, core::DomainId{6}, index};
    ++shards[RendezvousOrder(shard, routers).front()];
  }
  EXPECT_EQ(shards.size(), 41U);
  for (const auto& [router, count] : shards) {
    // Five standard deviations around the mean of 100.
    EXPECT_GT(count, 50);
    EXPECT_LT(count, 150);
  }
}

}  // namespace
}  // namespace pomelospar::membership
