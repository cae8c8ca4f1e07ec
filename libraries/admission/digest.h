#ifndef POMELOSPAR_LIBRARIES_ADMISSION_DIGEST_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_DIGEST_H_

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pomelospar::admission {

/// A SHA-256 hash.
using Digest = std::array<std::uint8_t, 32>;

Digest Sha256(std::string_view text);

/// Hashes the parts in order, each preceded by its length as 8 bytes in little-endian order, so
/// that two different lists of parts never give the same hash input.
Digest Sha256OfParts(std::initializer_list<std::string_view> parts);

/// Formats the hash as 64 lower-case hexadecimal digits.
std::string ToHex(const Digest& digest);

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_DIGEST_H_
