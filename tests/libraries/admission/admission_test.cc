#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libraries/admission/authenticator.h"
#include "libraries/admission/cost_estimator.h"
#include "libraries/admission/crash_tracker.h"
#include "libraries/admission/request_body.h"
#include "libraries/admission/resolve.h"
#include "libraries/admission/response_cost_meter.h"
#include "libraries/admission/retry_budget.h"

namespace pomelospar::admission {
namespace {

configuration::Configuration TwoWorkspaces() {
  configuration::Configuration result;
  result.classes = {{"chat", core::IdOf<core::ClassId>("chat")},
                    {"batch", core::IdOf<core::ClassId>("batch")}};
  configuration::Upstream engine{.name = "engine", .model = "m-1"};
  engine.kind = configuration::UpstreamKind::kModelEngine;
  result.upstreams = {engine, {.name = "orders"}};
  for (const auto* name : {"atlas", "kalahari"}) {
    configuration::Workspace workspace{.name = name, .id = core::IdOf<core::WorkspaceId>(name)};
    workspace.key_hashes = {ToHex(Sha256(std::string(name) + "-key"))};
    workspace.classes = {"chat"};
    workspace.default_class = "chat";
    workspace.upstreams = {"engine"};
    result.workspaces.push_back(workspace);
  }
  result.workspaces[0].upstreams.emplace_back("orders");
  result.routes = {{.name = "chat", .path_prefix = "/v1/"},
                   {.name = "orders", .path_prefix = "/orders", .upstream = "orders"}};
  result.routes[1].repeatable = false;
  return result;
}

// A caller must not be authenticated as another workspace, also when two workspaces declare the
// same key, and each rejection must tell the caller what to do.
TEST(AuthenticatorTest, FindsTheWorkspaceOfAKeyOnly) {
  const auto authenticator = Authenticator::Create(TwoWorkspaces()).value();
  const auto atlas = core::IdOf<core::WorkspaceId>("atlas");
  EXPECT_EQ(authenticator.Authenticate("bearer  atlas-key ", "").value(), atlas);
  EXPECT_EQ(authenticator.Authenticate("", "atlas-key").value(), atlas);
  for (const auto* header : {"", "Bearer ", "Bearer wrong", "Basic atlas-key", "Bearer atlas-ke"}) {
    const auto refused = authenticator.Authenticate(header, "");
    ASSERT_TRUE(refused.has_error()) << header;
    EXPECT_TRUE(core::Is(refused.error(), core::ErrorKind::kUnauthorized));
    EXPECT_NE(refused.error().message.find("; "), std::string::npos) << "no remedy";
  }
  auto shared = TwoWorkspaces();
  shared.workspaces[1].key_hashes = shared.workspaces[0].key_hashes;
  EXPECT_TRUE(Authenticator::Create(shared).has_error());
  shared.workspaces[1].key_hashes = {"abc"};
  EXPECT_TRUE(Authenticator::Create(shared).has_error());
}

// Guards against access to an upstream or class that the workspace may not use, also by a path with
// dot segments that the upstream would normalise, and against repeating a request whose route does
// not permit it.
TEST(ResolveTest, AppliesTheRulesOfTheWorkspace) {
  const auto configuration = TwoWorkspaces();
  const auto atlas = core::IdOf<core::WorkspaceId>("atlas");
  const auto kalahari = core::IdOf<core::WorkspaceId>("kalahari");
  const auto status = [&](core::WorkspaceId workspace, const RequestHead& head) {
    const auto result = Resolve(configuration, workspace, head);
    return result.has_value() ? 200U : result.error().status;
  };
  const auto order = Resolve(configuration, atlas, {"POST", "/orders/7?x=/../", "", ""});
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order.value().upstream->name, "orders");
  EXPECT_EQ(order.value().request_class->name, "chat");
  EXPECT_FALSE(order.value().repeatable);
  EXPECT_TRUE(
      Resolve(configuration, atlas, {"POST", "/v1/chat", "chat", "m-1"}).value().repeatable);
  EXPECT_EQ(status(kalahari, {"POST", "/orders/7", "", ""}), 403U);
  EXPECT_EQ(status(core::WorkspaceId{5}, {"POST", "/v1/chat", "", "m-1"}), 401U);
  EXPECT_EQ(status(atlas, {"POST", "/v1/chat", "", "m-2"}), 404U);
  EXPECT_EQ(status(atlas, {"POST", "/v1/chat", "", ""}), 400U);
  EXPECT_EQ(status(atlas, {"POST", "/elsewhere", "", "m-1"}), 404U);
  EXPECT_EQ(status(atlas, {"POST", "/v1/chat", "batch", "m-1"}), 400U);
  for (const auto* path : {"/v1/../orders", "/v1/%2E%2e/orders", "/v1/.%2e%2Forders", "/v1/.."}) {
    EXPECT_EQ(status(kalahari, {"POST", path, "", "m-1"}), 400U) << path;
  }
  EXPECT_EQ(CallerName("", "user", "address"), "user");
  EXPECT_EQ(CallerName(std::string(500, 'c'), "user", "address").size(), 128U);
}

// Guards against equal fingerprints of two requests whose concatenated parts are the same text.
TEST(FingerprintTest, SeparatesItsParts) {
  EXPECT_NE(FingerprintOf("a", "POST", "/x", "y"), FingerprintOf("a", "POST", "/", "xy"));
  EXPECT_EQ(FingerprintOf("a", "POST", "/x", "y"), FingerprintOf("a", "POST", "/x", "y"));
}

// Guards against reading fields from nested objects or from text in strings of the prompt.
RC_GTEST_PROP(RequestBodyProperty, ReadsTopLevelFieldsOnly,
              (std::uint32_t tokens, bool stream, std::uint16_t user)) {
  const nlohmann::json inner = {{"model", "inner"}, {"stream", !stream}, {"max_tokens", 1}};
  nlohmann::json body = {{"messages", {inner, {inner, "\"model\":\"text\""}}},
                         {"model", "outer"},
                         {"user", std::to_string(user)},
                         {"stream", stream},
                         {"max_tokens", tokens},
                         {"extra", inner}};
  const auto text = body.dump();
  const auto fields = ParseRequestBody(text);
  RC_ASSERT(fields.has_value());
  RC_ASSERT(fields.value().model == "outer");
  RC_ASSERT(fields.value().user == std::to_string(user));
  RC_ASSERT(fields.value().stream == stream);
  RC_ASSERT(fields.value().maximum_tokens == tokens);
  RC_ASSERT(fields.value().input_tokens == (text.size() + 3) / 4);
  RC_ASSERT(ParseRequestBody(text.substr(0, text.size() - 1)).has_error());
}

// Guards against unbounded nesting, against duplicate fields, which two parsers could read
// differently, and against rejecting bodies of plain services that use the field names with other
// types.
TEST(RequestBodyTest, RefusesWhatIsAmbiguousOnly) {
  EXPECT_TRUE(ParseRequestBody(std::string(64, '[') + std::string(64, ']')).has_value());
  EXPECT_TRUE(ParseRequestBody(std::string(65, '[') + std::string(65, ']')).has_error());
  EXPECT_TRUE(ParseRequestBody(std::string(4'000'000, '[')).has_error());
  EXPECT_TRUE(ParseRequestBody(R"({"model":"a","model":"b"})").has_error());
  const auto plain = ParseRequestBody(R"({"model":{"make":"x"},"max_tokens":-1,"user":["y"]})");
  ASSERT_TRUE(plain.has_value());
  EXPECT_EQ(plain.value().model, "");
  EXPECT_EQ(plain.value().user, "");
  EXPECT_FALSE(plain.value().maximum_tokens.has_value());
}

// Guards against a cost that depends on how the network splits the event stream into pieces.
RC_GTEST_PROP(ResponseCostMeterProperty, DoesNotDependOnPieces, ()) {
  const auto events = *rc::gen::inRange(0U, 30U);
  const bool with_usage = *rc::gen::arbitrary<bool>();
  const auto end = *rc::gen::element(std::string("\n"), std::string("\r\n"), std::string("\r"));
  std::string stream = ": comment" + end + end;
  for (unsigned index = 0; index < events; ++index) {
    stream += fmt::format(R"(data: {{"n":{},"text":"\"usage\":{{}}","usage":null}})", index);
    stream += end + end;
  }
  if (with_usage) {
    stream += R"(data:{"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":1000}})";
    stream += end + end;
  }
  stream += "data: [DONE]" + end + end;
  ResponseCostMeter cost({1.0, 0.5, 2.0}, ResponseFormat::kServerSentEvents, 4);
  for (std::size_t at = 0; at < stream.size();) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 40);
    cost.Feed(std::string_view(stream).substr(at, size));
    at += size;
  }
  cost.Finish();
  RC_ASSERT(cost.saw_done());
  RC_ASSERT(cost.has_reported_usage() == with_usage);
  RC_ASSERT(cost.output_tokens() == (with_usage ? 1000U : events));
  RC_ASSERT(cost.cost() == (with_usage ? 1.0 + 3.5 + 2000.0 : 1.0 + 2.0 + 2.0 * events));
}

// Guards against generated text that looks like a `usage` object and lowers the cost, against
// unbounded memory for a long line, and against missing the `usage` object of a long document.
TEST(ResponseCostMeterTest, ReadsUsageOfDocumentsAndBoundsLines) {
  const nlohmann::json document = {
      {"choices", R"("usage":{"completion_tokens":0})" + std::string(100'000, 'x')},
      {"usage", {{"prompt_tokens", 3}, {"completion_tokens", 9}, {"details", {{"x", 1}}}}},
      {"zz", {R"("usage":{"completion_tokens":0})", "usage", {{"x", 1}}}}};
  ResponseCostMeter cost({0.0, 1.0, 1.0}, ResponseFormat::kJson, 50);
  const auto text = document.dump();
  for (const char character : text) {
    cost.Feed(std::string_view(&character, 1));
  }
  EXPECT_GT(cost.cost(), 25'000.0);
  cost.Finish();
  EXPECT_EQ(cost.cost(), 12.0);

  ResponseCostMeter events({0.0, 0.0, 1.0}, ResponseFormat::kServerSentEvents, 0);
  events.Feed("data: ");
  for (int piece = 0; piece < 1000; ++piece) {
    events.Feed(std::string(1000, 'y'));
  }
  events.Feed("\n\ndata: 2\n\n");
  EXPECT_EQ(events.output_tokens(), 2U);
  events.Feed("data: two\r\ndata: lines\r\n\r\n");
  EXPECT_EQ(events.output_tokens(), 3U);
}

// Guards against retries that increase an overload: more than 10% of the requests, plus one every
// two seconds, plus a burst of 10. Also guards against refusing retries within that budget.
RC_GTEST_PROP(RetryBudgetProperty, StaysWithinTheBudget, (const std::vector<std::uint8_t>& gaps)) {
  core::TimePoint now(std::chrono::hours(1));
  const auto start = now;
  RetryBudget budget(now);
  double requests = 0.0;
  double retries = 0.0;
  for (const auto gap : gaps) {
    now += std::chrono::milliseconds(gap);
    budget.OnRequest(now);
    requests += 1.0;
    while (budget.TryRetry(now)) {
      retries += 1.0;
    }
    const std::chrono::duration<double> elapsed = now - start;
    RC_ASSERT(retries <= 10.0 + 0.1 * requests + 0.5 * elapsed.count() + 1e-6);
    RC_ASSERT(retries + 1.0 >= std::min(10.0, 0.1 * requests));
  }
}

// Guards against an estimate that does not follow recorded costs or exceeds the cost of the
// request's token limit, and against memory that grows with the number of workspaces.
TEST(CostEstimatorTest, LearnsAndIsBounded) {
  CostEstimator estimator(100);
  const configuration::CostUnits units{1.0, 0.0, 2.0};
  const CostKey key{core::WorkspaceId{1}, core::ClassId{2}, core::UpstreamId{3}};
  EXPECT_EQ(estimator.Estimate(key, units, 10, 50), 101.0);
  for (int index = 0; index < 50; ++index) {
    estimator.Record(key, 21.0);
  }
  EXPECT_NEAR(estimator.Estimate(key, units, 10, 50), 21.0, 0.1);
  EXPECT_EQ(estimator.Estimate(key, units, 10, 5), 11.0);
  for (std::uint64_t other = 0; other < 240; ++other) {
    estimator.Record({core::WorkspaceId{100 + other}, {}, {}}, 1.0);
    if (other % 60 == 59) {
      estimator.Record(key, 50.0);
    }
  }
  EXPECT_EQ(estimator.size(), 100U);
  // Four records of 50 each move the average an eighth of the way from 21 to 50. If the key had
  // been dropped in between, the average would be 50.
  EXPECT_NEAR(estimator.Estimate(key, units, 10, 50), 33.0, 0.5);
}

}  // namespace
}  // namespace pomelospar::admission
