#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace pomelospar::pomelosparctl {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;
using testing::HasSubstr;

struct Outcome {
  int exit_code = 0;
  /// Standard output and standard error.
  std::string output;
};

Outcome RunTool(const std::string& arguments) {
  const auto command =
      fmt::format("cd {} && {{ {} {}; }} 2>&1", POMELOSPAR_SOURCE_DIR, POMELOSPARCTL, arguments);
  // The tests start the tool as operators do. Only the programs of the fleet must not start any
  // process.
  FILE* pipe = popen(command.c_str(), "r");  // NOLINT(cert-env33-c)
  Outcome outcome;
  std::array<char, 4096> buffer{};
  while (const auto size = fread(buffer.data(), 1, buffer.size(), pipe)) {
    outcome.output.append(buffer.data(), size);
  }
  outcome.exit_code = WEXITSTATUS(pclose(pipe));
  return outcome;
}

std::string WriteFile(const std::string& name, const std::string& content) {
  auto path = testing::TempDir() + "pomelosparctl_test_" + name;
  std::ofstream(path) << content;
  return path;
}

struct ScriptedResponse {
  /// 0 closes the connection without an answer.
  int status = 200;
  json body;
};

/// Serves one request per connection with the next response of a script and records the requests.
class AdminServer {
 public:
  explicit AdminServer(std::vector<ScriptedResponse> script)
      : script(std::move(script)), thread([this] { this->Serve(); }) {}
  ~AdminServer() {
    // Ends the wait for requests that did not come, so that a failing test does not hang.
    this->stopping = true;
    asio::ip::tcp::socket socket(this->context);
    boost::system::error_code ignored;
    socket.connect(this->acceptor.local_endpoint(), ignored);
    socket.close(ignored);
    this->thread.join();
  }
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  std::string flags() const {
    return fmt::format("--server=127.0.0.1:{} --token-file={}",
                       this->acceptor.local_endpoint().port(), WriteFile("token", "the-token\n"));
  }

  std::vector<http::request<http::string_body>> requests;

 private:
  void Serve() {
    for (const auto& step : this->script) {
      auto socket = this->acceptor.accept();
      if (this->stopping) {
        return;
      }
      boost::beast::flat_buffer buffer;
      http::request<http::string_body> request;
      http::read(socket, buffer, request);
      this->requests.push_back(request);
      if (step.status == 0) {
        continue;
      }
      http::response<http::string_body> response(static_cast<http::status>(step.status), 11);
      response.body() = step.body.dump();
      response.prepare_payload();
      http::write(socket, response);
    }
  }

  std::vector<ScriptedResponse> script;
  std::atomic<bool> stopping = false;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor{this->context, {asio::ip::make_address("127.0.0.1"), 0}};
  std::thread thread;
};

constexpr auto kAtlas = "examples/atlas/fleet.toml";

// Guards against usage errors that exit with 0, which scripts take for success, and against errors
// that do not say how to correct the command.
TEST(PomelosparctlTest, UsageErrorsExitWithOneAndNameTheRemedy) {
  const std::map<std::string, std::string> remedies = {
      {"", "--help"},
      {"aply", "--help"},
      {"apply", "write `pomelosparctl apply FILE`"},
      {"validate", "write `validate FILE`"},
      {"validate /nonexistent.toml", "check its path"},
      {"status", "--token-file"},
      {"status --server=127.0.0.1:1 --token-file=/nonexistent", "check its path"},
      {"history --limit=0", "--limit must be"},
      {"rollback none", "pomelosparctl history"},
      {"apply f.toml --expect-generation=-7", "must be 0 or more"},
      {"quarantine clear", "quarantine clear FINGERPRINT"},
      {"faults x", "write for example"},
      {"hash-key < /dev/null", "hash-key < KEYFILE"},
      {"status --unknown-flag", "unknown"}};
  for (const auto& [arguments, remedy] : remedies) {
    const auto outcome = RunTool(arguments);
    EXPECT_EQ(outcome.exit_code, 1) << arguments;
    EXPECT_THAT(outcome.output, HasSubstr(remedy)) << arguments;
  }
  EXPECT_EQ(RunTool("--help").exit_code, 0);
}

// Guards against a validation that needs a running fleet or does not report its result in the exit
// code and as JSON.
TEST(PomelosparctlTest, ValidatesFilesOffline) {
  EXPECT_EQ(RunTool(fmt::format("validate {}", kAtlas)).exit_code, 0);
  EXPECT_EQ(RunTool("validate --settings=examples/kalahari/daemon-b.toml").exit_code, 0);
  const auto file = WriteFile("bad.toml", "[limits]\nspeed = 1\n");
  const auto outcome = RunTool("validate " + file);
  EXPECT_EQ(outcome.exit_code, 2);
  EXPECT_THAT(outcome.output, HasSubstr(file + ":2: limits.speed: is unknown; "));
  EXPECT_EQ(RunTool("validate --settings=" + file).exit_code, 2);
  const auto machine = json::parse(RunTool("validate --json " + file + " 2>/dev/null").output);
  EXPECT_EQ(machine.at("diagnostics").at(4).at("key"), "limits.speed");
}

// Guards against `hash-key` printing another hash than the configuration holds for the same key.
TEST(PomelosparctlTest, HashOfAnExampleKeyStandsInTheExample) {
  auto hash = RunTool("hash-key < " + WriteFile("key", "example-key-hazel-home\n")).output;
  ASSERT_EQ(hash.size(), 65U);
  hash.pop_back();
  std::ifstream file(std::string(POMELOSPAR_SOURCE_DIR "/") + kAtlas);
  const std::string fleet{std::istreambuf_iterator<char>(file), {}};
  EXPECT_THAT(fleet, HasSubstr(hash));
}

// Guards against an exit code that does not match the HTTP status, and against a missing token.
TEST(PomelosparctlTest, ExitCodesTellHowAnApplyEnded) {
  const std::map<int, std::pair<int, std::string>> cases = {{200, {0, "~ workspace/pine"}},
                                                            {401, {4, "HTTP 401"}},
                                                            {409, {3, "~ workspace/pine"}},
                                                            {422, {2, "f.toml:3: k: m; r"}},
                                                            {503, {4, "HTTP 503"}}};
  for (const auto& [status, expected] : cases) {
    const json diagnostic = {
        {"file", "f.toml"}, {"line", 3}, {"key", "k"}, {"message", "m"}, {"remedy", "r"}};
    const json body = {{"message", "text"},
                       {"changes", {"~ workspace/pine"}},
                       {"diagnostics", json::array({diagnostic})}};
    Outcome outcome;
    json sent;
    std::string authorization;
    {
      AdminServer server({{status, body}});
      outcome =
          RunTool(fmt::format("apply {} --expect-generation=7 --message=why --operator-name=ann {}",
                              kAtlas, server.flags()));
      sent = json::parse(server.requests.at(0).body());
      authorization = std::string(server.requests[0][http::field::authorization]);
    }
    EXPECT_EQ(outcome.exit_code, expected.first) << outcome.output;
    EXPECT_THAT(outcome.output, HasSubstr(expected.second));
    EXPECT_EQ(authorization, "Bearer the-token");
    EXPECT_EQ(sent.at("expect_generation"), 7);
    EXPECT_EQ(sent.at("operator"), "ann");
    EXPECT_EQ(sent.at("message"), "why");
  }
}

// Guards against an apply that took effect and is reported as failed, or the reverse.
TEST(PomelosparctlTest, UnknownOutcomeIsResolvedFromTheHistory) {
  for (const int first_status : {504, 0}) {
    for (const bool took_effect : {true, false}) {
      const json change = {{"apply_identifier", took_effect ? "mine" : "other"}, {"generation", 8}};
      AdminServer server(
          {{first_status, {{"message", "unknown"}}}, {200, {{"changes", json::array({change})}}}});
      const auto outcome =
          RunTool(fmt::format("apply {} --apply-identifier=mine {}", kAtlas, server.flags()));
      EXPECT_EQ(outcome.exit_code, took_effect ? 0 : 5);
      EXPECT_THAT(outcome.output,
                  HasSubstr(took_effect ? "generation 8 took effect" : "--apply-identifier=mine"));
    }
  }
}

// Guards against a failed router that keeps an operator from reaching the other routers.
TEST(PomelosparctlTest, TriesFurtherServersAndPrintsTables) {
  const json runner = {
      {"address", "127.0.0.1:9"}, {"domain", "a"}, {"slots", 4}, {"state", "live"}};
  const json upstream = {{"name", "desk"}, {"runners", json::array({runner})}};
  Outcome outcome;
  {
    AdminServer server({{200, {{"upstreams", json::array({upstream})}}}});
    auto flags = server.flags();
    flags.insert(flags.find('=') + 1, "127.0.0.1:1,");
    outcome = RunTool("upstreams " + flags);
  }
  EXPECT_EQ(outcome.exit_code, 0);
  EXPECT_THAT(outcome.output, HasSubstr("UPSTREAM  MODEL  RUNNER       DOMAIN  SLOTS"));
  EXPECT_THAT(outcome.output, HasSubstr("desk      -      127.0.0.1:9  a       4"));
  const auto dead = RunTool("status --server=127.0.0.1:1 --token-file=" + WriteFile("token", "t"));
  EXPECT_EQ(dead.exit_code, 4);
  EXPECT_THAT(dead.output, HasSubstr("--server"));
}

}  // namespace
}  // namespace pomelospar::pomelosparctl
