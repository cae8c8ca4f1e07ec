#ifndef POMELOSPAR_LIBRARIES_HTTP_MESSAGE_H_
#define POMELOSPAR_LIBRARIES_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospar::http {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// Returns the value of the first header with this name. Names are compared case-insensitively.
std::optional<std::string_view> FindHeader(const std::vector<HttpHeader>& headers,
                                           std::string_view name);

/// A complete request. `target` is the path and query as sent, not percent-decoded.
struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  /// "ip:port" of the caller. Empty for outgoing requests.
  std::string remote_address;

  std::optional<std::string_view> FindHeader(std::string_view name) const;
  /// Returns the target without its query, not percent-decoded.
  std::string_view path() const;
  /// Returns the percent-decoded value of the first query parameter with this name.
  std::optional<std::string> QueryParameter(std::string_view name) const;
};

struct HttpResponse {
  unsigned status = 200;
  std::vector<HttpHeader> headers;
  std::string body;

  std::optional<std::string_view> FindHeader(std::string_view name) const;
};

/// The head of a response whose body is streamed. Either `chunked` or `content_length` is set, or
/// neither for a response that has no body. `headers` excludes the framing headers.
struct ResponseHead {
  unsigned status = 200;
  std::vector<HttpHeader> headers;
  std::optional<std::uint64_t> content_length;
  bool chunked = false;

  std::optional<std::string_view> FindHeader(std::string_view name) const;
};

/// Returns the headers that may be forwarded to the next hop: all but the hop-by-hop headers (RFC
/// 9110, section 7.6.1), those that `Connection` names, and `Content-Length`, which each hop sets
/// itself.
std::vector<HttpHeader> RelayableHeaders(const std::vector<HttpHeader>& headers);

/// Percent-encodes all bytes except unreserved characters (RFC 3986), for use in a path segment or
/// query value.
std::string PercentEncode(std::string_view text);
/// Decodes %XX sequences; invalid ones stay as they are.
std::string PercentDecode(std::string_view text);

bool EqualsIgnoringCase(std::string_view left, std::string_view right);

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_MESSAGE_H_
