#ifndef POMELOSPAR_LIBRARIES_WIRE_FLEET_KEYS_H_
#define POMELOSPAR_LIBRARIES_WIRE_FLEET_KEYS_H_

#include <openssl/evp.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/core/result.h"

namespace pomelospar::wire {

inline constexpr std::size_t kKeyIdentifierBytes = 4;
inline constexpr std::size_t kAuthenticatorBytes = 16;
/// Shorter secrets could be guessed by trying them against one recorded datagram.
inline constexpr std::size_t kMinimumSecretBytes = 32;

using Authenticator = std::array<unsigned char, kAuthenticatorBytes>;

/// One HMAC-SHA-256 key. The identifier is derived from the secret, so operators assign none.
class FleetKey {
 public:
  /// Errors: `kInvalidArgument` for a secret shorter than `kMinimumSecretBytes`.
  static core::Result<FleetKey> Create(std::string_view secret);

  std::uint32_t identifier() const { return this->key_identifier; }
  /// HMAC-SHA-256 of the bytes, truncated. Not safe for concurrent use of one key.
  Authenticator Authenticate(std::string_view bytes) const;

 private:
  struct FreeContext {
    void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
  };
  FleetKey() = default;

  std::unique_ptr<EVP_MAC_CTX, FreeContext> context;
  std::uint32_t key_identifier = 0;
};

/// Files with one secret each; white space at the end of a file is ignored.
struct FleetKeyFiles {
  std::string current;
  /// Empty if there is no key rotation in progress.
  std::string previous;
};

/// The keys of the fleet: the current key seals and opens, the previous key opens only. To rotate,
/// first make the new key `previous` on every router, then swap the two, then remove the old one.
class FleetKeys {
 public:
  /// Errors: `kNotFound` for a file that cannot be read, `kInvalidArgument` for a bad secret.
  static core::Result<std::shared_ptr<FleetKeys>> Load(FleetKeyFiles files);
  /// An empty `previous` means none.
  static core::Result<std::shared_ptr<FleetKeys>> FromSecrets(std::string_view current,
                                                              std::string_view previous);

  /// Reads the files again. On an error the keys stay as they are.
  core::Result<void> Reload();

  const FleetKey& current() const { return *this->current_key; }
  /// The key with this identifier, or null.
  const FleetKey* Find(std::uint32_t identifier) const;

 private:
  FleetKeys() = default;
  core::Result<void> Use(std::string_view current, std::string_view previous);

  FleetKeyFiles files;
  std::optional<FleetKey> current_key;
  std::optional<FleetKey> previous_key;
};

}  // namespace pomelospar::wire

#endif  // POMELOSPAR_LIBRARIES_WIRE_FLEET_KEYS_H_
