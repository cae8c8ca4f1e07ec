// Replays a flood against the share and admission decisions of several routers in virtual time.
// Engines prefill one prompt after another in order of arrival. A router knows at once what it sent
// itself, and from reports what the others sent and served; a coordinator that knows the load of
// each engine confirms placements.

#include <gmock/gmock.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "libraries/core/identifiers.h"
#include "libraries/core/milliseconds.h"
#include "libraries/dispatch/admission.h"
#include "libraries/dispatch/engine_model.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {
namespace {

using core::ToMilliseconds;
using std::chrono::milliseconds;

constexpr int kSeconds = 16;
constexpr milliseconds kTick{5};
constexpr milliseconds kReportPeriod{250};
constexpr milliseconds kObjective{800};
constexpr milliseconds kCallerTimeout{12'000};
constexpr double kPromptTokens = 10'000.0;
constexpr double kDeclaredTokensPerSecond = 2'000'000.0;

/// Tokens of one workspace by second of arrival and of placement.
struct Record {
  std::array<double, kSeconds> asked{};
  std::array<double, kSeconds> got{};
  std::array<bool, kSeconds> has_refusal{};
};

struct Demand {
  std::string workspace;
  /// Tokens of each prompt that no engine has in its cache.
  double uncached_tokens = 0.0;
  double requests_per_second = 0.0;
  /// Positions of the routers that the callers connect to.
  std::vector<std::size_t> entries;
  double from_second = 0.0;
};

struct Engine {
  struct Sent {
    std::size_t router = 0;
    double tokens = 0.0;
    core::TimePoint first_event_at;
  };
  core::TimePoint busy_until{};
  /// Prompts without a first event so far, which is the only sign of progress for routers.
  std::deque<Sent> unfinished;
  /// Not in the list of runners before this time.
  core::TimePoint lost_until{};

  double SentBy(std::size_t router) const {
    return std::accumulate(this->unfinished.begin(), this->unfinished.end(), 0.0,
                           [&](double sum, const Sent& sent) {
                             return sent.router == router ? sum + sent.tokens : sum;
                           });
  }
  double SentByAll() const {
    return std::accumulate(this->unfinished.begin(), this->unfinished.end(), 0.0,
                           [](double sum, const Sent& sent) { return sum + sent.tokens; });
  }
};

/// Uncached tokens that other routers sent to an engine, as its coordinator told them.
struct ToldLoad {
  double tokens = 0.0;
  core::TimePoint at{};
};

struct Request {
  std::string workspace;
  double uncached_tokens = 0.0;
  bool is_caller_retry = false;
};

struct Return {
  core::TimePoint at;
  std::size_t router = 0;
  Request request;
};

/// One router: its state, its queue and the requests in the queue.
struct Router {
  struct Waiting {
    Request request;
    dispatch::AdmissionContext context;
    core::TimePoint until;
  };

  Router(boost::asio::io_context& io, core::Clock clock, core::BufferedLog& log)
      : state(io, std::move(clock), Settings(), log) {
    auto policy = std::make_shared<dispatch::Policy>();
    policy->tokens_per_second = kDeclaredTokensPerSecond;
    this->state.policy = policy;
  }

  static adapter::InstanceSettings Settings() {
    adapter::InstanceSettings settings;
    settings.share_window = std::chrono::seconds(4);
    return settings;
  }

  RouterState state;
  std::list<Waiting> queue;
  /// By engine.
  std::vector<ToldLoad> told;
  std::vector<double> reported_tokens;
  std::uint64_t reports = 0;
};

class Fleet {
 public:
  Fleet(std::size_t router_count, std::size_t engine_count, std::uint64_t seed)
      : engines(engine_count), random(seed) {
    for (std::size_t index = 0; index < router_count; ++index) {
      this->routers.push_back(this->StartRouter());
    }
  }

  void LoseEngines(core::Duration from, core::Duration until, std::size_t count) {
    this->losses.push_back({core::TimePoint(from), core::TimePoint(until), count});
  }
  void RestartRouters(core::Duration at, std::size_t count) {
    this->restarts.emplace_back(core::TimePoint(at), count);
  }

  std::map<std::string, Record> Run(const std::vector<Demand>& demands) {
    while (this->Second() < kSeconds) {
      this->PlayTroubles();
      for (const auto& demand : demands) this->Arrive(demand);
      this->ArriveAgain();
      this->FinishPrompts();
      this->SendReports();
      this->TryAllQueues();
      this->manual_clock.Advance(kTick);
      ++this->ticks;
    }
    return this->records;
  }

 private:
  struct Loss {
    core::TimePoint from;
    core::TimePoint until;
    std::size_t count = 0;
  };

  std::unique_ptr<Router> StartRouter() {
    auto router = std::make_unique<Router>(this->io, this->manual_clock.clock(), this->log);
    router->told.resize(this->engines.size());
    router->reported_tokens.resize(this->engines.size());
    return router;
  }

  core::TimePoint Now() const { return this->manual_clock.now(); }
  std::size_t Second() {
    return static_cast<std::size_t>(ToMilliseconds(this->ticks * kTick) / 1000.0);
  }
  core::TimePoint At(core::TimePoint offset) { return this->start + offset.time_since_epoch(); }

  void PlayTroubles() {
    for (auto& loss : this->losses) {
      if (loss.count == 0 || this->Now() < this->At(loss.from)) continue;
      for (std::size_t index = 0; index < loss.count; ++index) {
        this->engines[index] = {.lost_until = this->At(loss.until)};
      }
      loss.count = 0;
    }
    for (auto& [at, count] : this->restarts) {
      if (count == 0 || this->Now() < this->At(at)) continue;
      for (std::size_t index = 0; index < count; ++index) {
        this->routers[index] = this->StartRouter();
      }
      count = 0;
    }
  }

  void Arrive(const Demand& demand) {
    const double tick_seconds = ToMilliseconds(kTick) / 1000.0;
    if (ToMilliseconds(this->Now() - this->start) < demand.from_second * 1000.0) return;
    std::poisson_distribution<int> arrivals(demand.requests_per_second * tick_seconds);
    for (int left = arrivals(this->random); left > 0; --left) {
      const auto entry = this->random() % demand.entries.size();
      this->records[demand.workspace].asked[this->Second()] += kPromptTokens;
      this->Admit(demand.entries[entry], {demand.workspace, demand.uncached_tokens, false});
    }
  }

  // Refused callers come back once, to the router that refused them.
  void ArriveAgain() {
    const auto now = this->Now();
    const auto due = std::partition(this->returns.begin(), this->returns.end(),
                                    [&](const Return& entry) { return entry.at > now; });
    std::vector<Return> arriving(due, this->returns.end());
    this->returns.erase(due, this->returns.end());
    for (auto& entry : arriving) {
      entry.request.is_caller_retry = true;
      this->Admit(entry.router, std::move(entry.request));
    }
  }

  void Admit(std::size_t index, Request request) {
    auto& router = *this->routers[index];
    WindowOf(router.state, request.workspace).asked.Add(this->Now(), kPromptTokens);
    Router::Waiting waiting = {std::move(request), {}, {}};
    waiting.context.is_caller_retry = waiting.request.is_caller_retry;
    waiting.until = this->Now() + dispatch::HoldLimit(kObjective, kCallerTimeout, waiting.context);
    if (this->TryPlace(index, waiting)) return;
    const auto position = std::find_if(
        router.queue.begin(), router.queue.end(),
        [&](const auto& other) { return dispatch::IsTriedBefore(waiting.context, other.context); });
    router.queue.insert(position, std::move(waiting));
  }

  bool TryPlace(std::size_t index, Router::Waiting& waiting) {
    constexpr int kMaxProposals = 6;
    auto& state = this->routers[index]->state;
    const auto& workspace = waiting.request.workspace;
    if (TimeUntilAllowed(state, workspace) > core::Duration::zero()) return false;
    waiting.context.share_use = ShareUse(state, workspace, kPromptTokens);
    const double prefill_ms = dispatch::PrefillMs(
        state.engine_speed, waiting.request.uncached_tokens, kPromptTokens, 0.0);
    const double limit_ms = dispatch::QueueWaitLimitMs(
        state.engine_speed, ToMilliseconds(kObjective), prefill_ms, prefill_ms, waiting.context);
    for (int proposal = 1; proposal <= kMaxProposals; ++proposal) {
      auto* engine = this->ShortestQueue(index);
      if (engine == nullptr) return false;
      const double seen = this->SeenTokens(index, *engine);
      if (dispatch::QueueMs({}, {.prefill_tokens = seen}) > limit_ms) return false;
      if (proposal < kMaxProposals && !this->IsConfirmed(index, *engine, seen)) continue;
      this->Send(index, *engine, waiting.request, prefill_ms);
      return true;
    }
    return false;
  }

  /// Uncached tokens that the router believes the engine has to prefill.
  double SeenTokens(std::size_t index, const Engine& engine) const {
    constexpr milliseconds kReportAge{200};
    const auto position = static_cast<std::size_t>(&engine - this->engines.data());
    const auto& told = this->routers[index]->told[position];
    const double own = engine.SentBy(index);
    if (this->Now() - told.at < kReportAge) return own + told.tokens;
    double others = 0.0;
    for (std::size_t other = 0; other < this->routers.size(); ++other) {
      if (other != index) others += this->routers[other]->reported_tokens[position];
    }
    return own + others;
  }

  bool IsConfirmed(std::size_t index, const Engine& engine, double seen) {
    constexpr double kToleratedTokens = 1'000.0;
    const auto position = static_cast<std::size_t>(&engine - this->engines.data());
    this->routers[index]->told[position] = {engine.SentByAll() - engine.SentBy(index), this->Now()};
    return engine.SentByAll() <= seen + kToleratedTokens;
  }

  void Send(std::size_t index, Engine& engine, const Request& request, double prefill_ms) {
    auto& state = this->routers[index]->state;
    const auto& workspace = request.workspace;
    const auto prefill = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double, std::milli>(prefill_ms));
    const milliseconds first_event(static_cast<int>(state.engine_speed.first_event_ms));
    const auto begins_at = std::max(engine.busy_until, this->Now());
    engine.busy_until = begins_at + prefill;
    engine.unfinished.push_back({index, request.uncached_tokens, engine.busy_until + first_event});
    dispatch::RequestUse use(kPromptTokens);
    CountServed(state, workspace, use);
    const auto second = static_cast<std::size_t>(ToMilliseconds(begins_at - this->start) / 1000.0);
    if (second < kSeconds) this->records[workspace].got[second] += kPromptTokens;
  }

  Engine* ShortestQueue(std::size_t index) {
    Engine* shortest = nullptr;
    double fewest = 0.0;
    for (auto& engine : this->engines) {
      if (engine.lost_until > this->Now()) continue;
      const double tokens = this->SeenTokens(index, engine);
      if (shortest != nullptr && tokens >= fewest) continue;
      shortest = &engine;
      fewest = tokens;
    }
    return shortest;
  }

  void FinishPrompts() {
    for (auto& engine : this->engines) {
      while (!engine.unfinished.empty() &&
             engine.unfinished.front().first_event_at <= this->Now()) {
        engine.unfinished.pop_front();
      }
    }
  }

  // Routers report in turn, each once in a period.
  void SendReports() {
    const auto slots = static_cast<std::size_t>(kReportPeriod / kTick);
    for (std::size_t index = 0; index < this->routers.size(); ++index) {
      auto& router = *this->routers[index];
      if (this->ticks % slots != index % slots) continue;
      UpdateShareLevel(router.state);
      dispatch::PeerReport report = {.sender = std::to_string(index),
                                     .incarnation = router.state.incarnation,
                                     .sequence = ++router.reports};
      for (const auto& [name, window] : router.state.workspaces) {
        report.workspaces[core::HashName(name)] = UsageAt(window, this->Now());
      }
      for (auto& other : this->routers) {
        if (other.get() != &router) other->state.peers.Apply(report, this->Now());
      }
      for (std::size_t engine = 0; engine < this->engines.size(); ++engine) {
        router.reported_tokens[engine] = this->engines[engine].SentBy(index);
      }
    }
  }

  // An engine that becomes idle is seen by any of the routers first.
  void TryAllQueues() {
    std::vector<std::size_t> order(this->routers.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::shuffle(order.begin(), order.end(), this->random);
    for (const auto index : order) this->TryQueue(index);
  }

  void TryQueue(std::size_t index) {
    constexpr int kMaxFailuresInARow = 6;
    auto& router = *this->routers[index];
    int failures = 0;
    for (auto entry = router.queue.begin(); entry != router.queue.end();) {
      if (failures < kMaxFailuresInARow && this->TryPlace(index, *entry)) {
        failures = 0;
        entry = router.queue.erase(entry);
      } else if (entry->until <= this->Now()) {
        this->Refuse(index, *entry);
        entry = router.queue.erase(entry);
      } else {
        ++failures;
        ++entry;
      }
    }
  }

  void Refuse(std::size_t index, const Router::Waiting& waiting) {
    const auto& request = waiting.request;
    this->records[request.workspace].has_refusal[this->Second()] = true;
    if (request.is_caller_retry) return;
    const auto after =
        dispatch::RetryAfter(kObjective, kCallerTimeout, ShareWindow(this->routers[index]->state),
                             waiting.context, this->DrawUnit());
    this->returns.push_back({this->Now() + after, index, request});
  }

  double DrawUnit() { return std::uniform_real_distribution<>()(this->random); }

  boost::asio::io_context io;
  core::ManualClock manual_clock;
  core::BufferedLog log{-1, manual_clock.clock()};
  core::TimePoint start = manual_clock.clock().now();
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<Engine> engines;
  std::mt19937_64 random;
  std::vector<Loss> losses;
  std::vector<std::pair<core::TimePoint, std::size_t>> restarts;
  std::vector<Return> returns;
  std::map<std::string, Record> records;
  std::size_t ticks = 0;
};

/// A workspace that was refused in each of six seconds, and what it got of what it should get: half
/// of what it asked for or of what the best served workspace got, whichever is less, by second.
struct Starved {
  std::string workspace;
  std::size_t from_second = 0;
  double got = 0.0;
  double owed = 0.0;
};

std::optional<Starved> FindStarved(const std::map<std::string, Record>& records) {
  constexpr std::size_t kWindowSeconds = 6;
  constexpr double kTolerance = 3.0 * kPromptTokens;
  for (const auto& [workspace, record] : records) {
    for (std::size_t from = 0; from + kWindowSeconds <= kSeconds; ++from) {
      Starved found = {workspace, from, 0.0, 0.0};
      bool waits_throughout = true;
      for (std::size_t second = from; second < from + kWindowSeconds; ++second) {
        double best = 0.0;
        for (const auto& [name, other] : records) best = std::max(best, other.got[second]);
        found.got += record.got[second];
        found.owed += std::min(record.asked[second], best) / 2.0;
        waits_throughout = waits_throughout && record.has_refusal[second];
      }
      if (waits_throughout && found.got < found.owed - kTolerance) return found;
    }
  }
  return std::nullopt;
}

std::vector<std::size_t> AllRouters(std::size_t count) {
  std::vector<std::size_t> entries(count);
  std::iota(entries.begin(), entries.end(), std::size_t{0});
  return entries;
}

// One workspace floods all routers while three others, whose callers connect to two routers each,
// ask for more than their share. Engines are lost and routers restart meanwhile. Guards against
// engines that go to the workspace that waits at most routers, however far it is beyond its share.
class FleetShareTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(FleetShareTest, AFloodAtAllRoutersLeavesAWorkspaceAtTwoRoutersItsShare) {
  constexpr std::size_t kRouters = 24;
  constexpr std::size_t kEngines = 24;
  std::mt19937_64 random(GetParam());
  Fleet fleet(kRouters, kEngines, GetParam());
  fleet.LoseEngines(milliseconds(3'000 + random() % 3'000), milliseconds(8'000),
                    kEngines / 4 + random() % (kEngines / 4));
  fleet.RestartRouters(milliseconds(4'000 + random() % 4'000), random() % (kRouters / 3));
  std::vector<Demand> demands = {{"flood", 1'500.0, 1'200.0, AllRouters(kRouters), 2.0}};
  for (const char* name : {"skewed-0", "skewed-1", "skewed-2"}) {
    demands.push_back({name, 6'000.0, 200.0, {random() % kRouters, random() % kRouters}, 4.0});
  }
  for (int small = 0; small < 16; ++small) {
    demands.push_back(
        {"small-" + std::to_string(small), 4'000.0, 10.0, {random() % kRouters}, 0.0});
  }
  const auto records = fleet.Run(demands);
  const auto starved = FindStarved(records);
  if (starved) {
    ADD_FAILURE() << starved->workspace << " got " << starved->got << " of " << starved->owed
                  << " tokens in 6 s from second " << starved->from_second;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetShareTest, testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace pomelospar::edge
