// Random orders of starts, ends, returns of the store, reports and writes, in virtual time.

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/dispatch/policy_knowledge.h"

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Duration kStep = milliseconds(50);
constexpr core::Duration kEnd = seconds(60);
constexpr core::Duration kFresh = seconds(5);
constexpr int kRouters = 5;

struct Content {
  std::uint64_t version = 1;
  StoredPolicy policy;
  std::map<std::string, PolicyStatement> rows;
  std::optional<PolicyStatement> fleet_row;
};

struct Router {
  std::string name;
  bool runs = false;
  core::Duration paused_until{};
  PolicyKnowledge knowledge{this->name};
  StoreEpoch epoch;
  bool has_read_in_epoch = false;
  std::uint64_t in_force = 0;
  core::Duration confirmed_at{};
  core::Duration asked_at{};
  core::Duration next_policy_read{};
  core::Duration next_rows_read{};
  std::optional<PolicyStatement> written;
};

class Replay {
 public:
  explicit Replay(unsigned seed) : random(seed) {
    for (int number = 0; number < kRouters; ++number) {
      this->routers.push_back({.name = std::string(1, static_cast<char>('a' + number))});
    }
  }

  void Run() {
    this->Configure();
    for (auto& router : this->routers) this->Start(router);
    while (this->now < kEnd) {
      this->now += kStep;
      if (this->now > seconds(6)) this->Disturb();
      if (this->is_up) this->copies.push_back(this->content);
      if (this->copies.size() > 120) this->copies.pop_front();
      for (auto& router : this->routers) {
        if (router.runs && this->now >= router.paused_until) this->Act(router);
      }
      for (auto& router : this->routers) this->Check(router);
    }
  }

  /// Requests with a withdrawn key that would run, and times at which the newest configuration
  /// would be served.
  int late = 0;
  int served = 0;

 private:
  bool Chance(double per_second) {
    return std::uniform_real_distribution<>(0, 1)(this->random) < per_second * 0.05;
  }
  core::Duration Draw(int from_ms, int to_ms) {
    return milliseconds(std::uniform_int_distribution<>(from_ms, to_ms)(this->random));
  }
  Router& AnyRouter() { return this->routers[this->random() % kRouters]; }

  void Configure() {
    this->content.policy = {++this->newest, ++this->content.version};
    this->acknowledged.emplace(this->newest, this->now);
    this->changed_at = this->now;
  }

  void Start(Router& router) {
    router = {.name = router.name, .runs = true};
    router.next_policy_read = router.next_rows_read = this->now + this->Draw(0, 300);
  }

  void End(Router& router, bool is_planned) {
    if (is_planned && router.runs && this->is_up) {
      const bool must_leave =
          !router.has_read_in_epoch || !router.knowledge.StoreHoldsNewest(this->now);
      if (must_leave) {
        this->WriteRow(router);
      } else {
        this->content.rows.erase(router.name);
        ++this->content.version;
      }
    }
    router.runs = false;
  }

  void Disturb() {
    if (this->is_up && this->Chance(0.15) && this->now - this->changed_at > seconds(1)) {
      this->Configure();
    }
    // The newest configuration is known to the routers that run.
    if (this->is_up && this->Chance(0.1) && this->now - this->changed_at > seconds(2)) {
      this->is_up = false;
      this->back_at = this->now + this->Draw(200, 2000);
      this->copy_age = static_cast<std::size_t>(this->random() % 100);
    }
    if (!this->is_up && this->now >= this->back_at) {
      const auto age = std::min(this->copy_age, this->copies.size() - 1);
      this->content = this->copies[this->copies.size() - 1 - age];
      this->copies.assign(1, this->content);
      this->is_up = true;
      ++this->epoch;
      this->rewrite_at = this->now + this->Draw(0, 8000);
    }
    if (this->is_up && this->now >= this->rewrite_at) {
      this->rewrite_at = core::Duration::max();
      this->content.policy = {this->newest, ++this->content.version};
    }
    if (this->Chance(0.3)) this->End(this->AnyRouter(), this->random() % 2 == 0);
    if (this->Chance(0.1)) this->AnyRouter().paused_until = this->now + this->Draw(300, 4000);
    if (this->Chance(0.05)) {
      const bool is_planned = this->random() % 2 == 0;
      for (auto& router : this->routers) this->End(router, is_planned);
    }
    for (auto& router : this->routers) {
      if (!router.runs && this->Chance(2.0)) this->Start(router);
    }
  }

  void WriteRow(Router& router) {
    router.written = router.knowledge.StatementForRow();
    router.written->row_version = ++this->content.version;
    this->content.rows[router.name] = *router.written;
  }

  void SeeEpoch(Router& router) {
    if (router.epoch == StoreEpoch(this->epoch)) return;
    const bool is_first = !router.epoch;
    router.epoch = this->epoch;
    router.has_read_in_epoch = false;
    router.knowledge.OnEpoch(this->now, this->epoch, this->now - router.confirmed_at <= kFresh);
    if (!is_first) router.next_rows_read = this->now + this->Draw(1000, 2000);
  }

  void Confirm(Router& router) {
    auto& knowledge = router.knowledge;
    const bool is_older =
        knowledge.IsInForceOlder(this->now) || knowledge.IsAwaitingAfterReturn(this->now);
    if (is_older) router.confirmed_at = {};
    if (!knowledge.StoreHoldsNewest(this->now) || knowledge.IsAwaiting(this->now)) {
      return;
    }
    router.confirmed_at = std::max(router.confirmed_at, router.asked_at);
  }

  void Act(Router& router) {
    if (this->is_up && this->now >= router.next_policy_read) {
      router.next_policy_read = this->now + milliseconds(300);
      this->SeeEpoch(router);
      router.has_read_in_epoch = true;
      router.asked_at = this->now;
      router.in_force = std::max(router.in_force, this->content.policy.version);
      router.knowledge.OnInForce(this->now, router.in_force);
      router.knowledge.OnStored(this->now, this->now, this->content.policy, this->content.version);
    }
    if (this->is_up && this->now >= router.next_rows_read) {
      this->SeeEpoch(router);
      router.next_rows_read = std::max(router.next_rows_read, this->now + milliseconds(500));
      if (this->now + milliseconds(500) >= router.next_rows_read) this->ReadRows(router);
    }
    this->Confirm(router);
    for (auto& other : this->routers) {
      if (!other.runs || &other == &router || this->random() % 3 != 0) continue;
      other.knowledge.OnReport(this->now, router.name, router.knowledge.NewestToTell(this->now),
                               this->now - router.confirmed_at <= kFresh);
    }
  }

  void ReadRows(Router& router) {
    std::set<std::string, std::less<>> listed;
    router.knowledge.SetFleetRow(this->content.fleet_row);
    for (const auto& [name, row] : this->content.rows) {
      listed.insert(name);
      router.knowledge.SetRow(this->now, name, row);
    }
    router.knowledge.OnRowsRead(listed);
    const auto wanted = router.knowledge.StatementForRow();
    const bool is_outdated = !router.written || !listed.contains(router.name) ||
                             router.written->epoch != wanted.epoch ||
                             router.written->newest < wanted.newest;
    if (is_outdated) this->WriteRow(router);
    if (router.knowledge.IsFleetRowOutdated(this->now)) {
      this->content.fleet_row = {router.epoch, 0, ++this->content.version};
    }
  }

  void Check(Router& router) {
    const bool serves_keys = router.runs && this->now >= router.paused_until &&
                             router.in_force > 0 && this->now - router.confirmed_at <= kFresh;
    if (!serves_keys) return;
    if (router.in_force == this->newest) ++this->served;
    for (auto next = this->acknowledged.upper_bound(router.in_force);
         next != this->acknowledged.end(); ++next) {
      if (this->now - next->second > kFresh) {
        ++this->late;
        return;
      }
    }
  }

  std::mt19937 random;
  core::Duration now = seconds(1);
  bool is_up = true;
  std::uint64_t epoch = 1;
  Content content;
  std::deque<Content> copies;
  std::vector<Router> routers;
  std::uint64_t newest = 0;
  std::map<std::uint64_t, core::Duration> acknowledged;
  core::Duration changed_at{};
  core::Duration back_at{};
  core::Duration rewrite_at = core::Duration::max();
  std::size_t copy_age = 0;
};

// Guards against a withdrawn key that is used again in an order of events that nobody has thought
// of.
TEST(PolicyKnowledgeReplayTest, NeverConfirmsAnOlderConfiguration) {
  constexpr double kLeastServed = 0.5;
  int served = 0;
  constexpr int kSeeds = 1000;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Replay replay(seed);
    replay.Run();
    EXPECT_EQ(replay.late, 0) << "seed " << seed;
    served += replay.served;
  }
  EXPECT_GT(served, kLeastServed * kSeeds * kRouters * (kEnd / kStep));
}

}  // namespace
}  // namespace pomelospar::dispatch
