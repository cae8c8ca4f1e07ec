#include "libraries/admission/crash_tracker.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace pomelospar::admission {
namespace {

constexpr core::Duration kStep = std::chrono::milliseconds(50);
constexpr unsigned kRouters = 3;
constexpr unsigned kRunners = 4;
constexpr unsigned kSlots = 3;

/// Simulates routers that dispatch harmless and crashing requests to shared runners and exchange
/// notices, each of which is delayed by up to 300 ms. With `isolate_fleet_wide`, a router sees the
/// requests of all routers on a runner when it isolates a suspect, else only its own.
class Fleet {
 public:
  Fleet(std::uint64_t seed, unsigned crashing_requests, unsigned harmless_requests,
        bool isolate_fleet_wide)
      : random(seed), crashing_requests(crashing_requests), isolate_fleet_wide(isolate_fleet_wide) {
    for (unsigned index = 0; index < crashing_requests + harmless_requests; ++index) {
      this->names.push_back(fmt::format("request-{}", index));
    }
  }

  void Step() {
    this->now += kStep;
    this->Deliver();
    for (unsigned router = 0; router < kRouters; ++router) {
      for (const auto& fingerprint : this->trackers[router].Tick(this->now)) {
        this->quarantined.insert(fingerprint);
        this->Broadcast(router, [this, fingerprint](CrashTracker& tracker) {
          tracker.MergeQuarantine(this->now, fingerprint, CrashTracker::kRetention);
        });
      }
      this->Dispatch(router, this->Draw(0, this->names.size() - 1));
    }
    for (auto& runner : this->runners) {
      this->Advance(runner);
    }
  }

  bool IsCrashing(const Fingerprint& fingerprint) const {
    return std::ranges::find(this->names, fingerprint) - this->names.begin() <
           this->crashing_requests;
  }

  std::set<Fingerprint> quarantined;
  std::map<Fingerprint, unsigned> crashes_caused;

 private:
  struct Running {
    unsigned router = 0;
    Fingerprint fingerprint;
    std::size_t steps_left = 0;
    bool alone = false;
  };
  struct Runner {
    unsigned incarnation = 0;
    std::vector<Running> running;
  };

  std::size_t Draw(std::size_t low, std::size_t high) {
    return std::uniform_int_distribution<std::size_t>(low, high)(this->random);
  }

  void Broadcast(unsigned from, const std::function<void(CrashTracker&)>& notice) {
    for (unsigned router = 0; router < kRouters; ++router) {
      if (router != from) {
        this->notices.emplace(this->now + kStep * this->Draw(1, 6),
                              [this, router, notice] { notice(this->trackers[router]); });
      }
    }
  }

  void Deliver() {
    while (!this->notices.empty() && this->notices.begin()->first <= this->now) {
      this->notices.extract(this->notices.begin()).mapped()();
    }
  }

  void Dispatch(unsigned router, std::size_t index) {
    const auto& fingerprint = this->names[index];
    const auto verdict = this->trackers[router].VerdictFor(this->now, fingerprint);
    const auto runs_here = [&](const Runner& runner) {
      return std::ranges::any_of(runner.running, [&](const Running& running) {
        return running.router == router && running.fingerprint == fingerprint;
      });
    };
    if (verdict == CrashVerdict::kQuarantined || verdict == CrashVerdict::kPending ||
        std::ranges::any_of(this->runners, runs_here)) {
      return;
    }
    auto& runner = this->runners[this->Draw(0, kRunners - 1)];
    const bool alone = verdict == CrashVerdict::kRunAlone;
    // Without fleet-wide isolation, a router only sees its own requests on the runner.
    const auto conflicts = [&](const Running& running) {
      const bool visible = this->isolate_fleet_wide || running.router == router;
      return visible && (alone || running.alone);
    };
    if (runner.running.size() < kSlots && std::ranges::none_of(runner.running, conflicts)) {
      runner.running.push_back({router, fingerprint, this->Draw(1, 5), alone});
    }
  }

  void Advance(Runner& runner) {
    std::vector<Running> finished;
    for (auto& running : runner.running) {
      running.steps_left -= 1;
      if (running.steps_left == 0) {
        finished.push_back(running);
      }
    }
    for (const auto& running : finished) {
      if (this->IsCrashing(running.fingerprint)) {
        this->crashes_caused[running.fingerprint] += 1;
        this->Crash(runner);
        return;
      }
    }
    std::erase_if(runner.running, [](const Running& running) { return running.steps_left == 0; });
    for (const auto& running : finished) {
      if (this->trackers[running.router].OnSuccess(running.fingerprint)) {
        this->Broadcast(running.router, [fingerprint = running.fingerprint](CrashTracker& tracker) {
          tracker.OnSuccess(fingerprint);
        });
      }
    }
  }

  void Crash(Runner& runner) {
    const auto crash = fmt::format("{}/{}", &runner - this->runners.data(), runner.incarnation);
    for (unsigned router = 0; router < kRouters; ++router) {
      std::vector<Fingerprint> own;
      for (const auto& running : runner.running) {
        if (running.router == router) {
          own.push_back(running.fingerprint);
        }
      }
      for (const auto& suspicion : this->trackers[router].OnRunnerCrash(this->now, crash, own)) {
        this->Broadcast(router, [this, suspicion](CrashTracker& tracker) {
          tracker.MergeSuspicion(this->now, suspicion);
        });
      }
    }
    runner.incarnation += 1;
    runner.running.clear();
  }

  std::mt19937_64 random;
  unsigned crashing_requests;
  bool isolate_fleet_wide;
  core::TimePoint now = core::TimePoint(std::chrono::hours(1));
  std::vector<Fingerprint> names;
  std::vector<CrashTracker> trackers = {CrashTracker(1), CrashTracker(2), CrashTracker(3)};
  std::vector<Runner> runners = std::vector<Runner>(kRunners);
  std::multimap<core::TimePoint, std::function<void()>> notices;
};

// Guards against a crashing request that is never quarantined, and against a harmless request that
// is quarantined because it ran beside one. With fleet-wide isolation, each router may cause at
// most two crashes with the same request: one before it receives the suspicion and one with the
// request alone.
RC_GTEST_PROP(CrashTrackerProperty, QuarantinesCrashingRequestsOnly, ()) {
  const auto crashing_requests = *rc::gen::inRange(0U, 4U);
  const auto harmless_requests = *rc::gen::inRange(1U, 10U);
  const bool isolate_fleet_wide = *rc::gen::arbitrary<bool>();
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  for (unsigned repeat = 0; repeat < 5; ++repeat) {
    Fleet fleet(seed + repeat, crashing_requests, harmless_requests, isolate_fleet_wide);
    for (unsigned step = 0; step < 2000; ++step) {
      fleet.Step();
    }
    for (const auto& fingerprint : fleet.quarantined) {
      RC_ASSERT(fleet.IsCrashing(fingerprint));
    }
    for (const auto& [fingerprint, crashes_caused] : fleet.crashes_caused) {
      RC_ASSERT(fleet.quarantined.contains(fingerprint));
      RC_ASSERT(!isolate_fleet_wide || crashes_caused <= 2 * kRouters);
    }
  }
}

// Guards against counting a crash twice because its notice was repeated or came from two routers,
// against a quarantine before all notices about a crash have arrived, and against a quarantine that
// never ends.
TEST(CrashTrackerTest, CountsEachCrashOnceAndWaitsForNotices) {
  CrashTracker tracker(1);
  core::TimePoint now(std::chrono::hours(1));
  const std::vector<Fingerprint> own = {"a"};
  tracker.OnRunnerCrash(now, "runner/1", own);
  tracker.MergeSuspicion(now, {"a", "runner/1", 2, 1});
  tracker.MergeSuspicion(now, {"a", "runner/1", 2, 1});
  now += CrashTracker::kSettleTime;
  EXPECT_EQ(tracker.VerdictFor(now, "a"), CrashVerdict::kRunAlone);
  EXPECT_TRUE(tracker.MustRunAlone(now, "a"));
  tracker.MergeSuspicion(now, {"a", "runner/2", 3, 2});
  EXPECT_EQ(tracker.VerdictFor(now, "a"), CrashVerdict::kQuarantined)
      << "it was the only request in flight in crash runner/1";
  EXPECT_EQ(tracker.Tick(now), std::vector<Fingerprint>{"a"});
  EXPECT_TRUE(tracker.Tick(now).empty());
  EXPECT_EQ(tracker.VerdictFor(now + CrashTracker::kRetention, "a"), CrashVerdict::kAllowed);

  tracker.MergeSuspicion(now, {"b", "runner/3", 2, 1});
  tracker.MergeSuspicion(now, {"b", "runner/4", 2, 2});
  EXPECT_EQ(tracker.VerdictFor(now, "b"), CrashVerdict::kPending);
  tracker.MergeSuspicion(now, {"c", "runner/3", 3, 1});
  now += CrashTracker::kSettleTime;
  EXPECT_EQ(tracker.VerdictFor(now, "b"), CrashVerdict::kRunAlone)
      << "the report on crash runner/4 is incomplete";
  EXPECT_TRUE(tracker.OnSuccess("c"));
  EXPECT_EQ(tracker.VerdictFor(now, "b"), CrashVerdict::kQuarantined)
      << "c succeeded, so only b can have caused crash runner/3";
  tracker.Forget("b");
  EXPECT_EQ(tracker.VerdictFor(now, "b"), CrashVerdict::kAllowed);

  tracker.MergeSuspicion(now, {"d", "runner/5", 2, 2});
  tracker.MergeSuspicion(now, {"e", "runner/5", 2, 2});
  tracker.MergeSuspicion(now, {"e", "runner/6", 2, 2});
  tracker.Forget("d");
  now += CrashTracker::kSettleTime;
  EXPECT_EQ(tracker.VerdictFor(now, "e"), CrashVerdict::kRunAlone)
      << "clearing d does not show that e caused crash runner/5";
}

// Guards against memory that grows without limit with the number of crashes and suspects.
TEST(CrashTrackerTest, BoundsSuspectsAndCrashes) {
  CrashTracker tracker(1);
  const core::TimePoint now(std::chrono::hours(1));
  for (unsigned index = 0; index < 3000; ++index) {
    tracker.MergeSuspicion(now, {fmt::format("f{}", index), fmt::format("c{}", index / 2), 2, 2});
  }
  EXPECT_LE(tracker.suspects(), CrashTracker::kMaximumSuspects);
  EXPECT_LE(tracker.crashes(), CrashTracker::kMaximumCrashes);
}

}  // namespace
}  // namespace pomelospar::admission
