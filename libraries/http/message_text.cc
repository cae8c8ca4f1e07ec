#include "libraries/http/message_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

namespace pomelospar::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr std::array<std::string_view, 4> kFramingHeaders = {"Content-Length", "Transfer-Encoding",
                                                             "Connection", "Keep-Alive"};
constexpr unsigned kHttp11 = 11;

bool IsTokenCharacter(char character) {
  constexpr std::string_view kSeparators = "()<>@,;:\\\"/[]?={} \t";
  const auto byte = static_cast<unsigned char>(character);
  return byte > 0x20 && byte < 0x7f && kSeparators.find(character) == std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsHeaderValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char character) {
    return character == '\r' || character == '\n' || character == '\0';
  });
}

bool IsTarget(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte > 0x20 && byte != 0x7f;
  });
}

bool IsFramingHeader(std::string_view name) {
  return std::any_of(kFramingHeaders.begin(), kFramingHeaders.end(),
                     [&](std::string_view framing) { return EqualsIgnoringCase(framing, name); });
}

core::Result<void> CopyHeaders(const std::vector<HttpHeader>& headers,
                               beast::http::fields& fields) {
  for (const auto& header : headers) {
    if (IsFramingHeader(header.name)) continue;
    if (!IsToken(header.name) || !IsHeaderValue(header.value)) {
      return core::MakeError(
          core::ErrorKind::kInvalidArgument,
          fmt::format("header '{}' has a name or value that HTTP does not allow", header.name));
    }
    fields.insert(header.name, header.value);
  }
  return core::Success();
}

template <typename Buffers>
void AppendBuffers(const Buffers& buffers, std::string& output) {
  for (const asio::const_buffer buffer : beast::buffers_range_ref(buffers)) {
    output.append(static_cast<const char*>(buffer.data()), buffer.size());
  }
}

template <bool is_request>
void AppendHead(beast::http::message<is_request, beast::http::empty_body>& message,
                std::string& output) {
  beast::http::serializer<is_request, beast::http::empty_body> serializer(message);
  serializer.split(true);
  beast::error_code error;
  serializer.next(error,
                  [&](beast::error_code&, const auto& buffers) { AppendBuffers(buffers, output); });
}

}  // namespace

bool StatusAllowsBody(unsigned status) { return status >= 200 && status != 204 && status != 304; }

core::Result<void> AppendRequestHead(const HttpRequest& request, std::size_t body_bytes,
                                     std::string_view host, std::string& output) {
  if (!IsToken(request.method) || !IsTarget(request.target)) {
    return core::MakeError(
        core::ErrorKind::kInvalidArgument,
        "the request's method or target has characters that HTTP does not allow");
  }
  beast::http::request<beast::http::empty_body> message;
  message.version(kHttp11);
  message.method_string(request.method);
  message.target(request.target);
  BOOST_OUTCOME_TRY(CopyHeaders(request.headers, message.base()));
  if (message.find(beast::http::field::host) == message.end()) {
    message.set(beast::http::field::host, host);
  }
  // GET and HEAD requests without a body need no Content-Length.
  const bool bodiless = request.method == "GET" || request.method == "HEAD";
  if (body_bytes > 0 || !bodiless) message.content_length(body_bytes);
  AppendHead(message, output);
  return core::Success();
}

core::Result<void> AppendResponseHead(const ResponseHead& head, bool keep_alive,
                                      std::string& output) {
  constexpr unsigned kLowestFinalStatus = 200;
  constexpr unsigned kHighestStatus = 999;
  if (head.status < kLowestFinalStatus || head.status > kHighestStatus) {
    return core::MakeError(core::ErrorKind::kInvalidArgument,
                           fmt::format("{} is not a final HTTP status", head.status));
  }
  beast::http::response<beast::http::empty_body> message;
  message.version(kHttp11);
  message.result(head.status);
  BOOST_OUTCOME_TRY(CopyHeaders(head.headers, message.base()));
  if (head.chunked) {
    message.set(beast::http::field::transfer_encoding, "chunked");
  } else if (head.content_length) {
    message.set(beast::http::field::content_length, std::to_string(*head.content_length));
  }
  if (!keep_alive) message.set(beast::http::field::connection, "close");
  AppendHead(message, output);
  return core::Success();
}

void AppendChunk(std::string_view piece, std::string& output) {
  if (piece.empty()) return;
  AppendBuffers(beast::http::make_chunk(asio::const_buffer(piece.data(), piece.size())), output);
}

core::Result<void> AppendLastChunk(const std::vector<HttpHeader>& trailers, std::string& output) {
  beast::http::fields fields;
  BOOST_OUTCOME_TRY(CopyHeaders(trailers, fields));
  AppendBuffers(beast::http::make_chunk_last(fields), output);
  return core::Success();
}

}  // namespace pomelospar::http
