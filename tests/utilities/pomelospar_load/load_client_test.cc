#include "utilities/pomelospar_load/client/load_client.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace pomelospar::load {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Serves one connection after another and one request on each. The response has the body that
/// `answer` returns for the body of the request.
class CannedServer {
 public:
  explicit CannedServer(std::function<std::string(const nlohmann::json&)> answer)
      : answer(std::move(answer)), thread([this] { this->Serve(); }) {}

  ~CannedServer() {
    // Wakes the thread if it waits for a connection.
    this->stopped = true;
    boost::system::error_code error;
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect(this->acceptor.local_endpoint(), error);
    socket.close(error);
    this->thread.join();
  }

  std::string address() const {
    return fmt::format("127.0.0.1:{}", this->acceptor.local_endpoint().port());
  }

 private:
  void Serve() {
    while (!this->stopped) {
      tcp::socket socket(this->io);
      boost::system::error_code error;
      this->acceptor.accept(socket, error);
      this->ServeOne(socket);
    }
  }

  void ServeOne(tcp::socket& socket) const {
    boost::system::error_code error;
    std::string text;
    const auto head = asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
    const auto field = text.find("Content-Length: ");
    if (error || field == std::string::npos) {
      return;
    }
    std::size_t length = 0;
    std::from_chars(text.data() + field + 16, text.data() + text.size(), length);
    const auto have = text.size() - head;
    asio::read(socket, asio::dynamic_buffer(text), asio::transfer_exactly(length - have), error);
    const auto body = this->answer(nlohmann::json::parse(text.substr(head)));
    const auto response = fmt::format(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nPomelospar-Outcome: answered\r\n"
        "Content-Length: {}\r\n\r\n{}",
        body.size(), body);
    asio::write(socket, asio::buffer(response), error);
  }

  std::function<std::string(const nlohmann::json&)> answer;
  asio::io_context io;
  tcp::acceptor acceptor{io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::atomic<bool> stopped = false;
  std::thread thread;
};

std::string OwnAnswer(const nlohmann::json& body) {
  return fmt::format(
      "{{\"choices\":[{{\"message\":{{\"content\":\"user={} nonce={} \"}}}}],"
      "\"usage\":{{\"completion_tokens\":1}}}}",
      body["user"].get<std::string>(), body["nonce"].get<std::string>());
}

LoadPlan PlanFor(const CannedServer& server) {
  LoadPlan plan;
  plan.targets = {{server.address(), 1.0}};
  Source source;
  source.rate = 100.0;
  source.workspaces = {{"atlas", "key", 1.0}};
  source.kinds = {{"chat", 1.0}};
  plan.sources = {source};
  plan.duration_seconds = 0.5;
  plan.drain_seconds = 10.0;
  return plan;
}

// Guards against coordinated omission: a server that stops for 300 ms delays the requests planned
// in that time, and the latencies must show it although the server handles each at once afterwards.
TEST(LoadClientTest, LatencyCountsFromThePlannedTime) {
  int count = 0;
  CannedServer server([&](const nlohmann::json& body) {
    count += 1;
    if (count == 5) {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    return OwnAnswer(body);
  });
  int answered = 0;
  int delayed = 0;
  RunLoad(PlanFor(server), [&](const Observation& observation) {
    answered += ResultOf(observation) == RequestResult::kAnswered ? 1 : 0;
    delayed += observation.done - observation.planned > 0.1 ? 1 : 0;
  });
  EXPECT_GT(answered, 25);
  EXPECT_GT(delayed, 8) << "about 20 requests were planned in the first 200 ms of the stop";
}

// Guards against a load generator that does not detect that a caller received another's response.
TEST(LoadClientTest, SeesExchangedAnswers) {
  std::string previous = "{}";
  CannedServer server(
      [&](const nlohmann::json& body) { return std::exchange(previous, OwnAnswer(body)); });
  std::map<RequestResult, int> results;
  RunLoad(PlanFor(server),
          [&](const Observation& observation) { results[ResultOf(observation)] += 1; });
  EXPECT_GT(results[RequestResult::kWrong], 25);
  EXPECT_EQ(results[RequestResult::kAnswered], 0);
}

}  // namespace
}  // namespace pomelospar::load
