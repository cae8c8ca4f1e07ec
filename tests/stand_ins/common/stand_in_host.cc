#include "tests/stand_ins/common/stand_in_host.h"

#include <fmt/format.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdio>
#include <tuple>
#include <utility>

namespace pomelospar::stand_in {
namespace {

namespace asio = boost::asio;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kBodyLimit = 64ULL << 20U;

http::ServerOptions OptionsOf(const HostOptions& host, std::size_t index) {
  http::ServerOptions options;
  const auto port = host.first_port == 0 ? 0 : host.first_port + index;
  options.address = fmt::format("{}:{}", host.ip, port);
  options.limits.body_bytes = kBodyLimit;
  // The router decides how long it keeps a connection; the emulators do not get in its way.
  options.limits.keep_alive_timeout = std::chrono::hours(1);
  return options;
}

}  // namespace

StandInPort::StandInPort(asio::io_context& io_context, http::ServerOptions server_options)
    : io(io_context), options(std::move(server_options)), restart_timer(io_context) {}

core::Result<void> StandInPort::Listen() {
  BOOST_OUTCOME_TRY(this->server, http::HttpServer::Create(this->io, this->options,
                                                           [this](http::ServerExchange& exchange) {
                                                             return this->handler(exchange);
                                                           }));
  this->options.address = this->server->address();
  return core::Success();
}

void StandInPort::Crash(std::chrono::milliseconds restart_after) {
  this->server.reset();
  this->restart_timer.expires_after(restart_after);
  this->restart_timer.async_wait([this](boost::system::error_code error) {
    if (!error) this->Restart();
  });
}

void StandInPort::Restart() {
  if (this->server) return;
  if (this->on_restart) this->on_restart();
  const auto listening = this->Listen();
  if (!listening) this->Crash(std::chrono::milliseconds(100));
}

int RunStandIn(const HostOptions& options,
               const std::function<void(asio::io_context&, StandInPort&, std::size_t)>& prepare) {
  asio::io_context io(1);
  std::vector<std::unique_ptr<StandInPort>> ports;
  nlohmann::json addresses = nlohmann::json::array();
  for (std::size_t i = 0; i < options.ports; ++i) {
    auto port = std::make_unique<StandInPort>(io, OptionsOf(options, i));
    const auto listening = port->Listen();
    if (!listening) {
      fmt::print(stderr, "{}\n", listening.error().message);
      return 1;
    }
    prepare(io, *port, i);
    addresses.push_back(port->address());
    ports.push_back(std::move(port));
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  const nlohmann::json line = {
      {"stand_in", options.name}, {"address", addresses.at(0)}, {"addresses", addresses}};
  fmt::print("{}\n", line.dump());
  std::fflush(stdout);
  io.run();
  // Pending work refers to the ports, which would be destroyed before the I/O context. The process
  // ends here anyway, as an emulated instance has nothing to save.
  std::fflush(nullptr);
  std::_Exit(0);
}

asio::awaitable<bool> Sleep(http::ServerExchange& exchange, std::chrono::nanoseconds duration) {
  if (exchange.disconnected()) co_return false;
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  exchange.SetDisconnectHandler([&timer] { timer.cancel(); });
  co_await timer.async_wait(kTuple);
  exchange.SetDisconnectHandler(nullptr);
  co_return !exchange.disconnected();
}

asio::awaitable<void> RespondJson(http::ServerExchange& exchange, unsigned status,
                                  const nlohmann::json& body,
                                  std::vector<http::HttpHeader> headers) {
  http::HttpResponse response;
  response.status = status;
  response.headers = std::move(headers);
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  std::ignore = co_await exchange.Respond(std::move(response));
}

nlohmann::json ParseObject(std::string_view text) {
  auto parsed = nlohmann::json::parse(text, nullptr, false);
  return parsed.is_object() ? parsed : nlohmann::json::object();
}

}  // namespace pomelospar::stand_in
