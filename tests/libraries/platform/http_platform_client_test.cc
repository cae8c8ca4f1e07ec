#include "libraries/platform/http_platform_client.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "libraries/http/http_client.h"
#include "libraries/http/http_server.h"
#include "tests/stand_ins/platform_stand_in/platform_service.h"

namespace pomelospar::platform {
namespace {

namespace asio = boost::asio;
using core::ErrorKind;

class HttpPlatformClientTest : public testing::Test {
 protected:
  HttpPlatformClientTest() {
    this->server = http::HttpServer::Create(this->io, {}, [this](http::ServerExchange& exchange) {
                     return this->service.Handle(exchange);
                   }).value();
    this->client = this->Connect("north");
  }

  PlatformClient Connect(const std::string& domain) {
    HttpPlatformClientOptions options;
    options.address = this->server->address();
    options.domain = domain;
    options.timeout = std::chrono::milliseconds(500);
    return CreateHttpPlatformClient(this->io, options).value();
  }

  /// Runs the I/O context until the callback of one call has run.
  template <typename T, typename Call>
  core::Result<T> Await(const Call& call) {
    std::optional<core::Result<T>> result;
    std::size_t callbacks = 0;
    call([&](core::Result<T> received) {
      ++callbacks;
      result.emplace(std::move(received));
    });
    EXPECT_EQ(callbacks, 0U) << "a callback ran inside the call";
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!result && std::chrono::steady_clock::now() < limit) {
      this->io.restart();
      this->io.run_one_for(std::chrono::milliseconds(50));
    }
    if (!result) result.emplace(core::MakeError(ErrorKind::kInternal, "no callback"));
    EXPECT_EQ(callbacks, 1U);
    return std::move(*result);
  }

  core::Result<std::vector<TransactionResult>> Commit(const PlatformClient& platform,
                                                      std::vector<Transaction> transactions) {
    return this->Await<std::vector<TransactionResult>>(
        [&](auto callback) { platform.commit(std::move(transactions), std::move(callback)); });
  }

  core::Result<std::optional<Row>> ReadRow(const PlatformClient& platform, const std::string& key) {
    return this->Await<std::optional<Row>>(
        [&](auto callback) { platform.read_row(key, std::move(callback)); });
  }

  void Control(const std::string& path, const std::string& body) {
    http::HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.body = body;
    http::HttpClient control(this->io, {});
    bool done = false;
    const auto fetch = [&]() -> asio::awaitable<void> {
      auto response = co_await control.Fetch(this->server->address(), std::move(request),
                                             std::chrono::seconds(5), 1000);
      EXPECT_TRUE(response.has_value() && response.value().status == 200);
      done = true;
    };
    asio::co_spawn(this->io, fetch(), asio::detached);
    while (!done) this->io.run_one();
  }

  asio::io_context io{1};
  stand_in::PlatformService service{stand_in::PlatformOptions{}};
  std::unique_ptr<http::HttpServer> server;
  PlatformClient client;
};

Transaction Insert(const std::string& key, const std::string& value) {
  return Transaction{{Write{key, value, 0}}};
}

// A transaction must not take effect in part, results must be in the order of the transactions, and
// the encoding must not change keys or values.
TEST_F(HttpPlatformClientTest, CommitsAllOrNothing) {
  const std::string key = "claim/a b&c=d%2F/é";
  const auto first = this->Commit(this->client, {Insert(key, "v\"1"), Insert("other", "o")});
  ASSERT_TRUE(first.has_value()) << first.error().message;
  EXPECT_TRUE(first.value()[0].committed && first.value()[1].committed);
  const auto second = this->Commit(
      this->client, {Transaction{{Write{"third", "t", 0}, Write{key, "v2", 0}}},
                     Transaction{{Write{"other", "o2", 1}}}, Transaction{{Write{"any", "x", {}}}}});
  ASSERT_TRUE(second.has_value()) << second.error().message;
  EXPECT_FALSE(second.value()[0].committed);
  EXPECT_EQ(second.value()[0].rows[0].version, 0U);
  EXPECT_EQ(second.value()[0].rows[1].value, "v\"1");
  EXPECT_EQ(second.value()[1].rows[0].version, 2U);
  EXPECT_TRUE(second.value()[2].committed);
  EXPECT_FALSE(this->ReadRow(this->client, "third").value().has_value());
  EXPECT_EQ(this->ReadRow(this->client, key).value()->value, "v\"1");
  const auto rows = this->Await<std::vector<Row>>(
      [&](auto callback) { this->client.scan_rows("", "any", 1, std::move(callback)); });
  ASSERT_EQ(rows.value().size(), 1U);
  EXPECT_EQ(rows.value()[0].key, key);
}

// Objects must be transferred without changed bytes, also if their name contains a slash.
TEST_F(HttpPlatformClientTest, KeepsObjects) {
  const std::string content("\0binary\r\n\xff", 10);
  const auto put = this->Await<bool>([&](auto callback) {
    this->client.put_object("config/snapshot/7", content, std::move(callback));
  });
  EXPECT_TRUE(put.value());
  const auto read = [&](const std::string& name) {
    return this->Await<std::optional<std::string>>(
        [&](auto callback) { this->client.read_object(name, std::move(callback)); });
  };
  EXPECT_EQ(read("config/snapshot/7").value(), content);
  EXPECT_FALSE(read("config/snapshot/8").value().has_value());
}

// If a write that took effect were reported as not executed, a claim would be considered free and a
// booking would be made twice.
TEST_F(HttpPlatformClientTest, LostAnswerOfAWriteIsUnknown) {
  this->Control("/control", R"({"lose_responses":1})");
  const auto lost = this->Commit(this->client, {Insert("k", "v")});
  ASSERT_TRUE(lost.has_error());
  EXPECT_TRUE(core::Is(lost.error(), ErrorKind::kUnknownOutcome)) << lost.error().message;
  EXPECT_EQ(this->ReadRow(this->client, "k").value()->value, "v");
  this->Control("/control", R"({"lose_before_write":1})");
  const auto not_done = this->Commit(this->client, {Insert("k2", "v")});
  EXPECT_TRUE(core::Is(not_done.error(), ErrorKind::kUnknownOutcome));
  EXPECT_FALSE(this->ReadRow(this->client, "k2").value().has_value());
}

// While the platform is unreachable, every call must end, and its error must not say that a write
// may have been executed when it cannot have been.
TEST_F(HttpPlatformClientTest, ReportsOutages) {
  this->Control("/control", R"({"outage":"reject"})");
  EXPECT_TRUE(
      core::Is(this->Commit(this->client, {Insert("k", "v")}).error(), ErrorKind::kUnavailable));
  EXPECT_TRUE(core::Is(this->ReadRow(this->client, "k").error(), ErrorKind::kUnavailable));
  this->Control("/control", R"({"outage":"none","cut_off_domains":["north"]})");
  EXPECT_TRUE(core::Is(this->ReadRow(this->client, "k").error(), ErrorKind::kTimeout));
  EXPECT_TRUE(
      core::Is(this->Commit(this->client, {Insert("k", "v")}).error(), ErrorKind::kUnknownOutcome));
  EXPECT_TRUE(this->ReadRow(this->Connect("south"), "k").has_value());
  this->Control("/control", R"({"cut_off_domains":[]})");
  EXPECT_TRUE(this->ReadRow(this->client, "k").has_value());
  this->server.reset();
  EXPECT_TRUE(
      core::Is(this->Commit(this->client, {Insert("k", "v")}).error(), ErrorKind::kUnavailable));
}

// A poll with `since` must not miss a change of the instance list.
TEST_F(HttpPlatformClientTest, ListsInstancesIncrementally) {
  const auto list = [&](std::uint64_t since) {
    return this
        ->Await<InstanceChanges>(
            [&](auto callback) { this->client.list_instances(since, std::move(callback)); })
        .value();
  };
  this->Control("/control/instances", R"({"set":[
      {"address":"10.0.0.1:1","domain":"n","role":"router","status":"live","incarnation":"1"},
      {"address":"10.0.0.2:1","domain":"n","role":"m","status":"live","incarnation":"2","slots":4}]})");
  const auto whole = list(0);
  EXPECT_TRUE(whole.complete);
  ASSERT_EQ(whole.changed.size(), 2U);
  EXPECT_EQ(whole.changed[1].slots, 4U);
  this->Control("/control/instances", R"({"remove":["10.0.0.1:1"],"set":[
      {"address":"10.0.0.2:1","domain":"n","role":"m","status":"leaving","incarnation":"2"}]})");
  const auto changes = list(whole.version);
  EXPECT_FALSE(changes.complete);
  ASSERT_EQ(changes.changed.size(), 1U);
  EXPECT_EQ(changes.changed[0].status, InstanceStatus::kLeaving);
  EXPECT_EQ(changes.removed_addresses, std::vector<std::string>{"10.0.0.1:1"});
  EXPECT_TRUE(list(changes.version).changed.empty());
}

}  // namespace
}  // namespace pomelospar::platform
