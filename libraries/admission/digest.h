#ifndef POMELOSPAR_LIBRARIES_ADMISSION_DIGEST_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_DIGEST_H_

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pomelospar::admission {

using Digest = std::array<std::uint8_t, 32>;

Digest Sha256(std::string_view text);

/// SHA-256 over the parts, each preceded by its length as 8 bytes, so that no two different lists
/// of parts give the same input.
Digest Sha256OfParts(std::initializer_list<std::string_view> parts);

/// 64 lower-case hexadecimal digits.
std::string ToHex(const Digest& digest);

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_DIGEST_H_
