#include <fmt/format.h>
#include <gmock/gmock.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "libraries/http/byte_stream.h"
#include "libraries/http/http_client.h"
#include "libraries/http/upstream_connection.h"
#include "libraries/http/upstream_pool.h"
#include "tests/libraries/http/http_fixture.h"

namespace pomelospar::http {
namespace {

namespace asio = boost::asio;
using core::ErrorKind;
using std::chrono::milliseconds;
using testing::ElementsAre;

constexpr auto kTimeout = milliseconds(150);
const std::string kOkAbc = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";

HttpRequest Get() {
  HttpRequest request;
  request.method = "GET";
  request.target = "/x";
  return request;
}

/// Returns an address that no server listens on.
std::string ClosedAddress(asio::io_context& io) {
  const asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  return FormatEndpoint(acceptor.local_endpoint());
}

asio::awaitable<std::unique_ptr<UpstreamConnection>> Connect(std::string address) {
  auto opened = co_await UpstreamConnection::Open(std::move(address), kTimeout);
  co_return std::move(opened.value());
}

/// Sends a request and reads the whole body, or the first error.
asio::awaitable<core::Result<std::string>> ReadWhole(UpstreamConnection& connection,
                                                     HttpRequest request = Get(),
                                                     core::Duration timeout = kTimeout) {
  BOOST_OUTCOME_CO_TRY(co_await connection.Send(request, timeout));
  BOOST_OUTCOME_CO_TRY(const auto head, co_await connection.ReadHead(timeout));
  std::string body;
  while (true) {
    BOOST_OUTCOME_CO_TRY(const auto piece, co_await connection.ReadPiece(timeout));
    if (!piece) break;
    body += *piece;
  }
  co_return body;
}

// An invalid or truncated response must not be accepted as complete, and a connection with leftover
// bytes must not be reused for another request.
TEST(UpstreamConnectionTest, TellsWholeResponsesFromBrokenOnes) {
  struct Case {
    std::string name;
    std::string bytes;
    bool close_after;
    /// Empty if the response is whole.
    std::optional<ErrorKind> error;
    bool reusable;
  };
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<Case> cases = {
      {"whole", kOkAbc, false, {}, true},
      {"interim", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + kOkAbc, false, {}, true},
      {"chunks", chunked + "3\r\nabc\r\n0\r\n\r\n", false, {}, true},
      {"close announced",
       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc",
       true,
       {},
       false},
      {"left over", kOkAbc + kOkAbc, false, {}, false},
      {"left over after chunks", chunked + "3\r\nabc\r\n0\r\n\r\nHTTP", false, {}, false},
      {"short", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", true, ErrorKind::kClosed, false},
      {"no last chunk", chunked + "3\r\nabc\r\n", true, ErrorKind::kClosed, false},
      {"no end of last chunk", chunked + "3\r\nabc\r\n0\r\n", true, ErrorKind::kClosed, false},
      {"stuck body", chunked + "3\r\nabc\r\n", false, ErrorKind::kTimeout, false},
      {"stuck head", "HTTP/1.1 200 OK\r\n", false, ErrorKind::kTimeout, false},
      {"no length", "HTTP/1.1 200 OK\r\n\r\nabc", true, ErrorKind::kMalformed, false},
      {"two lengths",
       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false,
       ErrorKind::kMalformed, false},
      {"garbage", "this is not HTTP\r\n\r\n", false, ErrorKind::kMalformed, false},
      {"endless head", "HTTP/1.1 200 OK\r\nX: " + std::string(100000, 'a'), false,
       ErrorKind::kMalformed, false},
      {"endless chunk header", chunked + "3;x=" + std::string(300000, 'a'), false,
       ErrorKind::kTooLarge, false},
      {"nothing", "", true, ErrorKind::kClosed, false},
  };
  asio::io_context io{1};
  std::vector<ScriptedUpstream::Script> scripts;
  scripts.reserve(cases.size());
  for (const auto& item : cases) scripts.push_back({item.bytes, item.close_after, {}});
  ScriptedUpstream upstream(io, scripts);
  RunBody(io, [&]() -> asio::awaitable<void> {
    for (const auto& item : cases) {
      const auto connection = co_await Connect(upstream.address());
      const auto body = co_await ReadWhole(*connection);
      EXPECT_EQ(body.has_value(), !item.error.has_value()) << item.name;
      if (body) {
        EXPECT_EQ(body.value(), "abc") << item.name;
      }
      if (body.has_error() && item.error) {
        EXPECT_TRUE(core::Is(body.error(), *item.error)) << item.name << body.error().message;
      }
      EXPECT_TRUE(connection->any_byte_sent()) << item.name;
      EXPECT_EQ(connection->reusable(), item.reusable) << item.name;
    }
  });
}

enum class UploadEnd { kReset, kRead };

/// Answers the first request before it has read the body, ends its sending side, and then resets
/// the connection or reads on.
asio::awaitable<void> AnswerEarly(asio::ip::tcp::acceptor& acceptor, UploadEnd end) {
  auto [error, socket] = co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
  RawConnection connection(std::move(socket));
  co_await connection.ReadUntil("\r\n\r\n");
  co_await connection.Send("HTTP/1.1 200 OK\r\n\r\npart");
  connection.EndSending();
  co_await Pause(std::chrono::milliseconds(50));
  if (end == UploadEnd::kRead) {
    co_await connection.ReadUntil("end of the body");
  } else {
    connection.socket.set_option(asio::socket_base::linger(true, 0));
  }
}

/// Sends a request with a long body to `AnswerEarly` and reads the response.
core::Result<std::string> Upload(UploadEnd end, std::size_t body_bytes) {
  asio::io_context io{1};
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  asio::co_spawn(io, AnswerEarly(acceptor, end), asio::detached);
  std::optional<core::Result<std::string>> result;
  RunBody(io, [&]() -> asio::awaitable<void> {
    const auto connection = co_await Connect(FormatEndpoint(acceptor.local_endpoint()));
    connection->AcceptCloseDelimited();
    auto request = Get();
    request.method = "POST";
    request.body = std::string(body_bytes, 'x') + "end of the body";
    // The system notices with some delay that an upstream reads again.
    result = co_await ReadWhole(*connection, request, std::chrono::seconds(5));
  });
  return *result;
}

// Guards against a part of a response that is taken for the whole: the upstream answers a long
// upload without a length and resets the connection while the request is still on its way.
TEST(UpstreamConnectionTest, AResetDuringTheUploadBreaksAResponseWithoutALength) {
  for (const std::size_t bytes : {200'000U, 900'000U, 4'000'000U}) {
    const auto body = Upload(UploadEnd::kReset, bytes);
    EXPECT_TRUE(body.has_error()) << bytes;
  }
}

// An upstream may answer before it has read the request.
TEST(UpstreamConnectionTest, AnEarlyResponseWithoutALengthIsWholeOnceTheRequestWasRead) {
  for (const std::size_t bytes : {0U, 200'000U, 900'000U}) {
    const auto body = Upload(UploadEnd::kRead, bytes);
    ASSERT_TRUE(body.has_value()) << bytes << body.error().message;
    EXPECT_EQ(body.value(), "part") << bytes;
  }
}

// Guards against a status outside of HTTP that reaches a caller as the response to its request.
TEST(UpstreamConnectionTest, RejectsStatusesOutsideOfHttp) {
  std::vector<ScriptedUpstream::Script> scripts;
  for (const auto* status : {"000", "099", "600", "999", "20", "2000", "-20", "2 0"}) {
    scripts.push_back(
        {fmt::format("HTTP/1.1 {} X\r\nContent-Length: 3\r\n\r\nabc", status), false, {}});
  }
  asio::io_context io{1};
  ScriptedUpstream upstream(io, scripts);
  RunBody(io, [&]() -> asio::awaitable<void> {
    for (const auto& script : scripts) {
      const auto connection = co_await Connect(upstream.address());
      const auto body = co_await ReadWhole(*connection);
      EXPECT_TRUE(body.has_error() && core::Is(body.error(), ErrorKind::kMalformed))
          << script.bytes;
      EXPECT_FALSE(connection->reusable()) << script.bytes;
    }
  });
}

// A response whose head was cut off by the end of the connection must not be taken as a whole one
// with a short or empty body, also where a body may end with the connection.
TEST(UpstreamConnectionTest, TellsHeadsThatWereCutOffFromWholeOnes) {
  const std::vector<std::string> responses = {
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 3\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n"};
  std::vector<ScriptedUpstream::Script> scripts;
  for (const auto& response : responses) {
    const auto head_end = response.find("\r\n\r\n") + 4;
    for (std::size_t bytes = 0; bytes < head_end; ++bytes) {
      scripts.push_back({response.substr(0, bytes), true, {}});
    }
  }
  asio::io_context io{1};
  ScriptedUpstream upstream(io, scripts);
  RunBody(io, [&]() -> asio::awaitable<void> {
    for (const auto& script : scripts) {
      const auto connection = co_await Connect(upstream.address());
      connection->AcceptCloseDelimited();
      const auto body = co_await ReadWhole(*connection);
      EXPECT_TRUE(body.has_error()) << script.bytes;
      EXPECT_FALSE(connection->reusable());
    }
  });
}

// Unsolicited bytes on an idle connection must not be read as the response to the next request.
TEST(UpstreamPoolTest, DoesNotReuseDisturbedConnections) {
  asio::io_context io{1};
  ScriptedUpstream upstream(
      io,
      {{kOkAbc, false, {}}, {kOkAbc, false, kOkAbc}, {kOkAbc, true, {}}, {kOkAbc, false, kOkAbc}});
  UpstreamPool pool(io, {});
  RunBody(io, [&]() -> asio::awaitable<void> {
    // Request 2 reuses the connection of request 1; what came after 2 and the close after 3 do not
    // reach the next request.
    const std::vector<std::size_t> connections = {1, 1, 2};
    for (const auto expected : connections) {
      auto acquired = co_await pool.Acquire(upstream.address(), kTimeout);
      auto connection = std::move(acquired.value());
      const auto body = co_await ReadWhole(*connection);
      EXPECT_TRUE(body.has_value());
      EXPECT_EQ(upstream.connections, expected);
      pool.Release(std::move(connection));
      co_await Pause(milliseconds(60));
    }
    const auto connection = co_await Connect(upstream.address());
    std::ignore = co_await ReadWhole(*connection);
    EXPECT_TRUE(connection->reusable());
    co_await Pause(milliseconds(60));
    const auto request = Get();
    const auto sent = co_await connection->Send(request, kTimeout);
    EXPECT_TRUE(sent.has_error() && core::Is(sent.error(), ErrorKind::kClosed));
    EXPECT_FALSE(connection->any_byte_sent());
  });
  EXPECT_EQ(upstream.requests, 4U);
}

// If a lost response were reported as "not sent", the caller would repeat a request that may have
// run. In the reverse case it would not repeat a request that has not run.
TEST(HttpClientTest, TellsNotSentFromLost) {
  asio::io_context io{1};
  ScriptedUpstream upstream(
      io, {{"", true, {}},
           {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true, {}},
           {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + std::string(99, 'a'), false, {}},
           {kOkAbc, false, {}}});
  const std::string refused = ClosedAddress(io);
  HttpClient client(io, {});
  RunBody(io, [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 3; ++i) {
      auto request = Get();
      const auto lost = co_await client.Fetch(upstream.address(), std::move(request), kTimeout, 50);
      EXPECT_TRUE(lost.has_error() && core::Is(lost.error(), ErrorKind::kUnknownOutcome)) << i;
    }
    auto request = Get();
    const auto whole = co_await client.Fetch(upstream.address(), std::move(request), kTimeout, 50);
    EXPECT_TRUE(whole.has_value() && whole.value().body == "abc");
    auto unsent = Get();
    const auto not_sent = co_await client.Fetch(refused, std::move(unsent), kTimeout, 50);
    EXPECT_TRUE(not_sent.has_error() && core::Is(not_sent.error(), ErrorKind::kUnavailable));
  });
  EXPECT_EQ(upstream.requests, 4U);
}

// The client must not exceed its connection limit for a service, and a request whose timeout
// expires while it waits for a connection must not be sent.
TEST(HttpClientTest, BoundsItsConnections) {
  asio::io_context io{1};
  std::size_t running = 0;
  std::size_t peak = 0;
  const auto server = HttpServer::Create(io, {}, [&](ServerExchange& exchange) {
    return
        [](ServerExchange& serving, std::size_t& now, std::size_t& most) -> asio::awaitable<void> {
          most = std::max(most, ++now);
          co_await Pause(milliseconds(100));
          --now;
          HttpResponse response;
          std::ignore = co_await serving.Respond(std::move(response));
        }(exchange, running, peak);
  });
  HttpClientOptions options;
  options.connections_per_address = 2;
  HttpClient client(io, options);
  std::size_t answered = 0;
  std::size_t not_sent = 0;
  const auto fetch = [&](milliseconds timeout) -> asio::awaitable<void> {
    auto request = Get();
    const auto response =
        co_await client.Fetch(server.value()->address(), std::move(request), timeout, 50);
    if (response) ++answered;
    if (!response && core::Is(response.error(), ErrorKind::kUnavailable)) ++not_sent;
  };
  for (int i = 0; i < 4; ++i) asio::co_spawn(io, fetch(milliseconds(5000)), asio::detached);
  asio::co_spawn(io, fetch(milliseconds(50)), asio::detached);
  RunBody(io, [&]() -> asio::awaitable<void> {
    while (answered + not_sent < 5) {
      co_await Pause(milliseconds(10));
    }
  });
  EXPECT_EQ(answered, 4U);
  EXPECT_EQ(not_sent, 1U);
  EXPECT_EQ(peak, 2U);
}

// Hop-by-hop headers must not be forwarded, because they could change the framing of the next hop.
TEST(MessageTest, RelaysOnlyEndToEndHeaders) {
  const std::vector<HttpHeader> headers = {{"Connection", "keep-alive, X-Private"},
                                           {"x-private", "1"},
                                           {"Content-Type", "text/plain"},
                                           {"transfer-encoding", "chunked"},
                                           {"Upgrade", "h2c"},
                                           {"Proxy-Authorization", "x"},
                                           {"Content-Length", "3"},
                                           {"TE", "trailers"},
                                           {"X-Kept", "1"}};
  std::vector<std::string> names;
  for (const auto& header : RelayableHeaders(headers)) names.push_back(header.name);
  EXPECT_THAT(names, ElementsAre("Content-Type", "X-Kept"));
}

// Header values from untrusted input could split a message in two, so they are rejected.
TEST(MessageTest, RefusesHeadersThatBreakTheMessage) {
  asio::io_context io{1};
  ScriptedUpstream upstream(io, {{kOkAbc, false, {}}});
  HttpClient client(io, {});
  RunBody(io, [&]() -> asio::awaitable<void> {
    auto request = Get();
    request.headers = {{"X-Name", "a\r\nHost: other"}};
    const auto refused =
        co_await client.Fetch(upstream.address(), std::move(request), kTimeout, 50);
    EXPECT_TRUE(refused.has_error() && core::Is(refused.error(), ErrorKind::kInvalidArgument));
  });
  EXPECT_EQ(upstream.requests, 0U);
}

}  // namespace
}  // namespace pomelospar::http
