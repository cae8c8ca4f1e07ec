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
/// A shorter secret could be found by trying candidates against one recorded datagram.
inline constexpr std::size_t kMinimumSecretBytes = 32;

using Authenticator = std::array<unsigned char, kAuthenticatorBytes>;

/// An HMAC-SHA-256 key. Its identifier is derived from the secret, so operators do not assign one.
class FleetKey {
 public:
  /// Creates a key from a secret. Errors: `kInvalidArgument` for a secret shorter than
  /// `kMinimumSecretBytes`, `kInternal` if OpenSSL does not provide HMAC-SHA-256.
  static core::Result<FleetKey> Create(std::string_view secret);

  std::uint32_t identifier() const { return this->key_identifier; }
  /// Returns the HMAC-SHA-256 of the bytes, truncated to `kAuthenticatorBytes`. One key must not be
  /// used by two threads at the same time.
  Authenticator Authenticate(std::string_view bytes) const;

 private:
  struct FreeContext {
    void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
  };
  FleetKey() = default;

  std::unique_ptr<EVP_MAC_CTX, FreeContext> context;
  std::uint32_t key_identifier = 0;
};

/// Paths of the key files. Each file holds one secret; white space at its end is ignored.
struct FleetKeyFiles {
  std::string current;
  /// Empty if no key rotation is in progress.
  std::string previous;
};

/// The keys that all routers of a fleet share. The current key authenticates and verifies
/// datagrams; the previous key only verifies them. To rotate, first set the new key as `previous`
/// on every router, then swap the two on every router, then remove the old key.
class FleetKeys {
 public:
  /// Reads the keys from files. Errors: `kNotFound` for a file that cannot be read, and those of
  /// `FleetKey::Create`.
  static core::Result<std::shared_ptr<FleetKeys>> Load(FleetKeyFiles files);
  /// Creates the keys from secrets. An empty `previous` means that there is no previous key.
  /// Errors: those of `FleetKey::Create`.
  static core::Result<std::shared_ptr<FleetKeys>> FromSecrets(std::string_view current,
                                                              std::string_view previous);

  /// Reads the files again. On an error the keys stay unchanged. Errors: as for `Load`.
  core::Result<void> Reload();

  const FleetKey& current() const { return *this->current_key; }
  /// Returns the key with this identifier, or null.
  const FleetKey* Find(std::uint32_t identifier) const;

 private:
  FleetKeys() = default;
  // Replaces both keys, or neither if a secret is invalid.
  core::Result<void> SetKeys(std::string_view current, std::string_view previous);

  FleetKeyFiles files;
  std::optional<FleetKey> current_key;
  std::optional<FleetKey> previous_key;
};

}  // namespace pomelospar::wire

#endif  // POMELOSPAR_LIBRARIES_WIRE_FLEET_KEYS_H_
