#ifndef POMELOSPAR_LIBRARIES_HTTP_BYTE_STREAM_H_
#define POMELOSPAR_LIBRARIES_HTTP_BYTE_STREAM_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

#include "libraries/core/result.h"

namespace pomelospar::http {

/// The certificate chain and private key of a server, loaded from PEM files.
class TlsContext {
 public:
  /// Errors: `kInvalidArgument` if a file is missing, unreadable or invalid, or if the key does not
  /// match the certificate.
  static core::Result<std::shared_ptr<TlsContext>> Create(const std::string& certificate_file,
                                                          const std::string& key_file);
  ~TlsContext();
  TlsContext(const TlsContext&) = delete;
  TlsContext& operator=(const TlsContext&) = delete;

  struct State;
  State& state() { return *this->implementation; }

 private:
  explicit TlsContext(std::unique_ptr<State> state);
  std::unique_ptr<State> implementation;
};

using IoResult = std::tuple<boost::system::error_code, std::size_t>;

/// A connected TCP stream, with or without TLS. One read and one write may be pending at a time.
class ByteStream {
 public:
  explicit ByteStream(boost::asio::ip::tcp::socket socket);
  ByteStream(boost::asio::ip::tcp::socket socket, TlsContext& context);
  ~ByteStream();
  ByteStream(const ByteStream&) = delete;
  ByteStream& operator=(const ByteStream&) = delete;

  /// Performs the server side of the TLS handshake. Succeeds at once without TLS.
  boost::asio::awaitable<boost::system::error_code> Handshake();
  boost::asio::awaitable<IoResult> ReadSome(boost::asio::mutable_buffer buffer);
  boost::asio::awaitable<IoResult> WriteAll(boost::asio::const_buffer buffer);
  /// Shuts down the sending side of the socket. Data from the peer can still be read.
  boost::asio::awaitable<void> ShutdownSend();
  /// Closes the socket. Pending operations fail.
  void Close();
  /// Closes the socket with a TCP reset, so that the peer sees an error even if the protocol does
  /// not mark the end of a message.
  void Reset();
  bool is_open() const;
  /// True if the stream is open, no data is waiting to be read and the peer has not closed the
  /// connection. Does not block.
  bool IsIdle();
  /// Returns true if the peer has sent data that was not read yet.
  bool HasInput();
  /// What became of the bytes that were written.
  enum class Delivery {
    /// The peer has not acknowledged all of them.
    kPending,
    /// The peer's system has acknowledged all of them, or this system cannot tell.
    kDelivered,
    /// The connection was reset, also if data that arrived before can still be read.
    kReset,
  };
  /// Tells of a reset once only.
  Delivery FindDelivery();
  /// True if the stream is closed, or the peer has closed the connection and no data is waiting to
  /// be read. Does not block.
  bool IsAtEnd();

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Parses "ip:port" or "[ip]:port". Errors: `kInvalidArgument` if the text is not an address.
core::Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_BYTE_STREAM_H_
