#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <nlohmann/json.hpp>

#include "utilities/pomelospar_load/plan/answer_check.h"
#include "utilities/pomelospar_load/plan/load_plan.h"
#include "utilities/pomelospar_load/plan/load_report.h"

namespace pomelospar::load {
namespace {

LoadPlan SmallPlan() {
  LoadPlan plan;
  plan.targets = ParseChoices("127.0.0.1:1=3,127.0.0.1:2=1").value();
  Source source;
  source.rate = 50.0;
  source.workspaces = ParseWorkspaces("atlas:key:1=3,kalahari:key2").value();
  source.kinds = ParseChoices("chat_stream,post=1").value();
  source.maximum_tokens = ParseTokens("exponential:50:5:200").value();
  plan.sources = {source};
  return plan;
}

PlannedRequest Request(RequestKind kind) {
  PlannedRequest request;
  request.kind = kind;
  request.caller = "c1";
  request.nonce = "n1";
  request.key = "k1";
  return request;
}

std::string Event(const std::string& content) {
  const nlohmann::json event = {{"choices", {{{"delta", {{"content", content}}}}}}};
  return "data: " + event.dump() + "\n\n";
}

std::string Stream(const std::string& user, unsigned tokens, unsigned usage) {
  std::string stream = Event("user=" + user + " nonce=n1 ");
  for (unsigned token = 1; token < tokens; ++token) {
    stream += Event("w7 ");
  }
  return stream +
         fmt::format("data: {{\"choices\":[],\"usage\":{{\"completion_tokens\":{}}}}}\n\n", usage);
}

std::string CheckWhole(RequestKind kind, const std::string& body) {
  AnswerCheck check(Request(kind));
  check.Feed(body);
  return check.Finish();
}

// Guards against accepting a truncated response or the response to another caller, which would hide
// a violation of property P3, and against a result that depends on how the stream is split into
// reads.
RC_GTEST_PROP(AnswerCheckProperty, PassesTheOwnWholeStreamOnly, ()) {
  const auto tokens = *rc::gen::inRange(1U, 20U);
  const auto stream = Stream("c1", tokens, tokens) + "data: [DONE]\n\n";
  AnswerCheck check(Request(RequestKind::kChatStream));
  std::uint32_t events = 0;
  for (std::size_t at = 0; at < stream.size();) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 60);
    events += check.Feed(std::string_view(stream).substr(at, size));
    at += size;
  }
  RC_ASSERT(check.Finish() == "");
  RC_ASSERT(check.tokens() == tokens);
  RC_ASSERT(events == tokens + 1);
  const auto cut = *rc::gen::inRange<std::size_t>(0, stream.size() - 2);
  RC_ASSERT(CheckWhole(RequestKind::kChatStream, stream.substr(0, cut)) != "");
}

TEST(AnswerCheckTest, NamesWhatIsWrong) {
  const std::string done = "data: [DONE]\n\n";
  const auto stream = RequestKind::kChatStream;
  EXPECT_EQ(CheckWhole(stream, Stream("c2", 3, 3) + done), "answer to another request");
  EXPECT_EQ(CheckWhole(stream, Stream("c1", 3, 4) + done), "3 tokens received of 4");
  EXPECT_EQ(CheckWhole(stream, Stream("c1", 3, 3) + done + Event("w8 ")), "event after [DONE]");
  EXPECT_EQ(CheckWhole(stream, Stream("c1", 3, 3)), "stream without [DONE]");
  EXPECT_EQ(CheckWhole(RequestKind::kPost, R"({"key":"k1","nonce":"n1","run":1})"), "");
  EXPECT_EQ(CheckWhole(RequestKind::kPost, R"({"key":"k1","nonce":"n2"})"),
            "answer to another request");
  EXPECT_NE(CheckWhole(RequestKind::kPost, R"({"key":"k1")"), "");
  const auto document = [](const char* user) {
    return fmt::format(
        "{{\"choices\":[{{\"message\":{{\"content\":\"user={} nonce=n1 w1 "
        "\"}}}}],\"usage\":{{\"completion_tokens\":2}}}}",
        user);
  };
  EXPECT_EQ(CheckWhole(RequestKind::kChat, document("c1")), "");
  EXPECT_EQ(CheckWhole(RequestKind::kChat, document("c12")), "answer to another request");
}

// Guards against request mixes, rates or token counts that differ from the plan, and against runs
// that the same seed does not reproduce.
TEST(RequestGeneratorTest, FollowsThePlan) {
  const auto plan = SmallPlan();
  ASSERT_TRUE(Validate(plan).has_value());
  RequestGenerator generator(plan);
  RequestGenerator repeated(plan);
  std::map<std::string, int> counts;
  double time = 0.0;
  for (int index = 0; index < 10'000; ++index) {
    const auto request = generator.Next(plan.sources[0]);
    EXPECT_EQ(request.nonce, repeated.Next(plan.sources[0]).nonce);
    time += generator.NextGap(plan.sources[0]);
    repeated.NextGap(plan.sources[0]);
    counts[request.workspace] += 1;
    counts[std::string(NameOf(request.kind))] += 1;
    counts[plan.targets[request.target].name] += 1;
    EXPECT_GE(request.maximum_tokens, 5U);
    EXPECT_LE(request.maximum_tokens, 200U);
    EXPECT_NE(generator.OtherTarget(request.target), request.target);
    repeated.OtherTarget(request.target);
  }
  EXPECT_NEAR(time, 200.0, 10.0);
  EXPECT_NEAR(counts["atlas"], 7500, 200);
  EXPECT_NEAR(counts["post"], 5000, 250);
  EXPECT_NEAR(counts["127.0.0.1:1"], 7500, 200);
}

// Guards against running a plan in which a key is misspelt or a value is invalid.
TEST(PlanFileTest, ReadsSourcesAndRefusesUnknownKeys) {
  const auto defaults = SmallPlan().sources[0];
  const auto sources = ParseSources(
      "[[source]]\nrate = 5\nstart = 1.5\nclasses = \"chat=2,batch\"\n[[source]]\nconcurrency = "
      "4\n",
      defaults);
  ASSERT_TRUE(sources.has_value()) << sources.error().message;
  ASSERT_EQ(sources.value().size(), 2U);
  EXPECT_EQ(sources.value()[0].rate, 5.0);
  EXPECT_EQ(sources.value()[0].classes.size(), 2U);
  EXPECT_EQ(sources.value()[0].workspaces.size(), 2U);
  EXPECT_EQ(sources.value()[1].rate, 0.0);
  EXPECT_EQ(sources.value()[1].concurrency, 4U);
  for (const auto* text : {"[[source]]\nrat = 5\n", "[[source]]\nrate = \"5\"\n", "[[source\n", "",
                           "[[source]]\nmax_tokens = \"uniform:9:3\"\n"}) {
    EXPECT_TRUE(ParseSources(text, defaults).has_error()) << text;
  }
  EXPECT_TRUE(ParseWorkspaces("atlas").has_error());
  EXPECT_TRUE(ParseChoices("a=x").has_error());
}

// Guards against counting a request as not run although it was sent, which would hide a violation
// of property P4, and against percentiles of the wrong rank.
TEST(LoadReportTest, SortsResultsAndRanksLatencies) {
  Observation observation;
  observation.request = Request(RequestKind::kChatStream);
  EXPECT_EQ(ResultOf(observation), RequestResult::kNotSent);
  observation.target = "t";
  EXPECT_EQ(ResultOf(observation), RequestResult::kNotRun);
  observation.was_sent = true;
  observation.status = 200;
  observation.outcome_header = "not_run";
  EXPECT_EQ(ResultOf(observation), RequestResult::kUnknown) << "the response was cut off";
  observation.complete = true;
  observation.status = 503;
  EXPECT_EQ(ResultOf(observation), RequestResult::kNotRun);
  observation.status = 429;
  EXPECT_EQ(ResultOf(observation), RequestResult::kRefused);
  observation.outcome_header = "unknown";
  EXPECT_EQ(ResultOf(observation), RequestResult::kUnknown);
  observation.outcome_header = "answered";
  EXPECT_EQ(ResultOf(observation), RequestResult::kFailed);
  observation.status = 200;
  observation.problem = "stream without [DONE]";
  EXPECT_EQ(ResultOf(observation), RequestResult::kWrong);
  observation.problem.clear();
  LoadReport report;
  observation.planned = 1.0;
  for (int index = 1; index <= 100; ++index) {
    observation.first_event = 1.0 + index / 1000.0;
    observation.tokens = 3;
    report.Add(observation);
  }
  const auto row = nlohmann::json::parse(report.Json(10.0))["groups"][0];
  EXPECT_EQ(row["answered"], 100);
  EXPECT_EQ(row["tokens"], 300);
  EXPECT_NEAR(row["first_token_ms"]["p50"].get<double>(), 50.0, 0.01);
  EXPECT_NEAR(row["first_token_ms"]["p99"].get<double>(), 99.0, 0.01);
  EXPECT_EQ(nlohmann::json::parse(HistoryLine(observation))["result"], "answered");
}

}  // namespace
}  // namespace pomelospar::load
