#include "services/pomelospar_edge/peer_message.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <nlohmann/json.hpp>
#include <vector>

namespace pomelospar::edge {
namespace {

using Json = nlohmann::json;

// A truncated HMAC-SHA-256 of 128 bits (RFC 2104, section 5).
constexpr std::size_t kAuthenticatorBytes = 16;

std::string Authenticator(std::string_view text, std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &length);
  return {reinterpret_cast<const char*>(digest.data()), kAuthenticatorBytes};
}

std::optional<core::Duration> DecodeTime(const Json& json) {
  if (json.is_null()) return std::nullopt;
  return std::chrono::milliseconds(json.get<std::int64_t>());
}

Json EncodeTime(const std::optional<core::Duration>& time) {
  if (!time) return nullptr;
  return std::chrono::floor<std::chrono::milliseconds>(*time).count();
}

std::optional<dispatch::TableProof> DecodeProof(const Json& json) {
  if (json.is_null()) return std::nullopt;
  return dispatch::TableProof{json.at(0).get<std::uint64_t>(),
                              std::chrono::milliseconds(json.at(1).get<std::int64_t>())};
}

// The time is rounded down, so that the proof holds at it.
Json EncodeProof(const std::optional<dispatch::TableProof>& proof) {
  if (!proof) return nullptr;
  return {proof->state, EncodeTime(proof->at)};
}

dispatch::PeerReport Decode(const Json& json) {
  dispatch::PeerReport report;
  report.sender = json.at(0).get<std::string>();
  report.incarnation = json.at(1).get<std::uint64_t>();
  report.sequence = json.at(2).get<std::uint64_t>();
  for (const auto& entry : json.at(3)) {
    report.runners[entry.at(0).get<std::uint64_t>()] = {
        entry.at(1).get<double>(), entry.at(2).get<double>(), entry.at(3).get<double>()};
  }
  for (const auto& entry : json.at(4)) {
    report.workspaces[entry.at(0).get<std::uint64_t>()] = {entry.at(1).get<double>(),
                                                           entry.at(2).get<double>()};
  }
  for (const auto& entry : json.at(5)) {
    dispatch::PrefixRead read;
    read.runner = entry.at(0).get<std::uint64_t>();
    for (std::size_t index = 1; index + 1 < entry.size(); index += 2) {
      read.parts.push_back(
          {entry.at(index).get<std::uint64_t>(), entry.at(index + 1).get<double>()});
    }
    report.reads.push_back(std::move(read));
  }
  for (const auto& entry : json.at(6)) {
    report.suspicions.push_back(
        {entry.at(0).get<std::uint64_t>(), entry.at(1).get<std::uint64_t>()});
  }
  report.domain = json.at(7).get<std::string>();
  report.policy = DecodeProof(json.at(8));
  report.directory = DecodeProof(json.at(9));
  report.store_regained_at = DecodeTime(json.at(10));
  return report;
}

// Whole numbers take fewer bytes than fractions, and fractions of a token mean nothing.
std::int64_t Whole(double number) { return static_cast<std::int64_t>(number); }

}  // namespace

std::string SealReport(const dispatch::PeerReport& report, std::string_view key) {
  auto runners = Json::array();
  for (const auto& [runner, load] : report.runners) {
    runners.push_back(
        {runner, Whole(load.unread_tokens), Whole(load.active), Whole(load.memory_tokens)});
  }
  auto workspaces = Json::array();
  for (const auto& [workspace, usage] : report.workspaces) {
    workspaces.push_back({workspace, Whole(usage.asked), Whole(usage.served)});
  }
  auto reads = Json::array();
  for (const auto& read : report.reads) {
    Json entry = {read.runner};
    for (const auto& part : read.parts) {
      entry.push_back(part.id);
      entry.push_back(Whole(part.tokens));
    }
    reads.push_back(std::move(entry));
  }
  auto suspicions = Json::array();
  for (const auto& suspicion : report.suspicions) {
    suspicions.push_back({suspicion.request, suspicion.crash});
  }
  const Json json = {report.sender,
                     report.incarnation,
                     report.sequence,
                     std::move(runners),
                     std::move(workspaces),
                     std::move(reads),
                     std::move(suspicions),
                     report.domain,
                     EncodeProof(report.policy),
                     EncodeProof(report.directory),
                     EncodeTime(report.store_regained_at)};
  std::string payload;
  Json::to_cbor(json, payload);
  return Authenticator(payload, key) + payload;
}

core::Result<dispatch::PeerReport> OpenReport(std::string_view datagram, std::string_view key) {
  if (datagram.size() <= kAuthenticatorBytes) {
    return core::MakeError(core::ErrorKind::kMalformed, "the datagram is too short");
  }
  const auto payload = datagram.substr(kAuthenticatorBytes);
  const auto expected = Authenticator(payload, key);
  if (CRYPTO_memcmp(expected.data(), datagram.data(), kAuthenticatorBytes) != 0) {
    return core::MakeError(core::ErrorKind::kUnauthorized,
                           "the datagram was not sealed with the key of this fleet");
  }
  try {
    return Decode(Json::from_cbor(payload));
  } catch (const Json::exception& error) {
    return core::MakeError(core::ErrorKind::kMalformed, error.what());
  }
}

}  // namespace pomelospar::edge
