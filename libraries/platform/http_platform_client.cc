#include "libraries/platform/http_platform_client.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "libraries/http/byte_stream.h"
#include "libraries/http/http_client.h"
#include "libraries/platform/platform_messages.h"

namespace pomelospar::platform {
namespace {

namespace asio = boost::asio;
using http::HttpRequest;
using http::HttpResponse;

constexpr unsigned kOk = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotFound = 404;
constexpr unsigned kServiceUnavailable = 503;

struct Client {
  Client(asio::io_context& io_context, HttpPlatformClientOptions client_options)
      : io(io_context),
        options(std::move(client_options)),
        fetcher(io, {this->options.connections, this->options.connect_timeout}) {}

  asio::io_context& io;
  HttpPlatformClientOptions options;
  http::HttpClient fetcher;
};

HttpRequest Request(std::string method, std::string target, std::string body = {}) {
  HttpRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.body = std::move(body);
  return request;
}

bool IsWrite(const HttpRequest& request) { return request.method != "GET"; }

/// Returns the error for a status that the interface does not define as a success.
core::Error StatusError(const HttpResponse& response, bool is_write) {
  const auto message = fmt::format("the platform answered {}", response.status);
  if (response.status == kServiceUnavailable) {
    return core::MakeError(core::ErrorKind::kUnavailable,
                           message + " and executed nothing; retry later");
  }
  if (response.status >= 400 && response.status < 500) {
    return core::MakeError(core::ErrorKind::kInvalidArgument, message);
  }
  return core::MakeError(
      is_write ? core::ErrorKind::kUnknownOutcome : core::ErrorKind::kUnavailable, message);
}

/// Sends one request at most once. Errors are those that `PlatformClient` documents.
asio::awaitable<core::Result<HttpResponse>> Call(std::shared_ptr<Client> client,
                                                 HttpRequest request) {
  // The callback must not run before the function that received it has returned.
  co_await asio::post(client->io, asio::use_awaitable);
  request.headers.push_back({"X-Failure-Domain", client->options.domain});
  if (IsWrite(request)) request.headers.push_back({"Content-Type", "application/json"});
  const bool is_write = IsWrite(request);
  const auto& options = client->options;
  auto response = co_await client->fetcher.Fetch(options.address, std::move(request),
                                                 options.timeout, options.maximum_response);
  if (response) co_return std::move(response.value());
  if (!is_write && core::Is(response.error(), core::ErrorKind::kUnknownOutcome)) {
    co_return core::MakeError(core::ErrorKind::kTimeout, response.error().message);
  }
  co_return response.error();
}

asio::awaitable<void> Run(std::shared_ptr<Client> client, HttpRequest request,
                          std::function<void(core::Result<HttpResponse>)> finish) {
  auto response = co_await Call(client, std::move(request));
  finish(std::move(response));
}

template <typename T>
using Decoder = std::function<core::Result<T>(HttpResponse)>;

/// Sends the request, decodes the response and passes the result to `callback`.
template <typename T>
void Start(const std::shared_ptr<Client>& client, HttpRequest request, Decoder<T> decode,
           Callback<T> callback) {
  auto finish = [decode = std::move(decode),
                 callback = std::move(callback)](core::Result<HttpResponse> response) {
    if (response) {
      callback(decode(std::move(response.value())));
    } else {
      callback(response.error());
    }
  };
  asio::co_spawn(client->io, Run(client, std::move(request), std::move(finish)), asio::detached);
}

void Commit(const std::shared_ptr<Client>& client, std::vector<Transaction> transactions,
            Callback<std::vector<TransactionResult>> callback) {
  auto body = EncodeTransactions(transactions);
  if (!body) {
    asio::post(client->io,
               [callback = std::move(callback), error = body.error()] { callback(error); });
    return;
  }
  Start<std::vector<TransactionResult>>(
      client, Request("POST", "/v1/table/commit", std::move(body.value())),
      [transactions = std::move(transactions)](
          const HttpResponse& response) -> core::Result<std::vector<TransactionResult>> {
        if (response.status != kOk) return StatusError(response, true);
        auto results = DecodeTransactionResults(response.body, transactions);
        if (results) return results;
        return core::MakeError(core::ErrorKind::kUnknownOutcome, results.error().message);
      },
      std::move(callback));
}

void ReadRow(const std::shared_ptr<Client>& client, const std::string& key,
             Callback<std::optional<Row>> callback) {
  Start<std::optional<Row>>(
      client, Request("GET", "/v1/table/row?key=" + http::PercentEncode(key)),
      [key](const HttpResponse& response) -> core::Result<std::optional<Row>> {
        if (response.status == kNotFound) return std::optional<Row>();
        if (response.status != kOk) return StatusError(response, false);
        BOOST_OUTCOME_TRY(auto row, DecodeRow(response.body));
        if (row.key == key) return std::optional<Row>(std::move(row));
        return core::MakeError(core::ErrorKind::kMalformed, "the platform sent another row");
      },
      std::move(callback));
}

void ScanRows(const std::shared_ptr<Client>& client, const std::string& prefix,
              const std::string& after, std::uint32_t limit, Callback<std::vector<Row>> callback) {
  Start<std::vector<Row>>(
      client,
      Request("GET", fmt::format("/v1/table/scan?prefix={}&after={}&limit={}",
                                 http::PercentEncode(prefix), http::PercentEncode(after), limit)),
      [](const HttpResponse& response) -> core::Result<std::vector<Row>> {
        if (response.status != kOk) return StatusError(response, false);
        return DecodeRows(response.body);
      },
      std::move(callback));
}

void PutObject(const std::shared_ptr<Client>& client, const std::string& name, std::string content,
               Callback<bool> callback) {
  Start<bool>(
      client, Request("PUT", "/v1/objects/" + http::PercentEncode(name), std::move(content)),
      [](const HttpResponse& response) -> core::Result<bool> {
        if (response.status != kNoContent && response.status != kOk) {
          return StatusError(response, true);
        }
        return true;
      },
      std::move(callback));
}

void ReadObject(const std::shared_ptr<Client>& client, const std::string& name,
                Callback<std::optional<std::string>> callback) {
  Start<std::optional<std::string>>(
      client, Request("GET", "/v1/objects/" + http::PercentEncode(name)),
      [](HttpResponse response) -> core::Result<std::optional<std::string>> {
        if (response.status == kNotFound) return std::optional<std::string>();
        if (response.status != kOk) return StatusError(response, false);
        return std::optional<std::string>(std::move(response.body));
      },
      std::move(callback));
}

void ListInstances(const std::shared_ptr<Client>& client, std::uint64_t since,
                   Callback<InstanceChanges> callback) {
  Start<InstanceChanges>(
      client, Request("GET", fmt::format("/v1/instances?since={}", since)),
      [](const HttpResponse& response) -> core::Result<InstanceChanges> {
        if (response.status != kOk) return StatusError(response, false);
        return DecodeInstanceChanges(response.body);
      },
      std::move(callback));
}

}  // namespace

core::Result<PlatformClient> CreateHttpPlatformClient(asio::io_context& io,
                                                      HttpPlatformClientOptions options) {
  BOOST_OUTCOME_TRY(http::ParseEndpoint(options.address));
  const auto client = std::make_shared<Client>(io, std::move(options));
  PlatformClient platform;
  platform.commit = [client](std::vector<Transaction> transactions, auto callback) {
    Commit(client, std::move(transactions), std::move(callback));
  };
  platform.read_row = [client](const std::string& key, auto callback) {
    ReadRow(client, key, std::move(callback));
  };
  platform.scan_rows = [client](const std::string& prefix, const std::string& after,
                                std::uint32_t limit, auto callback) {
    ScanRows(client, prefix, after, limit, std::move(callback));
  };
  platform.put_object = [client](const std::string& name, std::string content, auto callback) {
    PutObject(client, name, std::move(content), std::move(callback));
  };
  platform.read_object = [client](const std::string& name, auto callback) {
    ReadObject(client, name, std::move(callback));
  };
  platform.list_instances = [client](std::uint64_t since, auto callback) {
    ListInstances(client, since, std::move(callback));
  };
  return platform;
}

}  // namespace pomelospar::platform
