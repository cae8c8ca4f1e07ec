#include <fmt/format.h>
#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "platform/documents.h"
#include "platform/request_headers.h"
#include "platform/settings.h"
#include "platform/store_client.h"

namespace pomelospar::adapter {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kConfiguration = R"({"version":7,"routes":[
  {"name":"r-1","host":"a.example","prefix":"/x/","route-kind":"streaming","timeout-ms":15000,
   "goal-ms":600,"priority":1,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "max-attempts":2,"public":false,"sticky":true,"resumable":true,"gap-aim-ms":250},
  {"name":"r-2","host":"a.example","prefix":"/b/","route-kind":"non_idempotent","timeout-ms":800,
   "goal-ms":150,"service":"s2","max-attempts":1,"public":true}],
  "services":[{"name":"s1","max-conns":620,"engine":{"slots":128,"kv-capacity":953186,"stride":5,
    "kv-token-bytes":35136,"link-mbps":130000.0}},
   {"name":"s2","max-conns":100}],
  "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
   "idle-timeout-ms":15000,"tokens-per-s":410000},
  "tenants":[{"name":"hule","api-keys":["k1","k2"],"priority":1}]})";

constexpr std::string_view kRunner =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":128,)"
    R"("state":"ready","cold-left-ms":0,"seq-no":4,"born":1700000000000})";

TEST(DecodePolicyTest, ReadsRoutesUpstreamsAndWorkspaces) {
  const auto policy = DecodePolicy(kConfiguration);
  ASSERT_TRUE(policy.has_value());
  const auto& value = *policy.value();
  EXPECT_EQ(value.version, 7U);
  const auto* stream = dispatch::FindRoute(value, "a.example", "/x/1");
  ASSERT_NE(stream, nullptr);
  EXPECT_TRUE(stream->streaming);
  EXPECT_TRUE(stream->idempotent);
  EXPECT_EQ(stream->destinations.size(), 2U);
  const auto* booking = dispatch::FindRoute(value, "a.example", "/b/1");
  ASSERT_NE(booking, nullptr);
  EXPECT_FALSE(booking->idempotent);
  EXPECT_TRUE(booking->open_to_all);
  ASSERT_TRUE(value.upstreams.at("s1").engine.has_value());
  EXPECT_FALSE(value.upstreams.at("s2").engine.has_value());
  EXPECT_EQ(dispatch::FindWorkspace(value, "k2")->name, "hule");
  EXPECT_EQ(dispatch::FindWorkspace(value, "k3"), nullptr);
  const auto& engine = value.upstreams.at("s1").engine;
  ASSERT_TRUE(engine.has_value());
  // 130 Gbit/s are 16.25 million bytes a millisecond.
  EXPECT_NEAR(engine->cache_copy_tokens_per_ms, 16.25e6 / 35'136.0, 1e-9);
}

// A stream that cannot be resumed must not be sent again: its caller would get the same events
// twice.
TEST(DecodePolicyTest, TakesAStreamThatCannotResumeAsNotRepeatable) {
  std::string document(kConfiguration);
  const std::string resumable = R"("resumable":true)";
  document.replace(document.find(resumable), resumable.size(), R"("resumable":false)");
  const auto policy = DecodePolicy(document);
  ASSERT_TRUE(policy.has_value());
  EXPECT_FALSE(policy.value()->routes.at(0).idempotent);
}

// Guards against a crash, or a configuration that is decoded only in part, when the document was
// truncated or changed.
RC_GTEST_PROP(DecodePolicyTest, SurvivesChangedBytes, ()) {
  std::string document(kConfiguration);
  document.resize(*rc::gen::inRange<std::size_t>(0, document.size() + 1));
  if (!document.empty()) {
    const auto position = *rc::gen::inRange<std::size_t>(0, document.size());
    document[position] = *rc::gen::arbitrary<char>();
  }
  const auto policy = DecodePolicy(document);
  if (policy) RC_ASSERT(policy.value() != nullptr);
}

TEST(DecodeRunnerTest, ReadsAnEntry) {
  const auto runner = DecodeRunner("i-1", kRunner);
  ASSERT_TRUE(runner.has_value());
  EXPECT_EQ(runner.value().address, "10.0.0.9:8080");
  EXPECT_EQ(runner.value().started_unix_ms, 1'700'000'000'000);
  EXPECT_FALSE(runner.value().draining);
}

// Guards against requests to a wrong address, when another program wrote an invalid entry into the
// directory.
TEST(DecodeRunnerTest, RefusesEntriesThatNameNoRunner) {
  const std::vector<std::pair<std::string, std::string>> changes = {
      {R"("state":"ready")", R"("state":"odd")"},
      {R"("slots":128)", R"("slots":"128")"},
      {R"("slots":128)", R"("slots":0)"},
      {R"("slots":128)", R"("slots":-4)"},
      {R"("slots":128)", R"("slots":4294967297)"},
      {R"("slots":128)", R"("slots":1e999)"},
      {R"("address":"10.0.0.9:8080")", R"("address":"10.0.0.9")"},
      {R"("address":"10.0.0.9:8080")", R"("address":7)"},
      {R"("address":"10.0.0.9:8080")", R"("address":"10.0.0.9:70000")"},
      {R"("zone":"z",)", ""},
      {R"("service":"s1")", R"("service":"")"},
      {R"("born":1700000000000)", R"("born":1.5)"},
      {R"("born":1700000000000)", R"("born":18446744073709551615)"}};
  for (const auto& [from, to] : changes) {
    std::string document(kRunner);
    document.replace(document.find(from), from.size(), to);
    EXPECT_FALSE(DecodeRunner("i-1", document).has_value()) << document;
  }
}

// Guards against a stack overflow in a router that reads an entry of another writer.
TEST(DecodeRunnerTest, SurvivesDeeplyNestedEntries) {
  constexpr std::size_t kDepth = 1'000'000;
  for (const auto* opening : {"[", "{\"a\":"}) {
    std::string document;
    for (std::size_t level = 0; level < kDepth; ++level) document += opening;
    EXPECT_FALSE(DecodeRunner("i-1", document).has_value());
    document += "1";
    document.append(kDepth, *opening == '[' ? ']' : '}');
    std::string entry(kRunner);
    entry.insert(1, ",");
    entry.insert(1, document);
    entry.insert(1, "\"extra\":");
    EXPECT_TRUE(DecodeRunner("i-1", entry).has_value());
  }
}

RC_GTEST_PROP(DecodeRunnerTest, SurvivesAnyBytes, (const std::string& bytes)) {
  const auto runner = DecodeRunner("i-1", bytes);
  if (runner) RC_ASSERT(!runner.value().upstream.empty());
}

RC_GTEST_PROP(DecodeRowsTest, SurvivesAnyBytes, (const std::string& bytes)) {
  bool has_more = false;
  const auto rows = DecodeRows(bytes, has_more);
  if (rows) RC_ASSERT(rows.value().rows.size() + rows.value().malformed_rows < bytes.size());
}

// Guards against one malformed row that makes the whole answer unusable.
TEST(DecodeRowsTest, LeavesOutRowsThatCannotBeRead) {
  bool has_more = false;
  const auto rows = DecodeRows(R"({"rows":[{"key":"a","value":"bm9kZS0x","ver":4},
      {"key":7},{"key":"b","value":"*"},{"key":"c","tombstone":true,"ver":9}],
      "ver":12,"has-more":true,"now-ms":7000})",
                               has_more);
  ASSERT_TRUE(rows.has_value());
  ASSERT_EQ(rows.value().rows.size(), 2U);
  EXPECT_EQ(rows.value().rows[0].value, "node-1");
  EXPECT_TRUE(rows.value().rows[1].removed);
  EXPECT_EQ(rows.value().version, 12U);
  EXPECT_EQ(rows.value().malformed_rows, 2U);
  // The row exists all the same, which is enough to request an evacuation.
  EXPECT_EQ(rows.value().unreadable_keys, std::vector<std::string>{"b"});
  EXPECT_EQ(rows.value().stamp, std::chrono::seconds(7));
  EXPECT_TRUE(has_more);
}

http::HttpRequest CallerRequest() {
  http::HttpRequest request;
  request.method = "POST";
  request.target = "/x/1?q=2";
  request.body = "body";
  request.headers = {{"Host", "a.example"},
                     {"X-Attempt-Id", "a1"},
                     {"Authorization", "Token k1"},
                     {"X-Tenant", "someone-else"},
                     {"X-Expect-Instance", "i-9"},
                     {"X-Hold", "h"},
                     {"Kv-From", "10.0.0.1:1/x"},
                     {"X-Deadline-Ms", "15000"},
                     {"X-Token-Usage", "1460,80"},
                     {"X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410"},
                     {"Last-Event-Id", "12"},
                     {"Connection", "keep-alive, X-Private"},
                     {"X-Private", "1"},
                     {"X-Other", "kept"}};
  return request;
}

std::optional<std::string> Header(const http::HttpRequest& request, std::string_view name) {
  const auto value = request.FindHeader(name);
  return value ? std::optional<std::string>(*value) : std::nullopt;
}

TEST(DecodeRequestTest, ReadsWhatTheCallerSays) {
  std::string malformed;
  const auto facts = DecodeRequest(CallerRequest(), malformed);
  EXPECT_TRUE(malformed.empty()) << malformed;
  EXPECT_EQ(facts.attempt_id, "a1");
  EXPECT_EQ(facts.api_key, "k1");
  EXPECT_EQ(facts.caller_timeout, milliseconds(15'000));
  EXPECT_DOUBLE_EQ(facts.prompt.input_tokens, 1460.0);
  ASSERT_EQ(facts.prompt.parts.size(), 2U);
  EXPECT_EQ(facts.prompt.parts[1].id, 0x91bd3f06U);
}

RC_GTEST_PROP(DecodeRequestTest, SurvivesAnyValues, (const std::string& bytes)) {
  http::HttpRequest request;
  for (const auto* name :
       {"X-Deadline-Ms", "X-Token-Usage", "X-Prompt-Prefix", "X-Length-Hint", "Authorization"}) {
    request.headers.push_back({name, bytes});
  }
  std::string malformed;
  const auto facts = DecodeRequest(request, malformed);
  RC_ASSERT(facts.prompt.input_tokens >= 0.0);
}

// Guards against a caller's key that reaches a runner, and against headers by which a caller could
// choose another workspace, another runner or the memory of another request.
TEST(EncodeForwardTest, SetsTheRoutersHeadersAndDropsTheCallers) {
  const auto forward = EncodeForward(
      CallerRequest(), {.runner_id = "i-1", .workspace = "hule", .time_left = milliseconds(1200)});
  EXPECT_EQ(forward.method, "POST");
  EXPECT_EQ(forward.target, "/x/1?q=2");
  // The body is sent from the request itself.
  EXPECT_TRUE(forward.body.empty());
  EXPECT_EQ(Header(forward, "X-Attempt-Id"), "a1");
  EXPECT_EQ(Header(forward, "X-Tenant"), "hule");
  EXPECT_EQ(Header(forward, "X-Expect-Instance"), "i-1");
  EXPECT_EQ(Header(forward, "X-Deadline-Ms"), "1200");
  EXPECT_EQ(Header(forward, "Last-Event-Id"), "12");
  EXPECT_EQ(Header(forward, "X-Other"), "kept");
  for (const auto* name : {"Authorization", "X-Hold", "Kv-From", "X-Private"}) {
    EXPECT_EQ(Header(forward, name), std::nullopt) << name;
  }
  const auto tenants = std::count_if(forward.headers.begin(), forward.headers.end(),
                                     [](const auto& header) { return header.name == "X-Tenant"; });
  EXPECT_EQ(tenants, 1);
}

TEST(EncodeForwardTest, ResumesAfterTheLastEventThatTheCallerHas) {
  const auto forward =
      EncodeForward(CallerRequest(), {.runner_id = "i-1", .resume_after = std::string("31")});
  EXPECT_EQ(Header(forward, "Last-Event-Id"), "31");
}

// The cache source of a caller would name any address; only the router's own is sent.
TEST(EncodeForwardTest, NamesTheCacheSourceOfTheRouterOnly) {
  auto request = CallerRequest();
  request.headers.push_back({"Kv-Fetch", "192.0.2.1:1"});
  EXPECT_EQ(Header(EncodeForward(request, {.runner_id = "i-1"}), "Kv-Fetch"), std::nullopt);
  const auto forward =
      EncodeForward(request, {.runner_id = "i-1", .cache_source = "10.0.0.9:8080"});
  EXPECT_EQ(Header(forward, "Kv-Fetch"), "10.0.0.9:8080");
}

// Guards against a caller that holds memory at an engine or names the address from which an engine
// takes its state. Such headers must be dropped in any case of letters and if they are repeated.
TEST(EncodeForwardTest, DropsTheEngineHeadersOfCallers) {
  constexpr std::array<std::string_view, 10> kNames = {
      "X-Hold",      "x-hold",  "X-Pin-Ms", "x-pin-ms", "X-Kv-Backup",
      "X-KV-BACKUP", "Kv-From", "KV-FROM",  "Kv-Fetch", "kv-fetch"};
  auto request = CallerRequest();
  for (const auto name : kNames) {
    request.headers.push_back({std::string(name), "192.0.2.1:1"});
    request.headers.push_back({std::string(name), "192.0.2.2:1"});
  }
  const auto forward = EncodeForward(request, {.runner_id = "i-1"});
  for (const auto name : kNames) EXPECT_EQ(Header(forward, name), std::nullopt) << name;
  EXPECT_EQ(Header(forward, "X-Token-Usage"), "1460,80");
  EXPECT_EQ(Header(forward, "X-Prompt-Prefix"), "5c1e07a2:800, 91bd3f06:410");
}

// Guards against a refusal that counts as not executed although the runner did not say so: the
// request would be sent again and could be executed twice.
TEST(DecodeResponseTest, TellsWhatDidNotRun) {
  http::ResponseHead head;
  head.status = 503;
  EXPECT_FALSE(DecodeResponse(head).not_executed);
  head.headers = {{"X-Not-Executed", "1"}};
  EXPECT_TRUE(DecodeResponse(head).not_executed);
  head.headers = {{"X-Instance-Id", "i-2"}};
  head.status = 421;
  EXPECT_TRUE(DecodeResponse(head).not_executed);
}

TEST(DecodeResponseTest, ReadsReceiptAndConnection) {
  http::ResponseHead head;
  head.headers = {
      {"X-Attempt-Id", "a1"}, {"X-Server-Stamp", "s"}, {"Keep-Alive", "timeout=7, max=3"}};
  const auto facts = DecodeResponse(head);
  EXPECT_EQ(facts.attempt_id, "a1");
  EXPECT_TRUE(facts.has_receipt);
  EXPECT_EQ(facts.idle_timeout, std::chrono::seconds(7));
}

// Guards against a runner that leaves or rests and gets more requests, and against a header that
// takes one out of use for good.
TEST(DecodeResponseTest, ReadsWhatARunnerSaysAboutItself) {
  using std::chrono::milliseconds;
  http::ResponseHead head;
  head.status = 200;
  head.headers = {{"server-leaving", " 1"}, {"Retry-After", "3"}, {"X-Server-Stamp", "s"}};
  EXPECT_TRUE(DecodeResponse(head).leaving);
  EXPECT_FALSE(DecodeResponse(head).rest.has_value());
  ASSERT_EQ(HeadersForCaller(head).size(), 2U);
  EXPECT_EQ(HeadersForCaller(head)[1].name, "X-Server-Stamp");
  head.headers = {{"Server-Leaving", "0"}};
  EXPECT_FALSE(DecodeResponse(head).leaving);
  head.status = 421;
  head.headers = {{"Server-Leaving", "1"}};
  EXPECT_FALSE(DecodeResponse(head).leaving);
  head.status = 503;
  const auto rest = [&](std::string_view text) {
    head.headers = {{"Retry-After", std::string(text)}};
    return DecodeResponse(head).rest;
  };
  EXPECT_EQ(rest("1.25"), milliseconds(1250));
  EXPECT_EQ(rest("0"), milliseconds(0));
  EXPECT_EQ(rest("999999999999999999999999"), std::chrono::hours(24));
  for (const auto* text : {"", "-1", "nan", "inf", "1e18", "soon", "1 2", "0x10"}) {
    EXPECT_FALSE(rest(text).has_value()) << text;
  }
  head.headers = {{"Retry-After", "1"}, {"Retry-After", "2"}, {"Retry-After", "x"}};
  EXPECT_EQ(DecodeResponse(head).rest, std::chrono::seconds(2));
}

constexpr std::string_view kSettings = R"(node-name = "edge-1"
ip = "10.1.0.33"
zone = "fes-a"
internal-ports = [7400,7415]
unknown-key = 3
[listen]
frontend = "10.1.0.33:8783"
ready = "10.1.0.33:8780"
[limits]
memory-mb = 260
max-fds = 4100
[bounds]
revoke-ms = 5000
revoke-fail-closed = true
grace-s = 8
drain-ms = 2000
config-apply-ms = 2000
retry-budget-ratio = 0.2
retry-budget-slack = 54
budget-window-s = 10
quota-window-s = 4
[platform]
address = "10.200.1.7:8781"
)";

TEST(DecodeSettingsTest, ReadsTheSettingsAndIgnoresUnknownKeys) {
  const auto settings = DecodeSettings(kSettings);
  ASSERT_TRUE(settings.has_value()) << settings.error().message;
  EXPECT_EQ(settings.value().caller_address, "10.1.0.33:8783");
  EXPECT_EQ(settings.value().first_internal_port, 7400);
  EXPECT_EQ(settings.value().key_revocation_limit, milliseconds(5000));
  EXPECT_DOUBLE_EQ(settings.value().retry_ratio, 0.2);
}

// Guards against a process that starts with incomplete settings; the error must name the missing
// key.
TEST(DecodeSettingsTest, NamesTheKeyThatIsMissing) {
  std::string document(kSettings);
  const std::string line = "revoke-ms = 5000\n";
  document.erase(document.find(line), line.size());
  const auto settings = DecodeSettings(document);
  ASSERT_FALSE(settings.has_value());
  EXPECT_THAT(settings.error().message, testing::HasSubstr("revoke-ms"));
}

std::string SettingsWithPrice(std::string_view value) {
  std::string document(kSettings);
  const std::string_view before = "max-fds = 4100\n";
  document.insert(document.find(before) + before.size(),
                  fmt::format("cross-domain-ms-per-mib = {}\n", value));
  return document;
}

// Guards against a deployment without the setting that would be placed by the home-first rule.
TEST(DecodeSettingsTest, ThePriceOfLeavingADomainIsOptional) {
  EXPECT_FALSE(DecodeSettings(kSettings).value().cross_domain_ms_per_mib.has_value());
  for (const auto& [text, number] :
       {std::pair{"0", 0.0}, std::pair{"120", 120.0}, std::pair{"2.5", 2.5}}) {
    const auto settings = DecodeSettings(SettingsWithPrice(text));
    ASSERT_TRUE(settings.has_value()) << settings.error().message;
    EXPECT_EQ(settings.value().cross_domain_ms_per_mib, number);
  }
}

// Guards against a mistyped price that is silently read as none, or that pays requests to leave.
TEST(DecodeSettingsTest, RejectsAWrongPriceOfLeavingADomain) {
  for (const auto* text : {"-1", "-0.5", "nan", "inf", "-inf", "\"120\"", "true", "[1]", "{a=1}"}) {
    const auto settings = DecodeSettings(SettingsWithPrice(text));
    ASSERT_FALSE(settings.has_value()) << text;
    EXPECT_THAT(settings.error().message, testing::HasSubstr("cross-domain-ms-per-mib")) << text;
  }
}

}  // namespace
}  // namespace pomelospar::adapter
