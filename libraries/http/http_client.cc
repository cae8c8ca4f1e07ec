#include "libraries/http/http_client.h"

#include <fmt/format.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>
#include <map>
#include <utility>

#include "libraries/http/upstream_connection.h"
#include "libraries/http/upstream_pool.h"

namespace pomelospar::http {
namespace {

namespace asio = boost::asio;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

/// Returns the time left until `limit`, or zero if it has passed.
core::Duration Remaining(core::TimePoint limit) {
  const core::TimePoint now = std::chrono::steady_clock::now();
  return limit > now ? limit - now : core::Duration::zero();
}

core::Error NotSent(const core::Error& cause) {
  if (core::Is(cause, core::ErrorKind::kInvalidArgument)) return cause;
  return core::MakeError(core::ErrorKind::kUnavailable,
                         fmt::format("{}; the request was not sent", cause.message));
}

core::Error Lost(const core::Error& cause) {
  return core::MakeError(
      core::ErrorKind::kUnknownOutcome,
      fmt::format("{}; the request was sent and may have taken effect", cause.message));
}

struct Waiter {
  explicit Waiter(const asio::any_io_executor& executor, core::TimePoint limit)
      : timer(executor, limit) {}
  asio::steady_timer timer;
  bool admitted = false;
};

struct AddressState {
  std::size_t in_use = 0;
  std::list<Waiter*> waiters;
};

}  // namespace

struct HttpClient::State {
  State(asio::io_context& io_context, const HttpClientOptions& client_options)
      : io(io_context),
        options(client_options),
        pool(io, {client_options.connections_per_address, 1024, client_options.idle_timeout}) {}

  asio::awaitable<bool> Enter(const std::string& address, core::TimePoint limit) {
    auto& entry = this->addresses[address];
    if (entry.in_use < this->options.connections_per_address) {
      ++entry.in_use;
      co_return true;
    }
    Waiter waiter(this->io.get_executor(), limit);
    const auto position = entry.waiters.insert(entry.waiters.end(), &waiter);
    co_await waiter.timer.async_wait(kTuple);
    // `Leave` has already removed an admitted waiter from the list and passed its connection slot
    // on.
    if (!waiter.admitted) entry.waiters.erase(position);
    co_return waiter.admitted;
  }

  void Leave(const std::string& address) {
    const auto found = this->addresses.find(address);
    auto& entry = found->second;
    if (!entry.waiters.empty()) {
      auto* next = entry.waiters.front();
      entry.waiters.pop_front();
      next->admitted = true;
      next->timer.cancel();
      return;
    }
    --entry.in_use;
    if (entry.in_use == 0) this->addresses.erase(found);
  }

  asio::awaitable<core::Result<HttpResponse>> Exchange(const std::string& address,
                                                       const HttpRequest& request,
                                                       core::TimePoint limit,
                                                       std::size_t maximum_body) {
    const auto connect_limit = std::min(this->options.connect_timeout, Remaining(limit));
    auto acquired = co_await this->pool.Acquire(address, connect_limit);
    if (!acquired) co_return NotSent(acquired.error());
    auto connection = std::move(acquired.value());
    const auto sent = co_await connection->Send(request, Remaining(limit));
    if (!sent && !connection->any_byte_sent()) co_return NotSent(sent.error());
    if (!sent) co_return Lost(sent.error());
    auto received = co_await Receive(*connection, limit, maximum_body);
    if (!received) co_return Lost(received.error());
    this->pool.Release(std::move(connection));
    co_return std::move(received.value());
  }

  static asio::awaitable<core::Result<HttpResponse>> Receive(UpstreamConnection& connection,
                                                             core::TimePoint limit,
                                                             std::size_t maximum_body) {
    BOOST_OUTCOME_CO_TRY(auto head, co_await connection.ReadHead(Remaining(limit)));
    HttpResponse response;
    response.status = head.status;
    response.headers = std::move(head.headers);
    while (true) {
      BOOST_OUTCOME_CO_TRY(const auto piece, co_await connection.ReadPiece(Remaining(limit)));
      if (!piece) break;
      if (response.body.size() + piece->size() > maximum_body) {
        co_return core::MakeError(
            core::ErrorKind::kTooLarge,
            fmt::format("the response of {} exceeds {} bytes", connection.address(), maximum_body));
      }
      response.body += *piece;
    }
    co_return response;
  }

  asio::io_context& io;
  HttpClientOptions options;
  UpstreamPool pool;
  std::map<std::string, AddressState> addresses;
};

HttpClient::HttpClient(asio::io_context& io, HttpClientOptions options)
    : state(std::make_shared<State>(io, options)) {}

HttpClient::~HttpClient() = default;

asio::awaitable<core::Result<HttpResponse>> HttpClient::Fetch(std::string address,
                                                              HttpRequest request,
                                                              core::Duration timeout,
                                                              std::size_t maximum_body) {
  // A copy, so that the client may be destroyed while the fetch is in progress.
  const auto self = this->state;
  const core::TimePoint limit = std::chrono::steady_clock::now() + timeout;
  const bool admitted = co_await self->Enter(address, limit);
  if (!admitted) {
    co_return core::MakeError(
        core::ErrorKind::kUnavailable,
        fmt::format("all connections to {} were in use; the request was not sent", address));
  }
  auto result = co_await self->Exchange(address, request, limit, maximum_body);
  self->Leave(address);
  co_return result;
}

}  // namespace pomelospar::http
