#include "libraries/runners/runner_table.h"

#include <gtest/gtest.h>

namespace pomelospar::runners {
namespace {

configuration::Configuration ConfigurationWithOneRunner() {
  configuration::Upstream upstream;
  upstream.name = "drafts";
  upstream.id = core::IdOf<core::UpstreamId>("drafts");
  upstream.runners.push_back({.id = core::IdOf<core::RunnerId>("127.0.0.1:1"),
                              .address = "127.0.0.1:1",
                              .domain = "north",
                              .domain_id = core::IdOf<core::DomainId>("north"),
                              .slots = 4});
  configuration::Configuration configuration;
  configuration.upstreams.push_back(upstream);
  return configuration;
}

platform::Instance RunnerInstance(std::string address, platform::InstanceStatus status,
                                  std::string incarnation) {
  return {.address = std::move(address),
          .domain = "north",
          .role = "drafts",
          .status = status,
          .incarnation = std::move(incarnation),
          .slots = 2};
}

// A lagging or empty instance list must not take declared runners out of service.
TEST(RunnerTableTest, InstanceListAddsButNeverRemovesDeclaredRunners) {
  RunnerTable table;
  table.SetConfiguration(ConfigurationWithOneRunner());
  table.ApplyInstances(
      {.version = 1,
       .complete = true,
       .changed = {RunnerInstance("127.0.0.1:2", platform::InstanceStatus::kLive, "a")}});
  EXPECT_EQ(table.entries().size(), 2U);
  table.ApplyInstances({.version = 2, .complete = true});
  ASSERT_EQ(table.entries().size(), 1U);
  EXPECT_NE(table.Find(core::IdOf<core::RunnerId>("127.0.0.1:1")), nullptr);
}

// A leaving runner must be reported even if it is declared. An instance whose role is not a
// declared upstream must not become a runner.
TEST(RunnerTableTest, ReportsLeavingRunnersAndIgnoresOtherRoles) {
  RunnerTable table;
  table.SetConfiguration(ConfigurationWithOneRunner());
  auto router = RunnerInstance("127.0.0.1:9", platform::InstanceStatus::kLive, "r");
  router.role = "router";
  const auto leaving = table.ApplyInstances(
      {.version = 1,
       .changed = {router,
                   RunnerInstance("127.0.0.1:1", platform::InstanceStatus::kLeaving, "a")}});
  ASSERT_EQ(leaving.size(), 1U);
  EXPECT_EQ(leaving.front().address, "127.0.0.1:1");
  EXPECT_EQ(leaving.front().incarnation, "a");
  EXPECT_EQ(table.entries().size(), 1U);
}

// If a new configuration discarded the incarnation that a runner reported, a notice about a leaving
// incarnation would no longer match.
TEST(RunnerTableTest, IncarnationSurvivesNewConfiguration) {
  RunnerTable table;
  table.SetConfiguration(ConfigurationWithOneRunner());
  const auto id = core::IdOf<core::RunnerId>("127.0.0.1:1");
  EXPECT_TRUE(table.SetIncarnation(id, "first"));
  EXPECT_FALSE(table.SetIncarnation(id, "first"));
  const auto version = table.version();
  table.SetConfiguration(ConfigurationWithOneRunner());
  EXPECT_GT(table.version(), version);
  EXPECT_EQ(table.Find(id)->incarnation, "first");
}

}  // namespace
}  // namespace pomelospar::runners
