#ifndef POMELOSPAR_TESTS_STAND_INS_COMMON_STAND_IN_HOST_H_
#define POMELOSPAR_TESTS_STAND_INS_COMMON_STAND_IN_HOST_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/http/http_server.h"

namespace pomelospar::stand_in {

/// One listener of an emulator. It can crash and come back while its process goes on, so that many
/// emulated instances fit in one process.
class StandInPort {
 public:
  StandInPort(boost::asio::io_context& io_context, http::ServerOptions server_options);

  core::Result<void> Listen();
  /// Closes all connections and listens again at the same address after a pause.
  void Crash(std::chrono::milliseconds restart_after);
  const std::string& address() const { return this->options.address; }

  http::Handler handler;
  /// Called when the listener is back after a crash.
  std::function<void()> on_restart;

 private:
  void Restart();

  boost::asio::io_context& io;
  http::ServerOptions options;
  std::unique_ptr<http::HttpServer> server;
  boost::asio::steady_timer restart_timer;
};

struct HostOptions {
  std::string name;
  std::string ip = "127.0.0.1";
  /// 0 lets the system choose; else port, port + 1, ...
  std::uint16_t first_port = 0;
  std::uint32_t ports = 1;
};

/// Opens the ports, gives each to `prepare`, which sets its handler, prints one JSON line with the
/// addresses and runs until SIGTERM or SIGINT. Returns the exit status of the process.
int RunStandIn(
    const HostOptions& options,
    const std::function<void(boost::asio::io_context&, StandInPort&, std::size_t)>& prepare);

/// Waits for a time, or less if the caller goes away. False if the caller is gone.
boost::asio::awaitable<bool> Sleep(http::ServerExchange& exchange,
                                   std::chrono::nanoseconds duration);

boost::asio::awaitable<void> RespondJson(http::ServerExchange& exchange, unsigned status,
                                         const nlohmann::json& body,
                                         std::vector<http::HttpHeader> headers = {});

/// The body as JSON; an empty object if it is not a JSON object.
nlohmann::json ParseObject(std::string_view text);

}  // namespace pomelospar::stand_in

#endif  // POMELOSPAR_TESTS_STAND_INS_COMMON_STAND_IN_HOST_H_
