#include "services/pomelospar_edge/explanation.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "libraries/core/buffered_log.h"
#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {
namespace {

using nlohmann::json;

/// A router with a route to an upstream of engines.
class ExplanationTest : public testing::Test {
 protected:
  ExplanationTest() : log(-1, clock.clock()), state(io, clock.clock(), Settings(), log) {
    auto policy = std::make_shared<dispatch::Policy>();
    policy->has_workspaces = true;
    policy->workspaces = {{.name = "w"}};
    policy->routes = {{.name = "r",
                       .host = "h",
                       .prefix = "/s/",
                       .destinations = {{.upstream = "engines"}},
                       .timeout = std::chrono::seconds(5),
                       .objective = std::chrono::seconds(1)}};
    policy->upstreams["engines"] = {.name = "engines",
                                    .engine = dispatch::EngineLimits{.memory_tokens = 1e6},
                                    .cold_start = std::chrono::seconds(3),
                                    .cold_starts_per_second = 4.0};
    dispatch::IndexRoutes(*policy);
    this->state.policy = policy;
    this->state.policy_confirmed_at = this->state.clock.since_boot();
    this->state.share_level = 1e6;
  }

  static adapter::InstanceSettings Settings() {
    adapter::InstanceSettings settings;
    settings.domain = "a";
    settings.share_window = std::chrono::seconds(3);
    settings.key_revocation_limit = std::chrono::hours(1);
    settings.configuration_limit = std::chrono::hours(1);
    settings.cross_domain_ms_per_mib = 1000.0;
    return settings;
  }

  Runner& AddRunner(const std::string& id, const std::string& domain = "a") {
    auto runner = std::make_shared<Runner>(this->state.prefix_index);
    runner->record = {.id = id, .upstream = "engines", .domain = domain, .slots = 8};
    runner->key = core::HashName(id);
    this->state.runners[id] = runner;
    IndexRunners(this->state);
    return *runner;
  }

  json Ask(const std::string& query, unsigned status = 200) const {
    http::HttpRequest request;
    request.method = "GET";
    request.target = "/explain?" + query;
    const auto response = ExplainPlacement(this->state, request);
    EXPECT_EQ(response.status, status) << response.body;
    return json::parse(response.body);
  }

  /// Returns what an explanation of the upstream could change.
  json Snapshot() const {
    json runners = json::object();
    for (const auto& [id, runner] : this->state.runners) {
      runners[id] = {runner->own.active, runner->own.prefill_tokens,
                     runner->cold.next_request_at.time_since_epoch().count(),
                     runner->health.failure_rate(this->state.clock.now())};
    }
    json work = json::object();
    for (const auto& [name, recent] : this->state.recent_work) {
      work[name] = {recent.TypicalPrefillMs(), recent.LimitingObjective().count()};
    }
    json windows = json::object();
    for (const auto& [name, window] : this->state.workspaces) {
      const auto usage = UsageAt(window, this->state.clock.now());
      windows[name] = {usage.asked, usage.served, window.allowance.TimeUntilAllowed().count()};
    }
    json timeouts = json::object();
    for (const auto& [name, longest] : this->state.longest_caller_timeout) {
      timeouts[name] = longest.count();
    }
    json counts = {this->state.leaving.size(),         this->state.retries.size(),
                   this->state.waiting.size(),         this->state.suspects.size(),
                   this->state.recent_prefixes.size(), this->state.unreported_tokens};
    return {runners, work, windows, timeouts, counts, this->state.metrics.Render()};
  }

  core::ManualClock clock;
  boost::asio::io_context io;
  core::BufferedLog log;
  RouterState state;
};

const std::string kQuestion = "host=h&path=/s/1&workspace=w&tokens=1000,40&parts=a1:500,b2:500";

json RunnerOf(const json& answer, const std::string& id) {
  for (const auto& runner : answer.at("runners")) {
    if (runner.at("id") == id) return runner;
  }
  return json();
}

// Guards against an explanation that takes a share, records work or learns a caller's time, and
// against wrong reasons.
TEST_F(ExplanationTest, NamesTheReasonsAndChangesNothing) {
  auto& cached = this->AddRunner("cached");
  RecordPrefix(cached, *this->state.policy->upstreams.at("engines").engine, {},
               std::vector<dispatch::PromptPart>{{0xa1, 500.0}, {0xb2, 500.0}});
  this->AddRunner("idle");
  this->AddRunner("full").own.active = 8.0;
  this->AddRunner("filled").own.memory_tokens = 1e6;
  this->AddRunner("busy").own.prefill_tokens = 1e6;
  this->AddRunner("drains").record.draining = true;
  this->AddRunner("leaves").notices.leaving = true;
  dispatch::OnRest(this->AddRunner("rests").notices, this->clock.now(), std::chrono::seconds(9));
  this->AddRunner("lost").health.OnUnreachable(this->clock.now());
  this->AddRunner("away", "b");
  this->state.evacuations.domains.insert("b");
  ObserveCold(this->state, this->AddRunner("cold"), "test");
  auto& paused = this->AddRunner("paused");
  ObserveCold(this->state, paused, "test");
  paused.cold.next_request_at = this->clock.now() + std::chrono::milliseconds(200);
  WindowOf(this->state, "w").asked.Add(this->clock.now(), 100.0);

  const auto before = this->Snapshot();
  const auto answer = this->Ask(kQuestion + "&deadline-ms=60000");
  EXPECT_EQ(this->Snapshot(), before);
  const std::vector<std::pair<std::string, std::string>> reasons = {
      {"full", "no_slot"},    {"filled", "no_memory"}, {"busy", "long_queue"},
      {"drains", "draining"}, {"leaves", "leaving"},   {"rests", "resting"},
      {"lost", "unhealthy"},  {"away", "evacuated"},   {"paused", "cold"}};
  for (const auto& [id, reason] : reasons) {
    EXPECT_EQ(RunnerOf(answer, id).value("reason", ""), reason) << id;
    EXPECT_FALSE(RunnerOf(answer, id).at("candidate")) << id;
  }
  EXPECT_TRUE(RunnerOf(answer, "cold").at("candidate"));
  EXPECT_EQ(RunnerOf(answer, "cold").at("cold_left_ms"), 3000.0);
  EXPECT_EQ(RunnerOf(answer, "cached").at("cached_tokens"), 1000.0);
  EXPECT_LT(RunnerOf(answer, "cached").at("cost"), RunnerOf(answer, "idle").at("cost"));
  EXPECT_EQ(answer.at("decision").at("runner"), "cached");
  EXPECT_EQ(answer.at("decision").at("reason"), "lowest_cost");
}

// Guards against an explanation that lets a request pass which the router would refuse.
TEST_F(ExplanationTest, RefusesAsARequestWouldBe) {
  const auto decision = [this](const std::string& query) {
    return this->Ask(query).at("decision");
  };
  const auto refusal = [](unsigned status, const std::string& reason) {
    return json{{"outcome", "refusal"}, {"status", status}, {"reason", reason}};
  };
  EXPECT_EQ(decision("host=h&path=/other"), refusal(404, "no route"));
  EXPECT_EQ(decision("host=h&path=/s/1"), refusal(401, "unknown key"));
  EXPECT_EQ(decision(kQuestion).at("outcome"), "wait");
  EXPECT_EQ(decision(kQuestion).at("then").at("reason"), "no runner has room");
  EXPECT_EQ(decision(kQuestion + "&deadline-ms=0"), refusal(503, "no runner has room"));
  this->AddRunner("one");
  EXPECT_EQ(decision(kQuestion).at("reason"), "only_one_with_room");
  auto& window = WindowOf(this->state, "w");
  // The first call fills the allowance.
  EXPECT_EQ(TimeUntilAllowed(this->state, "w"), core::Duration::zero());
  window.allowance.Take(1e9);
  EXPECT_EQ(decision(kQuestion).at("reason"), "the workspace is beyond its share");
  window.allowance.GiveBack(1e9);
  for (const std::uint64_t crash : {1U, 2U, 3U}) {
    this->clock.Advance(std::chrono::seconds(1));
    const auto subjects = dispatch::SubjectsOf("w", "GET", "/s/1", "", {});
    this->state.suspects.RecordLocalCrash(this->clock.now(), crash, subjects);
  }
  EXPECT_EQ(decision("host=h&path=/s/1&workspace=w"),
            refusal(503, "it or a part of it crashed several runners"));
}

// Guards against a typing error that is ignored, so that another request is explained.
TEST_F(ExplanationTest, NamesABadField) {
  const std::vector<std::pair<std::string, std::string>> questions = {
      {"path=/s/1", "host"},
      {"host=h", "path"},
      {"host=h&path=s", "path"},
      {kQuestion + "&deadline-ms=soon", "deadline-ms"},
      {"host=h&path=/s/1&tokens=many", "tokens"},
      {"host=h&path=/s/1&parts=a1", "parts"},
      {"host=h&path=/s/1&body-bytes=-1", "body-bytes"},
      {"host=h&path=/s/1&workspace=none", "workspace"},
      {"host=h&path=/s/1&model=m", "model"},
      {kQuestion + "&host=h", "host"}};
  for (const auto& [question, field] : questions) {
    EXPECT_EQ(this->Ask(question, 400).at("field"), field) << question;
  }
}

// Guards against an answer that grows without limit with the number of runners.
TEST_F(ExplanationTest, StatesHowManyRunnersAreLeftOut) {
  for (std::size_t number = 0; number < kMaxExplainedRunners + 4; ++number) {
    this->AddRunner("i-" + std::to_string(number));
  }
  const auto answer = this->Ask(kQuestion);
  EXPECT_EQ(answer.at("runners").size(), kMaxExplainedRunners);
  EXPECT_EQ(answer.at("omitted_runners"), 4U);
}

}  // namespace
}  // namespace pomelospar::edge
