#include "libraries/wire/fleet_keys.h"

#include <fmt/format.h>
#include <openssl/core_names.h>
#include <openssl/params.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

namespace pomelospar::wire {
namespace {

constexpr std::string_view kIdentifierLabel = "pomelospar fleet key identifier";
constexpr std::size_t kSha256Bytes = 32;

core::Result<std::string> ReadSecret(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return core::MakeError(core::ErrorKind::kNotFound,
                           fmt::format("cannot read the fleet key file {}; create it with at least "
                                       "{} random bytes, the same on all routers",
                                       path, kMinimumSecretBytes));
  }
  std::string secret{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  secret.erase(secret.find_last_not_of(" \t\r\n") + 1);
  return secret;
}

}  // namespace

core::Result<FleetKey> FleetKey::Create(std::string_view secret) {
  if (secret.size() < kMinimumSecretBytes) {
    return core::MakeError(core::ErrorKind::kInvalidArgument,
                           fmt::format("the fleet key has {} bytes; use at least {} random bytes",
                                       secret.size(), kMinimumSecretBytes));
  }
  FleetKey key;
  EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  if (algorithm != nullptr) {
    key.context.reset(EVP_MAC_CTX_new(algorithm));
    EVP_MAC_free(algorithm);
  }
  std::string digest = "SHA256";
  const OSSL_PARAM parameters[] = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
      OSSL_PARAM_construct_end()};
  const auto* bytes = reinterpret_cast<const unsigned char*>(secret.data());
  if (!key.context || EVP_MAC_init(key.context.get(), bytes, secret.size(), parameters) != 1) {
    return core::MakeError(
        core::ErrorKind::kInternal,
        "OpenSSL does not provide HMAC-SHA-256; check its provider configuration");
  }
  const Authenticator label = key.Authenticate(kIdentifierLabel);
  std::memcpy(&key.key_identifier, label.data(), kKeyIdentifierBytes);
  return key;
}

Authenticator FleetKey::Authenticate(std::string_view bytes) const {
  std::array<unsigned char, kSha256Bytes> full{};
  std::size_t length = 0;
  // With a null key, OpenSSL starts a new computation with the key set in `Create`.
  EVP_MAC_init(this->context.get(), nullptr, 0, nullptr);
  EVP_MAC_update(this->context.get(), reinterpret_cast<const unsigned char*>(bytes.data()),
                 bytes.size());
  EVP_MAC_final(this->context.get(), full.data(), &length, full.size());
  Authenticator truncated{};
  std::copy_n(full.begin(), truncated.size(), truncated.begin());
  return truncated;
}

core::Result<std::shared_ptr<FleetKeys>> FleetKeys::Load(FleetKeyFiles files) {
  std::shared_ptr<FleetKeys> keys(new FleetKeys());
  keys->files = std::move(files);
  BOOST_OUTCOME_TRY(keys->Reload());
  return keys;
}

core::Result<std::shared_ptr<FleetKeys>> FleetKeys::FromSecrets(std::string_view current,
                                                                std::string_view previous) {
  std::shared_ptr<FleetKeys> keys(new FleetKeys());
  BOOST_OUTCOME_TRY(keys->SetKeys(current, previous));
  return keys;
}

core::Result<void> FleetKeys::Reload() {
  BOOST_OUTCOME_TRY(const auto current, ReadSecret(this->files.current));
  std::string previous;
  if (!this->files.previous.empty()) {
    BOOST_OUTCOME_TRY(previous, ReadSecret(this->files.previous));
  }
  return this->SetKeys(current, previous);
}

const FleetKey* FleetKeys::Find(std::uint32_t identifier) const {
  if (this->current_key->identifier() == identifier) {
    return &*this->current_key;
  }
  if (this->previous_key && this->previous_key->identifier() == identifier) {
    return &*this->previous_key;
  }
  return nullptr;
}

core::Result<void> FleetKeys::SetKeys(std::string_view current, std::string_view previous) {
  BOOST_OUTCOME_TRY(auto new_current, FleetKey::Create(current));
  std::optional<FleetKey> new_previous;
  if (!previous.empty()) {
    BOOST_OUTCOME_TRY(auto key, FleetKey::Create(previous));
    new_previous.emplace(std::move(key));
  }
  this->current_key.emplace(std::move(new_current));
  this->previous_key = std::move(new_previous);
  return core::Success();
}

}  // namespace pomelospar::wire
