#ifndef POMELOSPAR_TESTS_LIBRARIES_HTTP_HTTP_FIXTURE_H_
#define POMELOSPAR_TESTS_LIBRARIES_HTTP_HTTP_FIXTURE_H_

#include <gtest/gtest.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/http/http_server.h"

namespace pomelospar::http {

/// Runs a test body on an I/O context. Fails the test if the body does not finish in time.
void RunBody(boost::asio::io_context& io,
             const std::function<boost::asio::awaitable<void>()>& body);

boost::asio::awaitable<void> Pause(std::chrono::milliseconds duration);

/// A connection that sends and receives plain bytes.
class RawConnection {
 public:
  static boost::asio::awaitable<std::unique_ptr<RawConnection>> Connect(std::string address);
  explicit RawConnection(boost::asio::ip::tcp::socket socket) : socket(std::move(socket)) {}

  boost::asio::awaitable<void> Send(std::string bytes);
  void EndSending();
  /// Reads until the text has arrived or the connection ended. Returns all bytes read so far.
  boost::asio::awaitable<std::string> ReadUntil(std::string text);
  /// Reads until the connection ends.
  boost::asio::awaitable<std::string> ReadAll();

  boost::asio::ip::tcp::socket socket;
  std::string received;
  bool ended = false;
};

/// Sends bytes on a new connection and returns all bytes received until it closes.
boost::asio::awaitable<std::string> RawExchange(std::string address, std::string bytes);

/// An upstream that answers the n-th request, counted over all connections, with the n-th script.
/// An empty script closes the connection without an answer.
class ScriptedUpstream {
 public:
  struct Script {
    std::string bytes;
    bool close_after = false;
    /// Sent later than the response, while the connection is idle.
    std::string late_bytes;
  };
  ScriptedUpstream(boost::asio::io_context& io, std::vector<Script> scripts);

  std::string address() const;
  std::size_t connections = 0;
  std::size_t requests = 0;

 private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<RawConnection> connection);

  boost::asio::ip::tcp::acceptor acceptor;
  std::vector<Script> scripts;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_TESTS_LIBRARIES_HTTP_HTTP_FIXTURE_H_
