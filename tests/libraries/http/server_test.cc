#include <fmt/format.h>
#include <gmock/gmock.h>
#include <rapidcheck.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>
#include <vector>

#include "libraries/http/byte_stream.h"
#include "tests/libraries/http/http_fixture.h"

namespace pomelospar::http {
namespace {

namespace asio = boost::asio;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

ServerOptions QuickOptions() {
  ServerOptions options;
  options.limits.header_bytes = 1024;
  options.limits.body_bytes = 2048;
  options.limits.header_timeout = std::chrono::milliseconds(200);
  options.limits.body_timeout = std::chrono::milliseconds(200);
  options.limits.keep_alive_timeout = std::chrono::milliseconds(400);
  return options;
}

class ServerTest : public testing::Test {
 protected:
  asio::awaitable<boost::system::error_code> TryConnect() {
    asio::ip::tcp::socket socket(this->io);
    const auto endpoint = ParseEndpoint(this->server->address()).value();
    const auto [error] =
        co_await socket.async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    co_return error;
  }
  void Start(ServerOptions options, Handler handler) {
    this->server = HttpServer::Create(this->io, std::move(options), std::move(handler)).value();
  }

  /// A handler that answers with the request's target and body.
  Handler Echo() {
    return [this](ServerExchange& exchange) { return this->EchoOnce(exchange); };
  }

  asio::awaitable<void> EchoOnce(ServerExchange& exchange) {
    ++this->handled;
    HttpResponse response;
    response.body = exchange.request().target + "|" + exchange.request().body;
    std::ignore = co_await exchange.Respond(std::move(response));
  }

  asio::io_context io{1};
  std::unique_ptr<HttpServer> server;
  std::size_t handled = 0;
};

// A rejected request must get a clear status and must not reach the handler. Ambiguous body lengths
// must be rejected, because they allow request smuggling.
TEST_F(ServerTest, RefusesBadRequestsWithoutRunningThem) {
  this->Start(QuickOptions(), this->Echo());
  const std::string big_header = "X: " + std::string(2000, 'a') + "\r\n";
  const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::vector<std::pair<std::string, int>> cases = {
      {"GET /x HTTP/1.1\r\nHost: h\r\n" + big_header + "\r\n", 431},
      {post + "Content-Length: 3000\r\n\r\n", 413},
      {post + "Content-Length: 4000000\r\n\r\n" + std::string(4000000, 'b'), 413},
      {post + "Transfer-Encoding: chunked\r\n\r\nbb8\r\n" + std::string(3000, 'b') +
           "\r\n0\r\n\r\n",
       413},
      {"this is not HTTP\r\n\r\n", 400},
      {"GET /x HTTP/1.0\r\nHost: h\r\n\r\n", 400},
      {"GET /x HTTP/1.1\r\n\r\n", 400},
      {"GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
      {post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {post + "Transfer-Encoding: gzip\r\n\r\nGET /y HTTP/1.1\r\nHost: h\r\n\r\n", 400},
      {post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
      {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {"GET /x HTTP/1.1\r\nHost: h\r\nX-Sl", 408},
      {post + "Content-Length: 10\r\n\r\nabc", 408},
  };
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    for (const auto& [bytes, status] : cases) {
      const auto response = co_await RawExchange(this->server->address(), bytes);
      EXPECT_THAT(response, StartsWith(fmt::format("HTTP/1.1 {} ", status))) << bytes.substr(0, 90);
      EXPECT_THAT(response, HasSubstr("Pomelospar-Outcome: not_run\r\n"));
      EXPECT_THAT(response, HasSubstr("Connection: close\r\n"));
    }
  });
  EXPECT_EQ(this->handled, 0U);
}

// Pipelined requests could get responses out of order or for the wrong request. A caller that sends
// `Expect: 100-continue` would wait if the interim response were missing.
TEST_F(ServerTest, AnswersPipelinedRequestsInOrder) {
  this->Start(QuickOptions(), this->Echo());
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto connection = co_await RawConnection::Connect(this->server->address());
    std::string bytes;
    for (int i = 0; i < 20; ++i) {
      bytes += fmt::format("POST /{0} HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{0:02}", i);
    }
    co_await connection->Send(bytes);
    const auto responses = co_await connection->ReadUntil("/19|19");
    std::size_t position = 0;
    for (int i = 0; i < 20; ++i) {
      position = responses.find(fmt::format("\r\n\r\n/{0}|{0:02}", i), position);
      EXPECT_NE(position, std::string::npos) << i;
      if (position == std::string::npos) co_return;
    }
    connection->received.clear();
    co_await connection->Send(
        "POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    const auto interim = co_await connection->ReadUntil("100 Continue\r\n\r\n");
    EXPECT_EQ(interim, "HTTP/1.1 100 Continue\r\n\r\n");
    co_await connection->Send("ok");
    const auto response = co_await connection->ReadUntil("/late|ok");
    EXPECT_THAT(response, HasSubstr("/late|ok"));
  });
}

// The caller must be able to detect that a response was aborted: no final chunk may be sent.
TEST_F(ServerTest, BrokenOffStreamLooksIncomplete) {
  this->Start(QuickOptions(), [](ServerExchange& exchange) -> asio::awaitable<void> {
    const auto target = exchange.request().target;
    ResponseHead head;
    head.chunked = target != "/length";
    if (!head.chunked) head.content_length = 100;
    std::ignore = co_await exchange.StartStream(std::move(head));
    std::ignore = co_await exchange.Write("piece");
    if (target == "/abort") exchange.Abort();
    if (target == "/return") co_return;
    std::vector<HttpHeader> trailers = {{"X-Sum", "1"}};
    const auto finished = co_await exchange.FinishStream(std::move(trailers));
    EXPECT_EQ(finished.has_value(), target == "/whole");
  });
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const std::vector<std::string> broken_off = {"/abort", "/return", "/length"};
    for (const auto& target : broken_off) {
      const auto request = "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
      const auto response = co_await RawExchange(this->server->address(), request);
      EXPECT_THAT(response, HasSubstr("piece")) << target;
      EXPECT_THAT(response, Not(HasSubstr("0\r\n\r\n\r\n"))) << target;
      EXPECT_THAT(response, Not(HasSubstr("\r\n0\r\n"))) << target;
    }
    const auto connection = co_await RawConnection::Connect(this->server->address());
    co_await connection->Send("GET /whole HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto whole = co_await connection->ReadUntil("X-Sum: 1\r\n\r\n");
    EXPECT_THAT(whole, HasSubstr("5\r\npiece\r\n0\r\nX-Sum: 1\r\n\r\n"));
  });
}

// Without the disconnect handler, work would continue for a caller that has disconnected. This must
// also work if the caller had already sent its next request.
TEST_F(ServerTest, TellsTheHandlerThatTheCallerLeft) {
  std::size_t notified = 0;
  this->Start(QuickOptions(), [&](ServerExchange& exchange) -> asio::awaitable<void> {
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::seconds(10));
    exchange.SetDisconnectHandler([&] {
      ++notified;
      timer.cancel();
    });
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    EXPECT_TRUE(exchange.disconnected());
  });
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const std::vector<std::string> followed_by = {"", std::string(kGet)};
    for (const auto& more : followed_by) {
      auto connection = co_await RawConnection::Connect(this->server->address());
      co_await connection->Send(std::string(kGet));
      co_await Pause(std::chrono::milliseconds(30));
      co_await connection->Send(more);
      co_await Pause(std::chrono::milliseconds(30));
      EXPECT_EQ(this->server->active_exchanges(), 1U);
      connection.reset();
      co_await Pause(std::chrono::milliseconds(50));
      EXPECT_EQ(this->server->active_exchanges(), 0U);
    }
  });
  EXPECT_EQ(notified, 2U);
}

// A planned shutdown must not interrupt a request in progress, nor one whose connection the system
// has queued but the server has not accepted yet, and idle connections must not delay it forever.
TEST_F(ServerTest, StopFinishesWhatWasAccepted) {
  this->Start(QuickOptions(), [](ServerExchange& exchange) -> asio::awaitable<void> {
    co_await Pause(std::chrono::milliseconds(100));
    HttpResponse response;
    response.body = "done";
    std::ignore = co_await exchange.Respond(std::move(response));
  });
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto idle = co_await RawConnection::Connect(this->server->address());
    co_await idle->Send(std::string(kGet));
    co_await idle->ReadUntil("done");
    const auto busy = co_await RawConnection::Connect(this->server->address());
    co_await busy->Send(std::string(kGet));
    co_await Pause(std::chrono::milliseconds(20));
    // A blocking connect, so that the server has no chance to accept before it stops.
    asio::ip::tcp::socket queued_socket(this->io);
    queued_socket.connect(busy->socket.remote_endpoint());
    RawConnection queued(std::move(queued_socket));
    this->server->StopAccepting();
    co_await queued.Send(std::string(kGet));
    const auto idle_rest = co_await idle->ReadAll();
    EXPECT_THAT(idle_rest, testing::EndsWith("done"));
    const auto busy_response = co_await busy->ReadAll();
    EXPECT_THAT(busy_response, testing::EndsWith("done"));
    EXPECT_THAT(busy_response, HasSubstr("Connection: close"));
    const auto queued_response = co_await queued.ReadAll();
    EXPECT_THAT(queued_response, testing::EndsWith("done"));
    asio::ip::tcp::socket late(this->io);
    boost::system::error_code error;
    late.connect(idle->socket.local_endpoint(), error);
    EXPECT_TRUE(error);
    idle->socket.close();
    busy->socket.close();
    queued.socket.close();
    co_await Pause(std::chrono::milliseconds(50));
    EXPECT_EQ(this->server->connections(), 0U);
  });
}

// When requests in progress hold all connections, further callers must get a 503 instead of no
// response.
TEST_F(ServerTest, RefusesConnectionsBeyondTheLimit) {
  auto options = QuickOptions();
  options.limits.maximum_connections = 2;
  this->Start(options, [](ServerExchange& exchange) -> asio::awaitable<void> {
    co_await Pause(std::chrono::milliseconds(100));
    HttpResponse response;
    response.body = exchange.request().target + "|";
    std::ignore = co_await exchange.Respond(std::move(response));
  });
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto first = co_await RawConnection::Connect(this->server->address());
    const auto second = co_await RawConnection::Connect(this->server->address());
    co_await first->Send(std::string(kGet));
    co_await second->Send(std::string(kGet));
    co_await Pause(std::chrono::milliseconds(20));
    const auto refused = co_await RawExchange(this->server->address(), std::string(kGet));
    EXPECT_THAT(refused, StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(refused, HasSubstr("Pomelospar-Outcome: not_run\r\n"));
    const auto response = co_await second->ReadUntil("/x|");
    EXPECT_THAT(response, HasSubstr("/x|"));
  });
}

// Clients that connect and do not complete a request must not keep others out, nor take the place
// of a connection that callers reuse.
TEST_F(ServerTest, ReplacesConnectionsThatNeverCompletedARequest) {
  auto options = QuickOptions();
  options.limits.maximum_connections = 2;
  options.limits.replacement_grace = std::chrono::milliseconds(10);
  this->Start(options, this->Echo());
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto reused = co_await RawConnection::Connect(this->server->address());
    co_await reused->Send(std::string(kGet));
    EXPECT_THAT(co_await reused->ReadUntil("/x|"), HasSubstr("/x|"));
    const auto unfinished = co_await RawConnection::Connect(this->server->address());
    co_await unfinished->Send("GET /x HTTP/1.1\r\n");
    co_await Pause(std::chrono::milliseconds(20));
    const auto served = co_await RawExchange(this->server->address(), std::string(kGet));
    EXPECT_THAT(served, StartsWith("HTTP/1.1 200 "));
    const auto refused = co_await unfinished->ReadAll();
    EXPECT_THAT(refused, StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(refused, HasSubstr("Pomelospar-Outcome: not_run\r\n"));
    co_await reused->Send(std::string(kGet));
    EXPECT_THAT(co_await reused->ReadUntil("/x|"), HasSubstr("/x|"));
    EXPECT_EQ(this->server->replaced_connections(), 0U);
    EXPECT_EQ(this->server->refused_for_limit(), 1U);
  });
}

// Many unfinished bodies that stay open must not keep small requests out until they time out.
TEST_F(ServerTest, EvictsTheLargestUnfinishedBody) {
  auto options = QuickOptions();
  options.limits.total_request_bytes = 3000;
  this->Start(options, this->Echo());
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto unfinished = co_await RawConnection::Connect(this->server->address());
    co_await unfinished->Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" +
                              std::string(1999, 'b'));
    co_await Pause(std::chrono::milliseconds(20));
    const auto small = co_await RawExchange(
        this->server->address(),
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1500\r\n\r\n" + std::string(1500, 'b'));
    EXPECT_THAT(small, StartsWith("HTTP/1.1 200 "));
    const auto refused = co_await unfinished->ReadAll();
    EXPECT_THAT(refused, StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(refused, HasSubstr("Pomelospar-Outcome: not_run\r\n"));
    EXPECT_EQ(this->server->held_bytes(), 0U);
  });
}

// Many bodies below the limit of one request could together exhaust the memory. The test also
// checks that the bytes are released after the request.
TEST_F(ServerTest, BoundsTheBodiesOfAllConnections) {
  auto options = QuickOptions();
  options.limits.total_request_bytes = 3000;
  this->Start(options, [](ServerExchange& exchange) -> asio::awaitable<void> {
    co_await Pause(std::chrono::milliseconds(60));
    HttpResponse response;
    std::ignore = co_await exchange.Respond(std::move(response));
  });
  const auto request =
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'b');
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto holder = co_await RawConnection::Connect(this->server->address());
    co_await holder->Send(request);
    co_await Pause(std::chrono::milliseconds(20));
    const auto refused = co_await RawExchange(this->server->address(), request);
    EXPECT_THAT(refused, StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(refused, HasSubstr("Pomelospar-Outcome: not_run\r\n"));
    const auto served = co_await holder->ReadUntil("\r\n\r\n");
    EXPECT_THAT(served, StartsWith("HTTP/1.1 200 "));
    // The holder's connection stays open.
    const auto next = co_await RawConnection::Connect(this->server->address());
    co_await next->Send(request);
    const auto served_next = co_await next->ReadUntil("\r\n\r\n");
    EXPECT_THAT(served_next, StartsWith("HTTP/1.1 200 "));
  });
}

// A caller that does not read its response would otherwise occupy a slot of a runner forever.
TEST_F(ServerTest, GivesUpOnCallersThatDoNotRead) {
  auto options = QuickOptions();
  options.limits.write_timeout = std::chrono::milliseconds(100);
  bool gave_up = false;
  this->Start(options, [&](ServerExchange& exchange) -> asio::awaitable<void> {
    ResponseHead head;
    head.chunked = true;
    std::ignore = co_await exchange.StartStream(std::move(head));
    const std::string piece(100000, 'p');
    while (!gave_up) {
      const auto written = co_await exchange.Write(piece);
      gave_up = written.has_error() && core::Is(written.error(), core::ErrorKind::kClosed);
    }
  });
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto connection = co_await RawConnection::Connect(this->server->address());
    co_await connection->Send(std::string(kGet));
    while (!gave_up) {
      co_await Pause(std::chrono::milliseconds(10));
    }
  });
}

/// Returns a valid request in which some bytes were replaced, removed or inserted.
rc::Gen<std::string> MutatedRequest() {
  const std::string valid =
      "POST /v1/x?q=1 HTTP/1.1\r\nHost: h\r\nContent-Type: text/plain\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
  using Change = std::tuple<std::uint32_t, std::uint8_t, char>;
  return rc::gen::map(rc::gen::container<std::vector<Change>>(rc::gen::arbitrary<Change>()),
                      [valid](const std::vector<Change>& changes) {
                        std::string text = valid;
                        for (const auto& [place, kind, byte] : changes) {
                          const auto index = place % (text.size() + 1);
                          if (kind % 3 == 0) text.insert(index, 1, byte);
                          if (kind % 3 == 1 && index < text.size()) text.erase(index, 1);
                          if (kind % 3 == 2 && index < text.size()) text[index] = byte;
                        }
                        return text;
                      });
}

// An overloaded server must stop accepting and must resume afterwards: a connection stays in the
// listen queue while `may_accept` returns false, and is served once it returns true.
TEST_F(ServerTest, LeavesConnectionsWaitingWhileItMayNotAccept) {
  bool may_accept = false;
  auto options = QuickOptions();
  options.may_accept = [&](core::Duration) { return may_accept; };
  this->Start(std::move(options), this->Echo());
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto connection = co_await RawConnection::Connect(this->server->address());
    co_await connection->Send(std::string(kGet));
    co_await Pause(std::chrono::milliseconds(100));
    EXPECT_EQ(this->server->connections(), 0U);
    may_accept = true;
    EXPECT_THAT(co_await connection->ReadUntil("/x|"), HasSubstr("200 OK"));
    EXPECT_EQ(this->handled, 1U);
  });
}

// Callers of an overloaded server must not wait until their deadlines. Those that are queued get a
// response, further ones cannot connect, and both is over once the server may accept again.
TEST_F(ServerTest, RefusesConnectionsWhileItMustRefuse) {
  bool may_accept = false;
  bool must_refuse = false;
  auto options = QuickOptions();
  options.may_accept = [&](core::Duration) { return may_accept; };
  options.must_refuse = [&] { return must_refuse; };
  this->Start(std::move(options), this->Echo());
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    const auto queued = co_await RawConnection::Connect(this->server->address());
    co_await queued->Send(std::string(kGet));
    must_refuse = true;
    EXPECT_THAT(co_await queued->ReadAll(), HasSubstr("503"));
    EXPECT_EQ(co_await this->TryConnect(), asio::error::connection_refused);
    EXPECT_EQ(this->server->listening_pauses(), 1U);
    may_accept = true;
    must_refuse = false;
    co_await Pause(std::chrono::milliseconds(100));
    const auto connection = co_await RawConnection::Connect(this->server->address());
    co_await connection->Send(std::string(kGet));
    EXPECT_THAT(co_await connection->ReadUntil("/x|"), HasSubstr("200 OK"));
    EXPECT_EQ(this->handled, 1U);
  });
}

// A server that does not listen because it is overloaded must stop like any other.
TEST_F(ServerTest, StopsWhileItDoesNotListen) {
  auto options = QuickOptions();
  options.must_refuse = [] { return true; };
  this->Start(std::move(options), this->Echo());
  RunBody(this->io, [&]() -> asio::awaitable<void> {
    co_await Pause(std::chrono::milliseconds(50));
    this->server->StopAccepting();
    co_await Pause(std::chrono::milliseconds(100));
    EXPECT_EQ(co_await this->TryConnect(), asio::error::connection_refused);
  });
}

// A caller opens many connections while an iteration of the event loop is long. All of them must be
// accepted in the next one: a full listen queue drops further connections, which are tried again
// after seconds only.
TEST_F(ServerTest, AcceptsAWholeListenQueueInOneTurn) {
  constexpr std::size_t kConnections = 100;
  this->Start(QuickOptions(), this->Echo());
  const auto endpoint = ParseEndpoint(this->server->address()).value();
  std::vector<asio::ip::tcp::socket> callers;
  for (std::size_t caller = 0; caller < kConnections; ++caller) {
    callers.emplace_back(this->io).connect(endpoint);
  }
  while (this->server->connections() == 0) this->io.run_one();
  EXPECT_EQ(this->server->connections(), kConnections);
}

// Malformed input must not crash the server, block a connection or cause a server error.
TEST_F(ServerTest, AnyBytesGetAnAnswerOrAClose) {
  this->Start(QuickOptions(), this->Echo());
  const auto send = [this](const std::string& bytes) {
    std::string response;
    RunBody(this->io, [&]() -> asio::awaitable<void> {
      const auto connection = co_await RawConnection::Connect(this->server->address());
      co_await connection->Send(bytes);
      connection->EndSending();
      response = co_await connection->ReadAll();
    });
    RC_ASSERT(response.empty() || response.compare(0, 10, "HTTP/1.1 4") == 0 ||
              response.compare(0, 10, "HTTP/1.1 2") == 0);
  };
  rc::check("mutated requests", [&] { send(*MutatedRequest()); });
  rc::check("random bytes", [&](const std::string& bytes) { send(bytes); });
  EXPECT_EQ(this->server->active_exchanges(), 0U);
}

}  // namespace
}  // namespace pomelospar::http
