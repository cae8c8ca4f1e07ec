#include "libraries/configuration/units.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <string>
#include <utility>

namespace pomelospar::configuration {
namespace {

struct Unit {
  std::string_view suffix;
  std::uint64_t factor;
};

constexpr std::array<Unit, 4> kDurationUnits = {
    {{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}}};
constexpr std::array<Unit, 4> kSizeUnits = {
    {{"B", 1}, {"KiB", 1ULL << 10U}, {"MiB", 1ULL << 20U}, {"GiB", 1ULL << 30U}}};
constexpr std::uint64_t kMaximumDurationMilliseconds = 1000ULL * 3'600'000;
constexpr std::uint64_t kMaximumSizeBytes = 1ULL << 40U;

std::optional<std::uint64_t> ParseQuantity(std::string_view text, const std::array<Unit, 4>& units,
                                           std::uint64_t maximum) {
  std::uint64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc()) {
    return std::nullopt;
  }
  const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
  for (const auto& unit : units) {
    if (unit.suffix == suffix && number <= maximum / unit.factor) {
      return number * unit.factor;
    }
  }
  return std::nullopt;
}

std::optional<std::pair<std::string, std::string_view>> SplitAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  return std::make_pair(std::string(text.substr(0, colon)), text.substr(colon + 1));
}

bool IsIpAddress(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), bytes.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), bytes.data()) == 1;
}

}  // namespace

std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text) {
  const auto value = ParseQuantity(text, kDurationUnits, kMaximumDurationMilliseconds);
  if (!value) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*value);
}

std::optional<std::size_t> ParseSize(std::string_view text) {
  return ParseQuantity(text, kSizeUnits, kMaximumSizeBytes);
}

bool IsAddress(std::string_view text, PortRule rule) {
  const auto parts = SplitAddress(text);
  if (!parts || parts->first.find('\0') != std::string::npos || !IsIpAddress(parts->first)) {
    return false;
  }
  std::uint16_t port = 0;
  const auto* end = parts->second.data() + parts->second.size();
  const auto [rest, error] = std::from_chars(parts->second.data(), end, port);
  return error == std::errc() && rest == end && (port != 0 || rule == PortRule::kMayBeZero);
}

bool IsLoopback(std::string_view address) {
  return address.starts_with("127.") || address.starts_with("[::1]");
}

}  // namespace pomelospar::configuration
