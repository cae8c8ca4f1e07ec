// Requests that arrive while the server closes connections by its own decision. The tests write and
// connect without returning to the event loop, so that the server finds both at once.

#include <fmt/format.h>
#include <gmock/gmock.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <tuple>
#include <vector>

#include "libraries/http/byte_stream.h"
#include "tests/libraries/http/http_fixture.h"

namespace pomelospar::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using testing::HasSubstr;

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

class ConnectionLimitTest : public testing::Test {
 protected:
  void Start(std::size_t maximum_connections, std::chrono::milliseconds service_time = {},
             std::chrono::milliseconds replacement_grace = std::chrono::seconds(1)) {
    ServerOptions options;
    options.limits.replacement_grace = replacement_grace;
    options.limits.maximum_connections = maximum_connections;
    this->server = HttpServer::Create(this->io, std::move(options),
                                      [this, service_time](ServerExchange& exchange) {
                                        return this->Serve(exchange, service_time);
                                      })
                       .value();
  }

  asio::awaitable<void> Serve(ServerExchange& exchange, std::chrono::milliseconds service_time) {
    ++this->handled;
    if (exchange.disconnected()) ++this->handled_after_close;
    if (service_time > std::chrono::milliseconds::zero()) {
      co_await Pause(service_time);
    }
    HttpResponse response;
    response.body = "done|";
    std::ignore = co_await exchange.Respond(std::move(response));
  }

  /// Connects and has one request served.
  asio::awaitable<std::unique_ptr<RawConnection>> ConnectAndUse() {
    auto connection = co_await RawConnection::Connect(this->server->address());
    co_await connection->Send(std::string(kGet));
    EXPECT_THAT(co_await connection->ReadUntil("done|"), HasSubstr("done|"));
    connection->received.clear();
    co_await Pause(std::chrono::milliseconds(5));
    co_return connection;
  }

  std::unique_ptr<RawConnection> ConnectNow() {
    tcp::socket socket(this->io);
    socket.connect(ParseEndpoint(this->server->address()).value());
    return std::make_unique<RawConnection>(std::move(socket));
  }

  static void SendNow(RawConnection& connection) {
    asio::write(connection.socket, asio::buffer(kGet));
  }

  std::vector<std::unique_ptr<RawConnection>> ConnectAndSendNow(int count) {
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int i = 0; i < count; ++i) {
      connections.push_back(this->ConnectNow());
      SendNow(*connections.back());
    }
    return connections;
  }

  static asio::awaitable<bool> IsServed(RawConnection& connection) {
    const auto response = co_await connection.ReadUntil("done|");
    co_return response.starts_with("HTTP/1.1 200 ");
  }

  static asio::awaitable<bool> IsAnswered(RawConnection& connection) {
    const auto response = co_await connection.ReadUntil("|");
    co_return response.starts_with("HTTP/1.1 200 ") ||
        (response.starts_with("HTTP/1.1 503 ") &&
         response.find("Pomelospar-Outcome: not_run\r\n") != std::string::npos);
  }

  asio::io_context io{1};
  std::unique_ptr<HttpServer> server;
  std::size_t handled = 0;
  std::size_t handled_after_close = 0;
};

// Guards against a new connection that is closed for an even newer one between the arrival of its
// request and the call of the handler: the request was then run and its response went nowhere.
TEST_F(ConnectionLimitTest, ServesTheRequestThatArrivesBeforeANewerConnection) {
  this->Start(2);
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto idle = co_await this->ConnectAndUse();
    const auto first = this->ConnectNow();
    co_await Pause(std::chrono::milliseconds(5));
    SendNow(*first);
    const auto second = this->ConnectNow();
    SendNow(*second);
    const bool first_is_served = co_await IsServed(*first);
    const bool second_is_served = co_await IsServed(*second);
    EXPECT_TRUE(first_is_served);
    EXPECT_TRUE(second_is_served);
    EXPECT_EQ(this->handled, 3U);
    EXPECT_EQ(this->handled_after_close, 0U);
    EXPECT_EQ(this->server->replaced_connections(), 1U);
  });
}

// Guards against closing an idle connection whose next request has arrived but was not read.
TEST_F(ConnectionLimitTest, KeepsAnIdleConnectionWhoseNextRequestHasArrived) {
  this->Start(2);
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto longest_idle = co_await this->ConnectAndUse();
    const auto idle = co_await this->ConnectAndUse();
    const auto late = this->ConnectNow();
    SendNow(*late);
    SendNow(*longest_idle);
    const bool is_served = co_await IsServed(*longest_idle);
    const bool late_is_served = co_await IsServed(*late);
    EXPECT_TRUE(is_served);
    EXPECT_TRUE(late_is_served);
    const auto rest = co_await idle->ReadAll();
    EXPECT_EQ(rest, "");
  });
}

// Guards against connections that are closed for newer ones before their first request comes, while
// others are idle.
TEST_F(ConnectionLimitTest, ReplacesIdleConnectionsBeforeNewOnes) {
  this->Start(3);
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto longest_idle = co_await this->ConnectAndUse();
    const auto idle = co_await this->ConnectAndUse();
    const auto first = co_await RawConnection::Connect(this->server->address());
    co_await Pause(std::chrono::milliseconds(5));
    const auto second = co_await RawConnection::Connect(this->server->address());
    co_await Pause(std::chrono::milliseconds(5));
    SendNow(*first);
    SendNow(*second);
    SendNow(*idle);
    for (auto* connection : {first.get(), second.get(), idle.get()}) {
      const bool is_served = co_await IsServed(*connection);
      EXPECT_TRUE(is_served);
    }
    const auto rest = co_await longest_idle->ReadAll();
    EXPECT_EQ(rest, "");
  });
}

// Guards against connections beyond the limit that are closed without a response when many come at
// once.
TEST_F(ConnectionLimitTest, AnswersEachOfManyConnectionsBeyondTheLimit) {
  constexpr int kCallers = 40;
  this->Start(4, std::chrono::milliseconds(20));
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto callers = this->ConnectAndSendNow(kCallers);
    int answered = 0;
    for (auto& caller : callers) {
      if (co_await IsAnswered(*caller)) ++answered;
      caller->socket.close();
    }
    EXPECT_EQ(answered, kCallers);
    EXPECT_EQ(this->handled_after_close, 0U);
    co_await Pause(std::chrono::milliseconds(20));
    EXPECT_EQ(this->server->connections(), 0U);
    EXPECT_GT(this->server->refused_for_limit(), 0U);
  });
}

// Guards against refused callers that do not close and thereby keep further ones waiting.
TEST_F(ConnectionLimitTest, AnswersCallersBehindRefusedOnesThatStayConnected) {
  constexpr int kCallers = 20;
  this->Start(2, std::chrono::milliseconds(50));
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto callers = this->ConnectAndSendNow(kCallers);
    int answered = 0;
    const auto begun = std::chrono::steady_clock::now();
    for (auto& caller : callers) {
      if (co_await IsAnswered(*caller)) ++answered;
    }
    EXPECT_EQ(answered, kCallers);
    // A refused connection that stays open is drained for a second.
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(10));
  });
}

// Guards against more connections than the limit: closing a refused one leaves no place, since
// refused ones do not count.
TEST_F(ConnectionLimitTest, ServesNoMoreConnectionsThanTheLimit) {
  constexpr unsigned kLimit = 8;
  constexpr unsigned kRefused = 6;
  this->Start(kLimit, std::chrono::seconds(3));
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (unsigned i = 0; i < kLimit + kRefused; ++i) {
      callers.push_back(this->ConnectNow());
      SendNow(*callers.back());
      // Refused callers have received their responses after this time.
      co_await Pause(std::chrono::milliseconds(120));
    }
    EXPECT_EQ(this->handled, kLimit);
    for (auto& caller : callers) {
      const bool is_answered = co_await IsAnswered(*caller);
      EXPECT_TRUE(is_answered);
    }
  });
}

// Guards against callers whose half sent requests were refused and who do not close: each of them
// would keep its place for the whole time of draining.
TEST_F(ConnectionLimitTest, ServesACallerBehindManyHalfSentRequests) {
  constexpr int kHalfSent = 12;
  this->Start(2, {}, std::chrono::milliseconds(10));
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    std::vector<std::unique_ptr<RawConnection>> crowd;
    for (int i = 0; i < kHalfSent; ++i) {
      crowd.push_back(this->ConnectNow());
      asio::write(crowd.back()->socket, asio::buffer(kGet.substr(0, 20)));
    }
    const auto begun = std::chrono::steady_clock::now();
    const auto caller = this->ConnectNow();
    SendNow(*caller);
    const bool is_answered = co_await IsAnswered(*caller);
    EXPECT_TRUE(is_answered);
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(4));
  });
}

// Guards against a stop that closes an idle connection whose next request has arrived.
TEST_F(ConnectionLimitTest, ServesARequestThatArrivedBeforeTheStop) {
  this->Start(10);
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto idle = co_await this->ConnectAndUse();
    SendNow(*idle);
    this->server->StopAccepting();
    const bool is_served = co_await IsServed(*idle);
    EXPECT_TRUE(is_served);
    EXPECT_THAT(idle->received, HasSubstr("Connection: close\r\n"));
  });
}

}  // namespace
}  // namespace pomelospar::http
