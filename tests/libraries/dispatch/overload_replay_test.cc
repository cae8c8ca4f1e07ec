// Replays loads beyond the capacity of the engines in virtual time, with the decision functions of
// one router and with engines that prefill one prompt after another in order of arrival.

#include <gmock/gmock.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "libraries/core/milliseconds.h"
#include "libraries/dispatch/admission.h"
#include "libraries/dispatch/placement.h"
#include "libraries/dispatch/recent_work.h"
#include "libraries/dispatch/share_window.h"

namespace pomelospar::dispatch {
namespace {

using core::ToMilliseconds;
using std::chrono::milliseconds;

struct Arrival {
  double at_ms = 0.0;
  std::string workspace;
  double prompt_tokens = 0.0;
  double objective_ms = 0.0;
};

/// The decisions that a replay can exchange.
struct Decisions {
  std::function<core::Duration(core::Duration objective)> hold_limit;
  std::function<bool(const AdmissionContext&, const AdmissionContext&)> is_tried_before;
  std::function<core::Duration(const RecentWork&)> limiting_objective;
};

Decisions CurrentDecisions() {
  return {
      [](core::Duration objective) { return HoldLimit(objective, std::chrono::seconds(10), {}); },
      IsTriedBefore, [](const RecentWork& recent) { return recent.LimitingObjective(); }};
}

struct Outcome {
  double in_time = 0.0;
  double asked = 0.0;
  double in_time_tokens = 0.0;
  double share() const { return this->asked > 0.0 ? this->in_time / this->asked : 1.0; }
};

/// An engine that prefills one prompt after another, and what the router knows of it.
struct Engine {
  struct Sent {
    double prefill_ms = 0.0;
    double first_event_at_ms = 0.0;
  };
  double busy_until_ms = 0.0;
  /// Prompts without a first event so far, which is the only sign of progress for the router.
  std::deque<Sent> unfinished;

  double KnownQueueMs() const {
    return std::accumulate(this->unfinished.begin(), this->unfinished.end(), 0.0,
                           [](double sum, const Sent& sent) { return sum + sent.prefill_ms; });
  }
};

/// One router before a few engines. Refused requests do not come back.
class Replay {
 public:
  Replay(std::size_t count, const Decisions& decisions) : engines(count), decide(decisions) {}

  std::map<std::string, Outcome> Run(const std::vector<Arrival>& arrivals) {
    std::size_t next = 0;
    for (this->now_ms = 0.0; this->now_ms < 20'000.0; this->now_ms += kTickMs) {
      for (; next < arrivals.size() && arrivals[next].at_ms <= this->now_ms; ++next) {
        this->Arrive(arrivals[next]);
      }
      this->ReceiveFirstEvents();
      this->TryWaiting();
    }
    return this->outcomes;
  }

 private:
  static constexpr double kTickMs = 5.0;
  static constexpr double kShareWindowMs = 1000.0;
  struct Waiting {
    Arrival arrival;
    AdmissionContext context;
  };

  double PrefillTime(const Arrival& arrival) const {
    return PrefillMs(this->speed, arrival.prompt_tokens, arrival.prompt_tokens, 0.0);
  }

  core::TimePoint Now() const {
    return core::TimePoint(std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double, std::milli>(this->now_ms)));
  }

  SlidingSum& WindowOf(std::map<std::string, SlidingSum>& windows, const std::string& workspace) {
    return windows.try_emplace(workspace, milliseconds(static_cast<int>(kShareWindowMs)))
        .first->second;
  }

  double ShareUse(const Arrival& arrival) {
    std::vector<double> demands;
    for (const auto& [workspace, sum] : this->asked) demands.push_back(sum.Sum(this->Now()));
    const double tokens_per_ms = 1.0 / PrefillMs(this->speed, 1.0, 6'000.0, 0.0);
    const double capacity =
        tokens_per_ms * kShareWindowMs * static_cast<double>(this->engines.size());
    const double served = this->WindowOf(this->served, arrival.workspace).Sum(this->Now());
    return (served + arrival.prompt_tokens) / MaxMinLevel(demands, capacity);
  }

  void ReceiveFirstEvents() {
    for (auto& engine : this->engines) {
      while (!engine.unfinished.empty() &&
             engine.unfinished.front().first_event_at_ms <= this->now_ms) {
        engine.unfinished.pop_front();
      }
    }
  }

  void Arrive(const Arrival& arrival) {
    this->WindowOf(this->asked, arrival.workspace).Add(this->Now(), arrival.prompt_tokens);
    this->outcomes[arrival.workspace].asked += 1.0;
    const auto objective = milliseconds(static_cast<int>(arrival.objective_ms));
    this->recent.AddPrompt(objective, this->PrefillTime(arrival));
    Waiting waiting = {arrival, {.share_use = this->ShareUse(arrival)}};
    const auto position =
        std::find_if(this->queue.begin(), this->queue.end(), [&](const Waiting& other) {
          return this->decide.is_tried_before(waiting.context, other.context);
        });
    this->queue.insert(position, std::move(waiting));
  }

  // Like the wait queue of a router, stops after several failures in a row.
  void TryWaiting() {
    constexpr int kMaxFailuresInARow = 6;
    this->queue.remove_if([this](const Waiting& waiting) {
      const auto objective = milliseconds(static_cast<int>(waiting.arrival.objective_ms));
      return this->now_ms - waiting.arrival.at_ms >
             ToMilliseconds(this->decide.hold_limit(objective));
    });
    int failures = 0;
    for (auto entry = this->queue.begin();
         entry != this->queue.end() && failures < kMaxFailuresInARow;) {
      const bool placed = this->TryPlace(*entry);
      failures = placed ? 0 : failures + 1;
      entry = placed ? this->queue.erase(entry) : std::next(entry);
    }
  }

  bool TryPlace(Waiting& waiting) {
    const auto& arrival = waiting.arrival;
    waiting.context.share_use = this->ShareUse(arrival);
    const double prefill_ms = this->PrefillTime(arrival);
    const double limit =
        QueueWaitLimitMs(this->speed, ToMilliseconds(this->decide.limiting_objective(this->recent)),
                         prefill_ms, this->recent.TypicalPrefillMs(), waiting.context);
    auto& engine = *std::min_element(this->engines.begin(), this->engines.end(),
                                     [](const auto& left, const auto& right) {
                                       return left.KnownQueueMs() < right.KnownQueueMs();
                                     });
    if (engine.KnownQueueMs() > limit) return false;
    engine.busy_until_ms = std::max(engine.busy_until_ms, this->now_ms) + prefill_ms;
    const double first_event_at_ms = engine.busy_until_ms + this->speed.first_event_ms;
    engine.unfinished.push_back({prefill_ms, first_event_at_ms});
    this->WindowOf(this->served, arrival.workspace).Add(this->Now(), arrival.prompt_tokens);
    const double first_event_ms = first_event_at_ms - arrival.at_ms;
    if (first_event_ms <= arrival.objective_ms) {
      auto& outcome = this->outcomes[arrival.workspace];
      outcome.in_time += 1.0;
      outcome.in_time_tokens += arrival.prompt_tokens;
    }
    return true;
  }

  EngineSpeed speed;
  std::vector<Engine> engines;
  Decisions decide;
  RecentWork recent;
  double now_ms = 0.0;
  std::list<Waiting> queue;
  std::map<std::string, SlidingSum> asked;
  std::map<std::string, SlidingSum> served;
  std::map<std::string, Outcome> outcomes;
};

/// Adds arrivals at random times with a mean interval in milliseconds.
void AddArrivals(std::vector<Arrival>& arrivals, const Arrival& like, double interval_ms,
                 std::mt19937_64& random) {
  std::exponential_distribution<> interval(1.0 / interval_ms);
  for (double at_ms = interval(random); at_ms < 20'000.0; at_ms += interval(random)) {
    auto arrival = like;
    arrival.at_ms = at_ms;
    arrivals.push_back(arrival);
  }
}

std::vector<Arrival> InOrder(std::vector<Arrival> arrivals) {
  std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival& left, const Arrival& right) {
    return left.at_ms < right.at_ms;
  });
  return arrivals;
}

double InTimeTokens(const std::map<std::string, Outcome>& outcomes) {
  double tokens = 0.0;
  for (const auto& [workspace, outcome] : outcomes) tokens += outcome.in_time_tokens;
  return tokens;
}

// One workspace sends four times what the engines prefill, six others send little. The requests of
// the large one must not stand before those of the small ones, whose time to wait would end behind
// them.
TEST(OverloadReplayTest, AFloodingWorkspaceDoesNotDelayTheOthers) {
  std::mt19937_64 random(20261204);
  std::vector<Arrival> arrivals;
  AddArrivals(arrivals, {0.0, "large", 8'000.0, 800.0}, 2.0, random);
  for (int small = 0; small < 6; ++small) {
    AddArrivals(arrivals, {0.0, "small", 8'000.0, 800.0}, 400.0, random);
  }
  arrivals = InOrder(std::move(arrivals));
  const auto outcomes = Replay(4, CurrentDecisions()).Run(arrivals);
  auto by_arrival = CurrentDecisions();
  by_arrival.is_tried_before = [](const AdmissionContext&, const AdmissionContext&) {
    return false;
  };
  const auto baseline = Replay(4, by_arrival).Run(arrivals);
  RecordProperty("small_in_time", std::to_string(outcomes.at("small").share()));
  RecordProperty("small_in_time_by_arrival", std::to_string(baseline.at("small").share()));
  EXPECT_GE(outcomes.at("small").share(), 0.95);
  EXPECT_GT(outcomes.at("small").share(), baseline.at("small").share());
}

// Load comes in bursts that the engines could serve within the objective, with pauses between them.
// A request must not be refused while a place in time for its objective is ahead of it.
TEST(OverloadReplayTest, RequestsOfABurstWaitForAPlaceInTime) {
  std::vector<Arrival> arrivals;
  for (double burst_ms = 0.0; burst_ms < 20'000.0; burst_ms += 1'000.0) {
    for (int request = 0; request < 16; ++request) {
      arrivals.push_back({burst_ms, "workspace-" + std::to_string(request), 10'000.0, 900.0});
    }
  }
  const auto outcomes = Replay(3, CurrentDecisions()).Run(arrivals);
  auto short_hold = CurrentDecisions();
  short_hold.hold_limit = [](core::Duration objective) { return objective / 8; };
  const double in_time = InTimeTokens(outcomes);
  EXPECT_GT(in_time, InTimeTokens(Replay(3, short_hold).Run(arrivals)));
  EXPECT_GE(in_time, 0.95 * 10'000.0 * static_cast<double>(arrivals.size()));
}

// Most requests are short and have the tightest objective; large prompts with a wider objective
// cause most of the work and are beyond the capacity. Queues that are limited by the tightest
// objective leave engines idle between two large prompts.
TEST(OverloadReplayTest, ATightObjectiveOfShortPromptsDoesNotIdleTheEngines) {
  std::mt19937_64 random(7);
  std::vector<Arrival> arrivals;
  for (int workspace = 0; workspace < 8; ++workspace) {
    const auto name = "workspace-" + std::to_string(workspace);
    AddArrivals(arrivals, {0.0, name, 17'000.0, 800.0}, 220.0, random);
    AddArrivals(arrivals, {0.0, name, 1'400.0, 300.0}, 200.0, random);
  }
  arrivals = InOrder(std::move(arrivals));
  const auto outcomes = Replay(4, CurrentDecisions()).Run(arrivals);
  auto tightest = CurrentDecisions();
  tightest.limiting_objective = [](const RecentWork&) { return milliseconds(300); };
  EXPECT_GT(InTimeTokens(outcomes), 1.05 * InTimeTokens(Replay(4, tightest).Run(arrivals)));
}

}  // namespace
}  // namespace pomelospar::dispatch
