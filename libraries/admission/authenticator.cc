#include "libraries/admission/authenticator.h"

#include <fmt/format.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <iterator>

namespace pomelospar::admission {
namespace {

constexpr std::string_view kBearer = "Bearer ";

core::Result<Digest> ParseDigest(std::string_view workspace, std::string_view hex) {
  std::vector<std::uint8_t> bytes;
  try {
    boost::algorithm::unhex(hex, std::back_inserter(bytes));
  } catch (const boost::algorithm::hex_decode_error&) {
    bytes.clear();
  }
  Digest digest{};
  if (bytes.size() != digest.size()) {
    return core::MakeError(
        core::ErrorKind::kInvalidArgument,
        fmt::format("workspace \"{}\" has a key hash that is not 64 hexadecimal digits; make it "
                    "with pomelosparctl hash-key",
                    workspace));
  }
  std::ranges::copy(bytes, digest.begin());
  return digest;
}

core::Result<std::string_view> FindKey(std::string_view authorization, std::string_view api_key) {
  if (!authorization.empty() && !boost::algorithm::istarts_with(authorization, kBearer)) {
    return core::MakeError(core::ErrorKind::kUnauthorized,
                           "unsupported Authorization scheme; send Authorization: Bearer KEY");
  }
  std::string_view key = authorization.empty() ? api_key : authorization.substr(kBearer.size());
  while (key.starts_with(' ')) {
    key.remove_prefix(1);
  }
  while (key.ends_with(' ')) {
    key.remove_suffix(1);
  }
  if (key.empty()) {
    return core::MakeError(
        core::ErrorKind::kUnauthorized,
        "no API key; send the header Authorization: Bearer KEY or X-Api-Key: KEY");
  }
  return key;
}

}  // namespace

core::Result<Authenticator> Authenticator::Create(
    const configuration::Configuration& configuration) {
  Authenticator authenticator;
  for (const auto& workspace : configuration.workspaces) {
    for (const auto& hex : workspace.key_hashes) {
      BOOST_OUTCOME_TRY(const auto digest, ParseDigest(workspace.name, hex));
      authenticator.keys.push_back(Key{digest, workspace.id});
    }
  }
  std::ranges::sort(authenticator.keys, {}, &Key::digest);
  const auto same = [](const Key& left, const Key& right) {
    return left.digest == right.digest && left.workspace != right.workspace;
  };
  if (std::ranges::adjacent_find(authenticator.keys, same) != authenticator.keys.end()) {
    return core::MakeError(core::ErrorKind::kInvalidArgument,
                           "two workspaces declare the same key hash; give each its own API key");
  }
  return authenticator;
}

core::Result<core::WorkspaceId> Authenticator::Authenticate(std::string_view authorization_header,
                                                            std::string_view api_key_header) const {
  BOOST_OUTCOME_TRY(const auto text, FindKey(authorization_header, api_key_header));
  const auto digest = Sha256(text);
  // Scanning the keys of 670 workspaces, the target size, takes some tens of microseconds.
  const Key* match = nullptr;
  for (const auto& key : this->keys) {
    const bool equal = CRYPTO_memcmp(key.digest.data(), digest.data(), digest.size()) == 0;
    match = equal ? &key : match;
  }
  if (match == nullptr) {
    return core::MakeError(core::ErrorKind::kUnauthorized,
                           "unknown API key; use a key of a declared workspace");
  }
  return match->workspace;
}

}  // namespace pomelospar::admission
