#include "tests/libraries/http/http_fixture.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "libraries/http/byte_stream.h"

namespace pomelospar::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kBodyLimit = std::chrono::seconds(60);

}  // namespace

void RunBody(asio::io_context& io, const std::function<asio::awaitable<void>()>& body) {
  bool done = false;
  asio::co_spawn(io, body(), [&](const std::exception_ptr& failure) {
    EXPECT_FALSE(failure) << "the test body threw";
    done = true;
  });
  const auto limit = std::chrono::steady_clock::now() + kBodyLimit;
  while (!done && std::chrono::steady_clock::now() < limit) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(100));
  }
  ASSERT_TRUE(done) << "the test body did not end in time";
}

asio::awaitable<void> Pause(std::chrono::milliseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(kTuple);
}

asio::awaitable<std::unique_ptr<RawConnection>> RawConnection::Connect(std::string address) {
  tcp::socket socket(co_await asio::this_coro::executor);
  co_await socket.async_connect(ParseEndpoint(address).value(), kTuple);
  co_return std::make_unique<RawConnection>(std::move(socket));
}

asio::awaitable<void> RawConnection::Send(std::string bytes) {
  co_await asio::async_write(this->socket, asio::buffer(bytes), kTuple);
}

void RawConnection::EndSending() {
  boost::system::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<std::string> RawConnection::ReadUntil(std::string text) {
  std::vector<char> block(4096);
  while (!this->ended && this->received.find(text) == std::string::npos) {
    const auto [error, count] = co_await this->socket.async_read_some(asio::buffer(block), kTuple);
    this->received.append(block.data(), count);
    if (error) this->ended = true;
  }
  co_return this->received;
}

asio::awaitable<std::string> RawConnection::ReadAll() {
  std::string never(1, '\0');
  never += "never received";
  co_return co_await this->ReadUntil(never);
}

asio::awaitable<std::string> RawExchange(std::string address, std::string bytes) {
  const auto connection = co_await RawConnection::Connect(address);
  co_await connection->Send(bytes);
  co_return co_await connection->ReadAll();
}

ScriptedUpstream::ScriptedUpstream(asio::io_context& io, std::vector<Script> all_scripts)
    : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      scripts(std::move(all_scripts)) {
  asio::co_spawn(io, this->Accept(), asio::detached);
}

std::string ScriptedUpstream::address() const {
  return FormatEndpoint(this->acceptor.local_endpoint());
}

asio::awaitable<void> ScriptedUpstream::Accept() {
  while (true) {
    auto [error, socket] = co_await this->acceptor.async_accept(kTuple);
    if (error) co_return;
    ++this->connections;
    auto connection = std::make_shared<RawConnection>(std::move(socket));
    asio::co_spawn(this->acceptor.get_executor(), this->Serve(std::move(connection)),
                   asio::detached);
  }
}

asio::awaitable<void> ScriptedUpstream::Serve(std::shared_ptr<RawConnection> connection) {
  while (this->requests < this->scripts.size()) {
    const auto request = co_await connection->ReadUntil("\r\n\r\n");
    if (connection->ended) co_return;
    connection->received.clear();
    const auto script = this->scripts[this->requests++];
    co_await connection->Send(script.bytes);
    if (!script.late_bytes.empty()) {
      co_await Pause(std::chrono::milliseconds(20));
      co_await connection->Send(script.late_bytes);
    }
    if (script.close_after || script.bytes.empty()) co_return;
  }
  co_await connection->ReadAll();
}

}  // namespace pomelospar::http
