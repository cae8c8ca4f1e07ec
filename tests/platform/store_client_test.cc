// The store client against a server whose answers the test sends in any order.

#include "platform/store_client.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospar::adapter {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr core::Duration kTimeout = std::chrono::seconds(2);
constexpr std::string_view kRows = R"({"rows":[],"ver":7,"has-more":false,"now-ms":1})";

struct Answer {
  unsigned status = 200;
  /// Header lines.
  std::string headers;
  std::chrono::milliseconds delay{};
};

class StoreClientTest : public testing::Test {
 protected:
  StoreClientTest()
      : acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        client(io, fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port())) {
    this->client.on_epoch = [this](dispatch::StoreEpoch, std::string_view header) {
      this->epoch_headers.emplace_back(header);
    };
  }

  /// Answers the calls in the order of their arrival, each on a connection of its own.
  asio::awaitable<void> Serve(std::vector<Answer> answers) {
    for (auto& answer : answers) {
      auto socket = co_await this->acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(this->io, Respond(std::move(socket), std::move(answer)), asio::detached);
    }
  }

  static asio::awaitable<void> Respond(tcp::socket socket, Answer answer) {
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                    asio::use_awaitable);
    asio::steady_timer timer(socket.get_executor(), answer.delay);
    co_await timer.async_wait(asio::use_awaitable);
    const auto text =
        fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\nConnection: close\r\n{}\r\n{}",
                    answer.status, kRows.size(), answer.headers, kRows);
    co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
  }

  /// Starts the calls one after another without waiting for their answers; returns their results.
  std::vector<core::Result<StoreRows>> Read(const std::vector<Answer>& answers) {
    std::vector<core::Result<StoreRows>> results(answers.size(),
                                                 core::Result<StoreRows>(StoreRows()));
    asio::co_spawn(this->io, this->Serve(answers), asio::detached);
    for (std::size_t call = 0; call < answers.size(); ++call) {
      asio::co_spawn(
          this->io,
          [this, call, &results]() -> asio::awaitable<void> {
            asio::steady_timer timer(this->io, milliseconds(20) * call);
            co_await timer.async_wait(asio::use_awaitable);
            results[call] = co_await this->client.ReadTable("op", kTimeout);
          },
          asio::detached);
    }
    this->io.run_for(std::chrono::seconds(3));
    this->io.restart();
    return results;
  }

  asio::io_context io;
  tcp::acceptor acceptor;
  StoreClient client;
  std::vector<std::string> epoch_headers;
};

// Guards against an answer from before a return of the store that is used after it, and against a
// return that only a refusal shows.
TEST_F(StoreClientTest, AnswersFromBeforeAReturnAreNotDelivered) {
  const auto first = this->Read({{200, "Store-Era: 1\r\n"}});
  ASSERT_TRUE(first[0].has_value());
  EXPECT_EQ(first[0].value().epoch, 1U);
  const auto results =
      this->Read({{200, "Store-Era: 1\r\n", milliseconds(300)}, {503, "Store-Era: 2\r\n"}});
  ASSERT_FALSE(results[0].has_value());
  EXPECT_TRUE(core::Is(results[0].error(), core::ErrorKind::kConflict));
  ASSERT_FALSE(results[1].has_value());
  EXPECT_TRUE(core::Is(results[1].error(), core::ErrorKind::kUnavailable));
  EXPECT_EQ(this->client.epochs().current, 2U);
  EXPECT_EQ(this->epoch_headers, (std::vector<std::string>{"1", "2"}));
}

// Guards against a lost or malformed field that is taken for the epoch known before, and against a
// refusal of something in front of the store that is taken for a change.
TEST_F(StoreClientTest, AnUnusableFieldIsNoEpoch) {
  this->Read({{200, "Store-Era: 3\r\n"}});
  this->Read({{503, ""}});
  EXPECT_EQ(this->client.epochs().current, 3U);
  for (const auto* header : {"", "Store-Era: \r\n", "Store-Era: 4x\r\n", "Store-Era: -4\r\n",
                             "Store-Era: 99999999999999999999\r\n"}) {
    const auto results = this->Read({{200, header}});
    ASSERT_TRUE(results[0].has_value()) << header;
    EXPECT_EQ(results[0].value().epoch, std::nullopt) << header;
  }
  EXPECT_EQ(this->client.epochs().changes, 1U);
}

// Guards against a write that counts as stored although its answer is from before a return.
TEST_F(StoreClientTest, ALateAnswerToAWriteProvesNothing) {
  this->Read({{200, "Store-Era: 1\r\n"}});
  asio::co_spawn(
      this->io,
      this->Serve({{200, "Store-Era: 1\r\n", milliseconds(300)}, {200, "Store-Era: 2\r\n"}}),
      asio::detached);
  core::Result<std::uint64_t> written = std::uint64_t{0};
  asio::co_spawn(
      this->io,
      [this, &written]() -> asio::awaitable<void> {
        ConditionalWrite write = {.table = "t", .key = "k", .value = "v"};
        written = co_await this->client.Write(std::move(write), kTimeout);
      },
      asio::detached);
  asio::co_spawn(
      this->io,
      [this]() -> asio::awaitable<void> {
        asio::steady_timer timer(this->io, milliseconds(50));
        co_await timer.async_wait(asio::use_awaitable);
        const auto rows = co_await this->client.ReadTable("op", kTimeout);
        EXPECT_TRUE(rows.has_value());
      },
      asio::detached);
  this->io.run_for(std::chrono::seconds(3));
  ASSERT_FALSE(written.has_value());
  EXPECT_TRUE(core::Is(written.error(), core::ErrorKind::kUnknownOutcome));
}

}  // namespace
}  // namespace pomelospar::adapter
