#include "libraries/configuration/configuration_parser.h"

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <tuple>

#include "libraries/configuration/daemon_settings.h"
#include "libraries/configuration/sections.h"

namespace pomelospar::configuration {
namespace {

using std::chrono::milliseconds;

const std::string& Hash(char digit) {
  static std::map<char, std::string> hashes;
  return hashes[digit] = std::string(64, digit);
}

/// Line numbers of the expectations below refer to this document.
std::string ValidDocument() {
  return fmt::format(R"([limits]
queue_timeout = "20s"
[[class]]
name = "standard"
weight = 2
[[upstream]]
name = "engine"
kind = "model_engine"
model = "draft"
cost = {{ per_input_token = 1.0 }}
runners = [
  {{ address = "127.0.0.1:9001", domain = "a", slots = 4 }},
]
[[workspace]]
name = "pine"
share = 2.5
key_hashes = ["{}"]
classes = ["standard"]
upstreams = ["engine"]
[[route]]
name = "chat"
path_prefix = "/v1"
methods = ["POST"]
)",
                     Hash('a'));
}

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  const auto position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  return text.replace(position, from.size(), to);
}

std::vector<Diagnostic> Errors(const std::string& document, const ParseOptions& options = {}) {
  const auto parsed = ParseConfiguration(document, "fleet.toml", options);
  const auto* errors = std::get_if<std::vector<Diagnostic>>(&parsed);
  return errors == nullptr ? std::vector<Diagnostic>() : *errors;
}

std::vector<std::tuple<std::uint32_t, std::string, std::string>> Summary(
    const std::vector<Diagnostic>& errors) {
  std::vector<std::tuple<std::uint32_t, std::string, std::string>> summary;
  for (const auto& error : errors) {
    EXPECT_EQ(error.file, "fleet.toml");
    EXPECT_FALSE(error.remedy.empty());
    summary.emplace_back(error.line, error.key, error.message);
  }
  return summary;
}

std::string ReadFile(const std::string& name) {
  std::ifstream file(std::string(POMELOSPAR_SOURCE_DIR "/") + name);
  EXPECT_TRUE(file) << name;
  return {std::istreambuf_iterator<char>(file), {}};
}

// Guards against values that are accepted but not copied into the configuration.
TEST(ConfigurationParserTest, ReadsEveryValue) {
  const auto parsed = ParseConfiguration(ValidDocument(), "fleet.toml");
  const auto* configuration = std::get_if<Configuration>(&parsed);
  ASSERT_NE(configuration, nullptr) << FormatDiagnostic(Errors(ValidDocument()).front());
  EXPECT_EQ(configuration->limits.queue_timeout, milliseconds(20'000));
  EXPECT_EQ(configuration->classes.at(0).weight, 2.0);
  const auto& runner = configuration->upstreams.at(0).runners.at(0);
  EXPECT_EQ(runner.slots, 4U);
  EXPECT_EQ(runner.domain_id, core::IdOf<core::DomainId>("a"));
  EXPECT_EQ(configuration->workspaces.at(0).share, 2.5);
  EXPECT_EQ(configuration->workspaces.at(0).default_class, "standard");
  EXPECT_EQ(FindRoute(*configuration, "POST", "/v1/chat/completions")->name, "chat");
}

struct Fault {
  std::string from;
  std::string to;
  std::uint32_t line;
  std::string key;
  std::string message;
};

// Guards against an error that is accepted, or reported at the wrong line or key.
TEST(ConfigurationParserTest, ReportsEachErrorAtItsLineAndKey) {
  const std::string runner = R"(  { address = "127.0.0.1:9001", domain = "a", slots = 4 },)";
  const std::string second_upstream = R"([[upstream]]
name = "other"
kind = "model_engine"
model = "draft"
cost = { per_call = 1 }
runners = [ { address = "127.0.0.1:9001", domain = "b" } ]
)";
  const std::vector<Fault> faults = {
      {"weight = 2", "wait = 2", 5, "class[0].wait", "is unknown"},
      {"weight = 2", "api_key = \"x\"", 5, "class[0].api_key",
       "would store a secret in plain text"},
      {"weight = 2", "weight = \"2\"", 5, "class[0].weight", "has the wrong type"},
      {"weight = 2", "weight = nan", 5, "class[0].weight", "is out of range"},
      {"queue_timeout = \"20s\"", "queue_timeout = 20", 2, "limits.queue_timeout",
       "has the wrong type"},
      {"queue_timeout = \"20s\"", "queue_timeout = \"20 s\"", 2, "limits.queue_timeout",
       "is not a duration"},
      {"queue_timeout = \"20s\"", "queue_timeout = \"99999999999999999s\"", 2,
       "limits.queue_timeout", "is not a duration"},
      {"queue_timeout = \"20s\"", "maximum_body_bytes = \"4MB\"", 2, "limits.maximum_body_bytes",
       "is not a size"},
      {"share = 2.5", "share = 0", 16, "workspace[0].share", "is out of range"},
      {"share = 2.5", "share = -1.0", 16, "workspace[0].share", "is out of range"},
      {"classes = [\"standard\"]", "classes = [\"standard\", \"fast\"]", 18,
       "workspace[0].classes[1]", "\"fast\" is not declared"},
      {"upstreams = [\"engine\"]", "upstreams = [\"engin\"]", 19, "workspace[0].upstreams[0]",
       "\"engin\" is not declared"},
      {"upstreams = [\"engine\"]", "upstreams = [7]", 19, "workspace[0].upstreams[0]",
       "is not a non-empty string"},
      {"upstreams = [\"engine\"]", "upstreams = [\"engine\"]\ndefault_class = \"fast\"", 20,
       "workspace[0].default_class", "\"fast\" is not one of the workspace's classes"},
      {Hash('a'), "example-key-pine", 17, "workspace[0].key_hashes[0]",
       "is no SHA-256 of 64 lower-case hexadecimal digits"},
      {"key_hashes = [", "key_hashes = [\"" + Hash('a') + "\", ", 17, "workspace[0].key_hashes[1]",
       "this key belongs to the workspace \"pine\" already"},
      {"name = \"pine\"", "name = \"pi ne\"", 15, "workspace[0].name", "is not a name"},
      {"name = \"pine\"", "name = \"\"", 15, "workspace[0].name", "is empty"},
      {"methods = [\"POST\"]", "methods = [\"post\"]", 23, "route[0].methods[0]",
       "is not an upper-case HTTP method"},
      {"model = \"draft\"", "model = \"dr\\u00e4ft\"", 9, "upstream[0].model",
       "contains a character that is not printable ASCII"},
      {"path_prefix = \"/v1\"", "path_prefix = \"v1\"", 22, "route[0].path_prefix",
       "does not start with \"/\""},
      {"methods = [\"POST\"]", "[[route]]\nname = \"b\"\npath_prefix = \"/v1\"", 25,
       "route[1].path_prefix", "overlaps the route \"chat\": same prefix and method"},
      {"methods = [\"POST\"]", "upstream = \"desk\"", 23, "route[0].upstream",
       "\"desk\" is not declared"},
      {"[[class]]", "[[class]]\nname = \"standard\"\n[[class]]", 6, "class[1].name",
       "the class \"standard\" is declared twice"},
      {runner, runner + "\n" + runner, 13, "upstream[0].runners[1].address",
       "the runner address \"127.0.0.1:9001\" is declared twice"},
      {"127.0.0.1:9001", "localhost:9001", 12, "upstream[0].runners[0].address",
       "is not an address"},
      {"127.0.0.1:9001", "127.0.0.1:0", 12, "upstream[0].runners[0].address", "is not an address"},
      {"model = \"draft\"", "", 6, "upstream[0].model", "is missing"},
      {"kind = \"model_engine\"", "", 6, "upstream[0].kind", "is missing"},
      {"[[route]]", "[[class]]", 1, "route", "is missing"},
  };
  for (const auto& fault : faults) {
    const auto errors = Summary(Errors(Replace(ValidDocument(), fault.from, fault.to)));
    EXPECT_THAT(errors, testing::Contains(std::make_tuple(fault.line, fault.key, fault.message)))
        << fault.to;
  }
  const auto errors =
      Summary(Errors(Replace(ValidDocument(), "[[workspace]]", second_upstream + "[[workspace]]")));
  EXPECT_THAT(errors, testing::ElementsAre(
                          testing::FieldsAre(17U, "upstream[1].model",
                                             "the model \"draft\" is served by the upstream "
                                             "\"engine\" already"),
                          testing::FieldsAre(19U, "upstream[1].runners[0].address", testing::_)));
}

// Guards against a parser that stops at the first error, and against errors that quote a secret.
TEST(ConfigurationParserTest, ReportsAllErrorsInOnePassWithoutSecrets) {
  auto document = Replace(ValidDocument(), Hash('a'), "sk-secret");
  document = Replace(document, "share = 2.5", "token = \"sk-secret\"");
  document = Replace(document, "weight = 2", "weight = true");
  document = Replace(document, "path_prefix", "prefix");
  const auto errors = Errors(document);
  EXPECT_EQ(errors.size(), 5U);
  for (const auto& error : errors) {
    EXPECT_EQ(FormatDiagnostic(error).find("sk-secret"), std::string::npos);
  }
  const auto syntax = Errors(ValidDocument() + "key = sk-secret\n");
  ASSERT_EQ(syntax.size(), 1U);
  EXPECT_EQ(syntax[0].line, 24U);
  EXPECT_EQ(FormatDiagnostic(syntax[0]).find("sk-secret"), std::string::npos);
}

// Guards against two names with the same identifier: messages between routers carry identifiers
// and could not distinguish them.
TEST(ConfigurationParserTest, RefusesNamesWithTheSameHash) {
  const auto document =
      Replace(ValidDocument(), "[[class]]", "[[class]]\nname = \"batch\"\n[[class]]");
  EXPECT_TRUE(Errors(document).empty());
  const auto errors = Errors(document, {[](std::string_view) { return std::uint64_t{7}; }});
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].line, 6U);
  EXPECT_EQ(errors[0].message, "the names \"batch\" and \"standard\" have the same hash");
}

// Guards against a document that crashes the daemon: random bytes, a valid document with random
// bytes inserted, and nesting that would exhaust the stack.
TEST(ConfigurationParserTest, AnyBytesGiveAConfigurationOrErrors) {
  const auto check = [](const std::string& document) {
    const auto parsed = ParseConfiguration(document, "fleet.toml");
    const auto* errors = std::get_if<std::vector<Diagnostic>>(&parsed);
    RC_ASSERT((errors == nullptr || !errors->empty()));
    if (errors == nullptr) {
      RC_ASSERT((FromSections(ToSections(std::get<Configuration>(parsed))).has_value()));
    }
    const auto settings = ParseDaemonSettings(document, "daemon.toml");
    RC_ASSERT((std::holds_alternative<std::vector<Diagnostic>>(settings)));
  };
  EXPECT_TRUE(rc::check("random bytes", [&](const std::string& bytes) { check(bytes); }));
  EXPECT_TRUE(rc::check("changed document", [&](const std::string& bytes) {
    auto document = ValidDocument();
    const auto position = *rc::gen::inRange<std::size_t>(0, document.size());
    const auto removed = *rc::gen::inRange<std::size_t>(0, 40);
    check(document.replace(position, removed, bytes));
  }));
  EXPECT_TRUE(rc::check("TOML symbols", [&]() {
    check(*rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("[]{}=.,\"'#\n\\ a1-:_T\xc3"))));
  }));
  std::string keys = "a";
  for (int level = 0; level < 200'000; ++level) {
    keys += ".a";
  }
  for (const auto& document :
       {"a = " + std::string(200'000, '['), keys + " = 1", "[" + keys + "]",
        "a = '''\n[[[\n''' # [[[ ' \"\nb = \"\\\"[[[\"\nc = " + std::string(200'000, '[')}) {
    check(document);
  }
}

// Guards against example files that the parser rejects.
TEST(ExamplesTest, AreValidAtTheSizesOfTheDesignPage) {
  for (const std::string name : {"atlas", "kalahari"}) {
    const auto file = fmt::format("examples/{}/fleet.toml", name);
    const auto parsed = ParseConfiguration(ReadFile(file), file);
    const auto* configuration = std::get_if<Configuration>(&parsed);
    ASSERT_NE(configuration, nullptr)
        << FormatDiagnostic(std::get<std::vector<Diagnostic>>(parsed).front());
    EXPECT_EQ(configuration->workspaces.size(), 16U);
    for (const auto& upstream : configuration->upstreams) {
      EXPECT_EQ(upstream.runners.size(), upstream.kind == UpstreamKind::kModelEngine ? 10U : 3U);
    }
    for (const std::string domain : {"a", "b", "c"}) {
      const auto settings_file = fmt::format("examples/{}/daemon-{}.toml", name, domain);
      const auto settings = ParseDaemonSettings(ReadFile(settings_file), settings_file);
      const auto* accepted = std::get_if<DaemonSettings>(&settings);
      ASSERT_NE(accepted, nullptr)
          << FormatDiagnostic(std::get<std::vector<Diagnostic>>(settings).front());
      EXPECT_EQ(accepted->failure_domain, domain);
      EXPECT_EQ(accepted->poll.configuration, milliseconds(2000));
    }
  }
}

// Guards against settings errors that appear one at a time, and against wrong lines.
TEST(DaemonSettingsTest, ReportsAllErrorsAtTheirLines) {
  const std::string document = R"(control_address = "127.0.0.1:0"
caller_address = "127.0.0.1:9000"
admin_address = "127.0.0.1:9000"
failure_domain = "a"
fleet_key_file = "fleet.key"
admin_token_file = "admin.token"
platform_address = "platform:80"
log_level = "loud"
seeds = ["127.0.0.1:9001", "x"]
[tls]
certificate_file = "c.pem"
[poll]
instances = "1ms"
[faults]
enabled = 1
)";
  const auto parsed = ParseDaemonSettings(document, "fleet.toml");
  const auto* errors = std::get_if<std::vector<Diagnostic>>(&parsed);
  ASSERT_NE(errors, nullptr);
  using testing::_;
  using testing::FieldsAre;
  EXPECT_THAT(
      Summary(*errors),
      testing::ElementsAre(FieldsAre(1U, "control_address", "is not an address"),
                           FieldsAre(1U, "region", "is missing"), FieldsAre(3U, "admin_address", _),
                           FieldsAre(7U, "platform_address", "is not an address"),
                           FieldsAre(8U, "log_level", "is unknown"),
                           FieldsAre(9U, "seeds[1]", "is not an address"),
                           FieldsAre(10U, "tls.private_key_file", "is missing"),
                           FieldsAre(13U, "poll.instances", "is out of range"),
                           FieldsAre(15U, "faults.enabled", "has the wrong type")));
}

}  // namespace
}  // namespace pomelospar::configuration
