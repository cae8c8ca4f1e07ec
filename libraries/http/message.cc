#include "libraries/http/message.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>

namespace pomelospar::http {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
    "TE",         "Trailer",    "Upgrade",          "Content-Length",
    "Expect"};

std::string_view Trimmed(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const auto first = std::min(text.find_first_not_of(kBlanks), text.size());
  text.remove_prefix(first);
  return text.substr(0, text.find_last_not_of(kBlanks) + 1);
}

/// The tokens of a comma-separated header value, without surrounding blanks.
std::vector<std::string_view> Tokens(std::string_view list) {
  std::vector<std::string_view> tokens;
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    const auto token = list.substr(0, comma);
    if (!token.empty()) tokens.push_back(Trimmed(token));
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return tokens;
}

bool IsHopByHop(std::string_view name) {
  if (boost::algorithm::istarts_with(name, "Proxy-")) return true;
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                     [&](std::string_view known) { return EqualsIgnoringCase(known, name); });
}

bool IsUnreserved(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' || character == '.' ||
         character == '_' || character == '~';
}

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         boost::algorithm::iequals(left, right, std::locale::classic());
}

std::optional<std::string_view> FindHeader(const std::vector<HttpHeader>& headers,
                                           std::string_view name) {
  for (const auto& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) return header.value;
  }
  return std::nullopt;
}

std::optional<std::string_view> HttpRequest::FindHeader(std::string_view name) const {
  return http::FindHeader(this->headers, name);
}

std::optional<std::string_view> HttpResponse::FindHeader(std::string_view name) const {
  return http::FindHeader(this->headers, name);
}

std::optional<std::string_view> ResponseHead::FindHeader(std::string_view name) const {
  return http::FindHeader(this->headers, name);
}

std::string_view HttpRequest::path() const {
  return std::string_view(this->target).substr(0, this->target.find('?'));
}

std::optional<std::string> HttpRequest::QueryParameter(std::string_view name) const {
  const auto question = this->target.find('?');
  if (question == std::string::npos) return std::nullopt;
  std::string_view rest = std::string_view(this->target).substr(question + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const auto pair = rest.substr(0, end);
    const auto equals = std::min(pair.find('='), pair.size());
    if (PercentDecode(pair.substr(0, equals)) == name) {
      return PercentDecode(pair.substr(std::min(equals + 1, pair.size())));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return std::nullopt;
}

std::vector<HttpHeader> RelayableHeaders(const std::vector<HttpHeader>& headers) {
  std::vector<std::string_view> named_by_connection;
  for (const auto& header : headers) {
    if (!EqualsIgnoringCase(header.name, "Connection")) continue;
    for (const auto token : Tokens(header.value)) named_by_connection.push_back(token);
  }
  std::vector<HttpHeader> relayable;
  for (const auto& header : headers) {
    if (IsHopByHop(header.name)) continue;
    const bool named =
        std::any_of(named_by_connection.begin(), named_by_connection.end(),
                    [&](std::string_view name) { return EqualsIgnoringCase(name, header.name); });
    if (!named) relayable.push_back(header);
  }
  return relayable;
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char character : text) {
    if (IsUnreserved(character)) {
      encoded += character;
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
  }
  return encoded;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned char byte = 0;
    if (text[i] == '%' && i + 2 < text.size()) {
      const char* first = text.data() + i + 1;
      const auto [end, error] = std::from_chars(first, first + 2, byte, 16);
      if (error == std::errc() && end == first + 2) {
        decoded += static_cast<char>(byte);
        i += 2;
        continue;
      }
    }
    decoded += text[i];
  }
  return decoded;
}

}  // namespace pomelospar::http
