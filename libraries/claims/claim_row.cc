#include "libraries/claims/claim_row.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/replace.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace pomelospar::claims {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<ClaimState, std::string_view>, 4> kStateNames = {{
    {ClaimState::kRunning, "running"},
    {ClaimState::kNotRun, "not_run"},
    {ClaimState::kAnswered, "answered"},
    {ClaimState::kUnknown, "unknown"},
}};

core::Error Malformed() {
  return core::MakeError(core::ErrorKind::kMalformed,
                         "the claim row is damaged; use another idempotency key");
}

std::string EncodeBase64(const std::vector<std::uint8_t>& bytes) {
  // Base64 needs four characters for every three bytes; EVP_EncodeBlock also writes a final zero
  // byte.
  std::vector<std::uint8_t> text((bytes.size() + 2) / 3 * 4 + 1);
  const int size = EVP_EncodeBlock(text.data(), bytes.data(), static_cast<int>(bytes.size()));
  return {text.begin(), text.begin() + size};
}

std::vector<std::uint8_t> DecodeBase64(std::string_view text) {
  std::vector<std::uint8_t> bytes(text.size() / 4 * 3);
  const std::vector<std::uint8_t> input(text.begin(), text.end());
  const int size = EVP_DecodeBlock(bytes.data(), input.data(), static_cast<int>(input.size()));
  // EVP_DecodeBlock decodes padding to zero bytes at the end; `from_cbor` below ignores them
  // because it is not strict.
  bytes.resize(std::max(0, size));
  return bytes;
}

std::string EncodeAnswer(const RecordedAnswer& answer) {
  json object;
  object["status"] = answer.status;
  object["headers"] = answer.headers;
  object["body"] = json::binary({answer.body.begin(), answer.body.end()});
  return EncodeBase64(json::to_cbor(object));
}

RecordedAnswer DecodeAnswer(std::string_view text) {
  const auto object = json::from_cbor(DecodeBase64(text), false);
  const auto& body = object.at("body").get_binary();
  RecordedAnswer answer;
  answer.status = object.at("status").get<unsigned>();
  answer.headers = object.at("headers").get<decltype(answer.headers)>();
  answer.body.assign(body.begin(), body.end());
  return answer;
}

ClaimRow ReadRow(const json& object) {
  ClaimRow row;
  row.attempt = object.at("attempt").get<std::string>();
  row.body_hash = object.at("body_hash").get<std::string>();
  const auto& state = object.at("state").get_ref<const std::string&>();
  const auto* const named =
      std::ranges::find(kStateNames, state, &std::pair<ClaimState, std::string_view>::second);
  // A state that only a later version of this program knows must not permit the request to be sent.
  row.state = named == kStateNames.end() ? ClaimState::kUnknown : named->first;
  if (object.contains("answer")) {
    row.answer = DecodeAnswer(object.at("answer").get_ref<const std::string&>());
  }
  return row;
}

}  // namespace

core::Result<std::string> ClaimRowKey(std::string_view workspace, std::string_view key) {
  const bool visible =
      std::ranges::all_of(key, [](char character) { return character > ' ' && character <= '~'; });
  if (key.empty() || key.size() > kMaximumKeyBytes || !visible) {
    return core::MakeError(
        core::ErrorKind::kInvalidArgument,
        fmt::format("Idempotency-Key must be 1 to {} visible ASCII characters; send such a key",
                    kMaximumKeyBytes));
  }
  // With a "/" in the workspace name, two pairs of workspace and key could give the same row key.
  auto name = boost::algorithm::replace_all_copy(std::string(workspace), "%", "%25");
  boost::algorithm::replace_all(name, "/", "%2F");
  return fmt::format("claim/{}/{}", name, key);
}

std::string EncodeClaimRow(const ClaimRow& row) {
  const auto* const named =
      std::ranges::find(kStateNames, row.state, &std::pair<ClaimState, std::string_view>::first);
  json object = {{"attempt", row.attempt}, {"body_hash", row.body_hash}, {"state", named->second}};
  if (row.answer.has_value()) {
    object["answer"] = EncodeAnswer(*row.answer);
  }
  return object.dump();
}

core::Result<ClaimRow> DecodeClaimRow(std::string_view value) {
  try {
    return ReadRow(json::parse(value));
  } catch (const json::exception&) {
    return Malformed();
  }
}

}  // namespace pomelospar::claims
