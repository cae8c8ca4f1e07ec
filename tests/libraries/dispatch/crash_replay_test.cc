// Replays runners that crash under one part of prompts, and for reasons of their own, in virtual
// time: several routers, lost reports, restarted routers. Checked by what reaches the runners.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/dispatch/crash_suspects.h"

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Duration kStep = milliseconds(10);
constexpr std::uint64_t kFirstParts = 4;
constexpr std::uint64_t kMiddleParts = 200;
constexpr std::uint64_t kCrashingPart = 0xbad;

struct ReplayPlan {
  std::uint32_t seed = 0;
  std::size_t routers = 7;
  std::size_t runners = 10;
  core::Duration report_period = milliseconds(80);
  double lost_reports = 0.2;
  double sound_per_second = 120.0;
  double crashing_per_second = 3.0;
  /// Single runners that crash for reasons of their own.
  double crashes_per_second = 0.1;
  /// Times at which a third of the runners crash at once.
  std::vector<core::Duration> mass_crashes;
  std::vector<core::Duration> router_restarts;
  core::Duration length = seconds(60);
};

struct ReplayResult {
  /// Times at which requests with the crashing part reached a runner, and of the crashes under it.
  std::vector<core::TimePoint> crashing_arrivals;
  std::vector<core::TimePoint> crashes_under_part;
  /// Sound requests, and those of them that were refused as suspects, by their time.
  std::vector<core::TimePoint> sound;
  std::vector<core::TimePoint> sound_refused;
  /// Refused sound requests whose first part was the reason.
  std::size_t refused_by_first_part = 0;
};

class CrashReplay {
 public:
  explicit CrashReplay(const ReplayPlan& replay_plan)
      : plan(replay_plan),
        random(replay_plan.seed),
        routers(replay_plan.routers),
        runners(replay_plan.runners) {}

  ReplayResult Run() {
    const auto start = this->clock.now();
    while (this->clock.now() - start < this->plan.length) {
      this->elapsed = this->clock.now() - start;
      this->PlayFaults();
      this->EndRuns();
      this->SendAll(this->plan.sound_per_second, false);
      if (this->elapsed > seconds(5)) this->SendAll(this->plan.crashing_per_second, true);
      this->Report();
      this->clock.Advance(kStep);
    }
    return std::move(this->result);
  }

 private:
  struct Running {
    std::size_t router = 0;
    std::vector<std::uint64_t> subjects;
    bool is_crashing = false;
    bool is_retry = false;
    core::TimePoint end;
  };
  struct SimulatedRunner {
    std::uint64_t run = 0;
    std::optional<core::TimePoint> back_at;
    std::vector<Running> running;
  };

  double Draw() { return std::uniform_real_distribution<double>(0.0, 1.0)(this->random); }
  std::size_t DrawBelow(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
  }
  bool IsDue(core::Duration time) const {
    return time >= this->elapsed && time < this->elapsed + kStep;
  }
  static double StepSeconds() { return std::chrono::duration<double>(kStep).count(); }

  void PlayFaults() {
    for (const auto time : this->plan.router_restarts) {
      if (this->IsDue(time)) this->routers[this->DrawBelow(this->routers.size())] = {};
    }
    const bool mass_crash =
        std::any_of(this->plan.mass_crashes.begin(), this->plan.mass_crashes.end(),
                    [&](core::Duration time) { return this->IsDue(time); });
    for (auto& runner : this->runners) {
      if (runner.back_at && this->clock.now() >= *runner.back_at) runner.back_at.reset();
      const double share =
          this->plan.crashes_per_second * StepSeconds() / static_cast<double>(this->runners.size());
      if (this->Draw() < (mass_crash ? 1.0 / 3.0 : share)) this->Crash(runner);
    }
  }

  void Crash(SimulatedRunner& runner) {
    if (runner.back_at) return;
    const auto crash =
        core::CombineHashes(static_cast<std::uint64_t>(&runner - &this->runners[0]), ++runner.run);
    std::vector<std::vector<std::uint64_t>> subjects(this->routers.size());
    const auto interrupted = std::exchange(runner.running, {});
    for (const auto& request : interrupted) {
      auto& own = subjects[request.router];
      own.insert(own.end(), request.subjects.begin(), request.subjects.end());
    }
    for (std::size_t router = 0; router < this->routers.size(); ++router) {
      if (subjects[router].empty()) continue;
      this->routers[router].RecordLocalCrash(this->clock.now(), crash, subjects[router]);
    }
    runner.back_at = this->clock.now() + milliseconds(1500 + this->DrawBelow(3000));
    for (const auto& request : interrupted) {
      if (request.is_crashing || request.is_retry) continue;
      auto retry = request;
      retry.is_retry = true;
      this->Place(retry);
    }
  }

  void EndRuns() {
    const auto now = this->clock.now();
    for (auto& runner : this->runners) {
      const auto fatal = std::find_if(
          runner.running.begin(), runner.running.end(),
          [&](const Running& request) { return request.is_crashing && request.end <= now; });
      if (fatal != runner.running.end()) {
        this->result.crashes_under_part.push_back(now);
        this->Crash(runner);
        continue;
      }
      std::erase_if(runner.running, [&](const Running& request) {
        if (request.end > now) return false;
        this->routers[request.router].OnAnswer(now, request.subjects);
        return true;
      });
    }
  }

  void SendAll(double per_second, bool is_crashing) {
    double expected = per_second * StepSeconds() + this->Draw();
    for (; expected >= 1.0; expected -= 1.0) this->Send(is_crashing);
  }

  void Send(bool is_crashing) {
    const std::uint64_t middle = is_crashing ? kCrashingPart : 1000 + this->DrawBelow(kMiddleParts);
    const std::vector<PromptPart> parts = {
        {this->DrawBelow(kFirstParts), 100.0}, {middle, 100.0}, {this->random(), 100.0}};
    Running request = {
        .router = this->DrawBelow(this->routers.size()),
        .subjects = SubjectsOf("w", "POST", "/s/", std::to_string(this->random()), parts),
        .is_crashing = is_crashing};
    if (!is_crashing) this->result.sound.push_back(this->clock.now());
    this->Place(request);
  }

  void Place(Running request) {
    const auto now = this->clock.now();
    auto& router = this->routers[request.router];
    std::vector<std::uint64_t> trials;
    for (std::size_t index = 0; index < request.subjects.size(); ++index) {
      const auto subject = request.subjects[index];
      const auto verdict = router.VerdictFor(now, subject);
      if (verdict == SuspectVerdict::kTrial) trials.push_back(subject);
      if (verdict != SuspectVerdict::kRefused) continue;
      router.OnRefused(now, subject);
      if (!request.is_crashing && !request.is_retry) {
        this->result.sound_refused.push_back(now);
        if (index == 1) ++this->result.refused_by_first_part;
      }
      return;
    }
    std::vector<SimulatedRunner*> up;
    for (auto& runner : this->runners) {
      if (!runner.back_at) up.push_back(&runner);
    }
    if (up.empty()) return;
    for (const auto subject : trials) {
      if (!this->GrantsTrial(request.router, subject)) return;
    }
    if (request.is_crashing) this->result.crashing_arrivals.push_back(now);
    request.end = now + milliseconds(request.is_crashing ? 50 : 200 + this->DrawBelow(1500));
    up[this->DrawBelow(up.size())]->running.push_back(std::move(request));
  }

  bool GrantsTrial(std::size_t router, std::uint64_t subject) {
    const auto now = this->clock.now();
    std::size_t coordinator = 0;
    for (std::size_t other = 1; other < this->routers.size(); ++other) {
      if (core::CombineHashes(subject, other) > core::CombineHashes(subject, coordinator)) {
        coordinator = other;
      }
    }
    // The proposal or the reply may be lost.
    const bool is_granted = this->Draw() >= this->plan.lost_reports &&
                            this->routers[coordinator].TryGrantTrial(now, subject);
    if (is_granted) {
      this->routers[router].BeginTrial(now, subject);
    } else {
      this->routers[router].DeferTrial(now, subject);
    }
    return is_granted;
  }

  void Report() {
    const auto now = this->clock.now();
    for (std::size_t sender = 0; sender < this->routers.size(); ++sender) {
      const auto offset = kStep * static_cast<std::int64_t>(sender);
      if ((this->elapsed + offset) % this->plan.report_period >= kStep) continue;
      static_cast<void>(this->routers[sender].Update(now));
      const auto news = this->routers[sender].TakeNews(now);
      for (std::size_t receiver = 0; receiver < this->routers.size(); ++receiver) {
        if (receiver == sender || this->Draw() < this->plan.lost_reports) continue;
        this->routers[receiver].Apply(now, news);
      }
    }
  }

  ReplayPlan plan;
  std::mt19937 random;
  core::ManualClock clock;
  core::Duration elapsed{};
  std::vector<CrashSuspects> routers;
  std::vector<SimulatedRunner> runners;
  ReplayResult result;
};

std::size_t CountAfter(const std::vector<core::TimePoint>& times, core::TimePoint from) {
  return static_cast<std::size_t>(
      std::count_if(times.begin(), times.end(), [&](core::TimePoint time) { return time > from; }));
}

// The users' limits.
constexpr std::size_t kCrashes = 5;
constexpr core::Duration kContactTime = seconds(3);
constexpr std::size_t kRequestsAfterContainment = 3;
// Share of the sound requests that may be refused as suspects once the part is contained.
constexpr double kRefusedShare = 0.02;

void CheckContainment(const ReplayPlan& plan) {
  const auto result = CrashReplay(plan).Run();
  const auto& crashes = result.crashes_under_part;
  ASSERT_GE(crashes.size(), CrashSuspects::kCrashMoments) << "seed " << plan.seed;
  const auto last = crashes[std::min(kCrashes, crashes.size()) - 1];
  if (crashes.size() >= kCrashes) {
    EXPECT_LE(CountAfter(result.crashing_arrivals, last + kContactTime), kRequestsAfterContainment)
        << "seed " << plan.seed;
  }
  const auto from = crashes[CrashSuspects::kCrashMoments - 1] + 2 * kContactTime;
  const auto sound = static_cast<double>(CountAfter(result.sound, from));
  const auto refused = static_cast<double>(CountAfter(result.sound_refused, from));
  EXPECT_LE(refused, sound * kRefusedShare) << "seed " << plan.seed;
  EXPECT_EQ(result.refused_by_first_part, 0U) << "seed " << plan.seed;
}

TEST(CrashReplayTest, ContainsAPartInASmallFleet) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    CheckContainment({.seed = seed,
                      .crashing_per_second = 0.5 + seed % 8,
                      .mass_crashes = {seconds(seed % 30), seconds(40)},
                      .router_restarts = {seconds(8), seconds(12), seconds(20), seconds(20),
                                          seconds(21), seconds(35)}});
  }
}

TEST(CrashReplayTest, ContainsAPartInALargeFleet) {
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    CheckContainment({.seed = seed,
                      .routers = 81,
                      .runners = 40,
                      .report_period = milliseconds(250),
                      .sound_per_second = 400.0,
                      .crashing_per_second = 5.0,
                      .router_restarts = {seconds(8), seconds(20), seconds(20), seconds(30)}});
  }
}

// Without a request at fault, crashes of single runners and of a third of all must not get sound
// requests refused.
TEST(CrashReplayTest, ServesSoundRequestsBesideOrdinaryCrashes) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    const ReplayPlan plan = {.seed = seed,
                             .crashing_per_second = 0.0,
                             .crashes_per_second = 0.5,
                             .mass_crashes = {seconds(6), seconds(7), seconds(25)},
                             .router_restarts = {seconds(10), seconds(30)}};
    const auto result = CrashReplay(plan).Run();
    EXPECT_EQ(result.refused_by_first_part, 0U) << "seed " << seed;
    EXPECT_LE(static_cast<double>(result.sound_refused.size()),
              static_cast<double>(result.sound.size()) * kRefusedShare)
        << "seed " << seed;
  }
}

}  // namespace
}  // namespace pomelospar::dispatch
