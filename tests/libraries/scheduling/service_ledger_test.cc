#include "libraries/scheduling/service_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace pomelospar::scheduling {
namespace {

constexpr std::uint64_t kWorkspaces = 4;
const core::TimePoint kNow{std::chrono::hours(1)};

struct Update {
  std::uint64_t incarnation = 0;
  std::uint64_t workspace = 0;
  double counter = 0.0;
  double offset = 0.0;
};

std::vector<Update> RandomUpdates(std::mt19937_64& random) {
  std::vector<Update> updates(random() % 60);
  for (auto& update : updates) {
    update = {2 + random() % 5, random() % kWorkspaces, static_cast<double>(random() % 1000),
              static_cast<double>(random() % 100)};
  }
  return updates;
}

void Merge(ServiceLedger& ledger, const Update& update, core::TimePoint now = kNow) {
  wire::ServiceReport report;
  auto* row = report.add_rows();
  row->set_workspace(update.workspace);
  row->set_counter(update.counter);
  row->set_offset(update.offset);
  ledger.Merge(update.incarnation, report, now);
}

std::vector<double> Values(const ServiceLedger& ledger) {
  std::vector<double> values;
  for (std::uint64_t workspace = 0; workspace < kWorkspaces; ++workspace) {
    values.push_back(ledger.Total(core::WorkspaceId{workspace}));
    values.push_back(ledger.Offset(core::WorkspaceId{workspace}));
  }
  return values;
}

void Transfer(const ServiceLedger& from, ServiceLedger& to, std::mt19937_64& random) {
  auto parts = from.State(2);
  std::ranges::shuffle(parts, random);
  for (const auto& part : parts) {
    to.MergeState(1, part, kNow);
  }
}

// Guards against service that is counted twice or lost because messages are repeated or reordered,
// and against totals that decrease.
RC_GTEST_PROP(ServiceLedgerTest, MergeIsCommutativeIdempotentAndGrows, (std::uint64_t seed)) {
  std::mt19937_64 random(seed);
  auto updates = RandomUpdates(random);
  std::map<std::pair<std::uint64_t, std::uint64_t>, double> highest;
  ServiceLedger first(1);
  for (const auto& update : updates) {
    const auto before = Values(first);
    Merge(first, update);
    const auto after = Values(first);
    for (std::size_t index = 0; index < before.size(); ++index) {
      RC_ASSERT(before[index] <= after[index]);
    }
    auto& value = highest[{update.incarnation, update.workspace}];
    value = std::max(value, update.counter);
  }
  std::vector<double> totals(kWorkspaces);
  for (const auto& [key, value] : highest) {
    totals[key.second] += value;
  }
  for (std::uint64_t workspace = 0; workspace < kWorkspaces; ++workspace) {
    RC_ASSERT(first.Total(core::WorkspaceId{workspace}) == totals[workspace]);
  }
  ServiceLedger second(1);
  const auto repeated = updates;
  updates.insert(updates.end(), repeated.begin(), repeated.end());
  std::ranges::shuffle(updates, random);
  for (const auto& update : updates) {
    Merge(second, update);
  }
  RC_ASSERT(Values(first) == Values(second));
}

// Guards against a joining router that counts the base or an incarnation twice: parts of the state
// arrive in any order, reports arrive before the state, and folded incarnations report again.
RC_GTEST_PROP(ServiceLedgerTest, JoiningRouterCountsLikeItsPeer, (std::uint64_t seed)) {
  std::mt19937_64 random(seed);
  ServiceLedger peer(1);
  for (const auto& update : RandomUpdates(random)) {
    Merge(peer, update, kNow - (update.incarnation < 4 ? kFoldAfter : core::Duration{}));
  }
  for (std::uint64_t workspace = 0; workspace < kWorkspaces; ++workspace) {
    Merge(peer, {7, workspace, 500, 0}, kNow - kFoldAfter);
  }
  peer.Charge(core::WorkspaceId{0}, 5);
  const auto before = Values(peer);
  peer.Fold(kNow);
  RC_ASSERT(Values(peer) == before);

  ServiceLedger joining(9);
  for (std::uint64_t workspace = 0; workspace < kWorkspaces; ++workspace) {
    // A report of a live router that the peer has received as well.
    Merge(peer, {2, workspace, 2000, 0});
    if (random() % 2 == 0) {
      Merge(joining, {2, workspace, 2000, 0});
    }
    if (random() % 2 == 0) {
      // A row of a folded incarnation, relayed by a router that has not folded it yet.
      Merge(joining, {7, workspace, 500, 0});
    }
  }
  Transfer(peer, joining, random);
  Transfer(peer, joining, random);
  RC_ASSERT(Values(joining) == Values(peer));
  const Update revived{3, 0, 3000, 0};
  const auto folded = joining.Total(core::WorkspaceId{0});
  Merge(joining, revived);
  const auto reference = joining.Total(core::WorkspaceId{0});
  RC_ASSERT(reference >= folded);
  Merge(joining, {3, 0, 3100, 0});
  RC_ASSERT(joining.Total(core::WorkspaceId{0}) == reference + 100);
}

// Guards against memory that grows with every restart of a router, and against service that is lost
// or counted twice when a folded incarnation reports again.
TEST(ServiceLedgerTest, FoldsSilentIncarnationsAndForgetsThemLater) {
  ServiceLedger ledger(1);
  Merge(ledger, {2, 0, 10, 0}, kNow);
  ledger.Fold(kNow + kFoldAfter);
  ledger.Fold(kNow + kFoldAfter + std::chrono::minutes(1));
  Merge(ledger, {2, 0, 10, 0}, kNow + kFoldAfter);
  EXPECT_EQ(ledger.Total(core::WorkspaceId{0}), 10) << "an old row was relayed";
  Merge(ledger, {2, 0, 12, 0}, kNow + kFoldAfter);
  EXPECT_EQ(ledger.Total(core::WorkspaceId{0}), 12) << "the router reports again";
  ledger.Fold(kNow + 2 * kFoldAfter);
  ledger.Fold(kNow + 2 * kFoldAfter + kForgetFoldedAfter);
  EXPECT_EQ(ledger.incarnations(), 0);
  EXPECT_EQ(ledger.Total(core::WorkspaceId{0}), 12);
}

// Guards against rows that are sent without a change, changes that are never sent, and report
// periods that exceed the byte budget.
TEST(ServiceLedgerTest, ReportsOwnChangesWithinTheBudget) {
  ServiceLedger ledger(1);
  Merge(ledger, {2, 0, 10, 0});
  EXPECT_FALSE(ledger.TakeReport(0).has_value());
  ledger.Charge(core::WorkspaceId{1}, 3);
  ledger.Charge(core::WorkspaceId{1}, 4);
  ledger.RaiseOffset(core::WorkspaceId{2}, 8);
  const auto report = ledger.TakeReport(0);
  ASSERT_TRUE(report.has_value());
  // Rows whose offset did not change are sent in the packed fields.
  ASSERT_EQ(report->rows_size(), 1);
  ASSERT_EQ(report->workspaces_size(), 1);
  EXPECT_EQ(report->workspaces(0), 1);
  EXPECT_EQ(report->counters(0), 7);
  EXPECT_EQ(report->rows(0).workspace(), 2);
  EXPECT_EQ(report->rows(0).offset(), 8);
  EXPECT_FALSE(ledger.TakeReport(0).has_value());
  EXPECT_TRUE(ledger.TakeReport(4).has_value()) << "the rotation repairs lost reports";

  EXPECT_EQ(ReportPeriod(6, 30), std::chrono::milliseconds(200));
  EXPECT_EQ(ReportPeriod(6, 400), std::chrono::seconds(2));
}

}  // namespace
}  // namespace pomelospar::scheduling
