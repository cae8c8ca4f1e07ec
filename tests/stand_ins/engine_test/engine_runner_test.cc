#include "tests/stand_ins/engine_stand_in/engine_runner.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>

#include "libraries/http/upstream_connection.h"

namespace pomelospar::stand_in {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr auto kTimeout = std::chrono::seconds(5);

/// What a caller sees of one request.
struct Call {
  std::unique_ptr<http::UpstreamConnection> connection;
  http::ResponseHead head;
  std::string body;
  bool complete = false;
  bool done = false;
};

class EngineRunnerTest : public testing::Test {
 protected:
  EngineRunnerTest() {
    this->options.slots = 2;
    this->options.first_token_time = milliseconds(1);
    this->options.token_time = milliseconds(5);
    this->options.crash_marker = "poison";
    this->options.crash_ends_process = false;
    this->options.restart_after = milliseconds(50);
    this->options.load_lag = milliseconds(60);
    EXPECT_TRUE(this->port.Listen().has_value());
    this->runner = std::make_unique<EngineRunner>(this->io, this->port, this->options);
  }

  std::shared_ptr<Call> Start(const nlohmann::json& body, const std::string& resume_from = "0") {
    auto call = std::make_shared<Call>();
    http::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers = {{"Resume-From", resume_from}};
    request.body = body.dump();
    asio::co_spawn(this->io, this->Run(call, std::move(request)), asio::detached);
    return call;
  }

  asio::awaitable<void> Run(std::shared_ptr<Call> call, http::HttpRequest request) {
    auto opened = co_await http::UpstreamConnection::Open(this->port.address(), kTimeout);
    if (opened) {
      call->connection = std::move(opened.value());
      const auto received = co_await this->Receive(*call, request);
      call->complete = received.has_value();
    }
    call->done = true;
  }

  asio::awaitable<core::Result<void>> Receive(Call& call, const http::HttpRequest& request) {
    BOOST_OUTCOME_CO_TRY(co_await call.connection->Send(request, kTimeout));
    BOOST_OUTCOME_CO_TRY(call.head, co_await call.connection->ReadHead(kTimeout));
    while (true) {
      BOOST_OUTCOME_CO_TRY(const auto piece, co_await call.connection->ReadPiece(kTimeout));
      if (!piece) break;
      call.body += *piece;
    }
    co_return core::Success();
  }

  void RunFor(milliseconds duration) {
    this->io.restart();
    this->io.run_for(duration);
  }

  void WaitFor(const std::shared_ptr<Call>& call) {
    for (int i = 0; i < 500 && !call->done; ++i) this->RunFor(milliseconds(10));
    EXPECT_TRUE(call->done);
  }

  /// The text of a streamed answer.
  static std::string Text(const std::string& events) {
    std::string text;
    std::size_t position = 0;
    while ((position = events.find("data: {", position)) != std::string::npos) {
      position += 6;
      const auto event =
          nlohmann::json::parse(events.substr(position, events.find("\n\n", position) - position));
      text += event.at("choices").at(0).at("text").get<std::string>();
    }
    return text;
  }

  asio::io_context io{1};
  EngineOptions options;
  StandInPort port{io, {}};
  std::unique_ptr<EngineRunner> runner;
};

nlohmann::json Body(const std::string& user, std::uint64_t tokens) {
  return {{"prompt", "hello"},
          {"user", user},
          {"nonce", "n"},
          {"stream", true},
          {"max_tokens", tokens}};
}

// Guards against an emulator that lets more run than its slots, runs out of order, or keeps a slot
// for a caller that left; measures of fairness and utilisation would be wrong.
TEST_F(EngineRunnerTest, RunsInOrderWithinItsSlots) {
  const auto endless = this->Start(Body("a", 100000));
  const auto second = this->Start(Body("b", 10));
  this->RunFor(milliseconds(15));
  const auto third = this->Start(Body("c", 10));
  this->RunFor(milliseconds(10));
  const auto fourth = this->Start(Body("d", 10));
  this->RunFor(milliseconds(10));
  EXPECT_TRUE(third->body.empty() && fourth->body.empty());
  this->WaitFor(second);
  this->RunFor(milliseconds(20));
  EXPECT_FALSE(third->body.empty());
  EXPECT_TRUE(fourth->body.empty());
  endless->connection->Close();
  this->RunFor(milliseconds(20));
  EXPECT_FALSE(fourth->body.empty());
  this->WaitFor(fourth);
  EXPECT_TRUE(second->complete && fourth->complete);
}

// Guards against answers that a caller cannot tell from another one's, and against a resumed stream
// that is not the rest of the broken one.
TEST_F(EngineRunnerTest, AnswersAreTheCallersOwnAndCanBeResumed) {
  auto body = Body("a", 6);
  body["fault"] = {{"kind", "truncate"}, {"after", 2}};
  const auto broken = this->Start(body);
  const auto other = this->Start(Body("b", 6));
  this->WaitFor(broken);
  this->WaitFor(other);
  const auto resumed = this->Start(Body("a", 6), "2");
  this->WaitFor(resumed);
  EXPECT_FALSE(broken->complete);
  EXPECT_TRUE(resumed->complete);
  const auto expected = AnswerText(AnswerSourceOf(body), 6);
  EXPECT_EQ(Text(broken->body) + Text(resumed->body), expected);
  EXPECT_NE(Text(other->body), expected);
  EXPECT_NE(resumed->body.find("\"completion_tokens\":6"), std::string::npos);
  EXPECT_EQ(resumed->body.substr(resumed->body.size() - 14), "data: [DONE]\n\n");
}

// Guards against a crash that leaves other streams of the runner running, or that looks like the
// same run of the runner afterwards.
TEST_F(EngineRunnerTest, CrashBreaksAllStreamsAndChangesTheIncarnation) {
  const auto victim = this->Start(Body("a", 1000));
  this->RunFor(milliseconds(30));
  const auto before = std::string(*victim->head.FindHeader("Pomelospar-Runner-Incarnation"));
  auto poison = Body("b", 5);
  poison["prompt"] = "some poison here";
  const auto killer = this->Start(poison);
  this->WaitFor(killer);
  this->WaitFor(victim);
  EXPECT_FALSE(killer->complete || victim->complete);
  const auto refused = this->Start(Body("c", 5));
  this->WaitFor(refused);
  EXPECT_FALSE(refused->complete);
  this->RunFor(milliseconds(100));
  const auto after = this->Start(Body("c", 5));
  this->WaitFor(after);
  EXPECT_TRUE(after->complete);
  EXPECT_NE(after->head.FindHeader("Pomelospar-Runner-Incarnation"), before);
}

}  // namespace
}  // namespace pomelospar::stand_in
