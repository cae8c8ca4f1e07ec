#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_UNITS_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_UNITS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pomelospar::configuration {

/// Parses a whole number with the unit "ms", "s", "m" or "h", at most 1,000 hours.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// Parses a whole number with the unit "B", "KiB", "MiB" or "GiB", at most 1,024 GiB.
std::optional<std::size_t> ParseSize(std::string_view text);

enum class PortRule {
  kGiven,
  /// Port 0 lets the system choose the port of a listener.
  kMayBeZero,
};

/// True for "ip:port" with an IPv4 address or an IPv6 address in brackets. Host names are rejected
/// because processes connect to each other by IP address.
bool IsAddress(std::string_view text, PortRule rule);

/// True for an "ip:port" on the loopback interface.
bool IsLoopback(std::string_view address);

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_UNITS_H_
