#include "libraries/wire/envelope_verifier.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

#include "libraries/wire/envelope_signer.h"

namespace pomelospar::wire {
namespace {

// Enough to remember every incarnation for a week at 560 restarts a day. A window takes about 250
// bytes.
constexpr std::size_t kMaximumSenders = 4096;

bool IsProbe(const Message& message) {
  return message.kind_case() == Message::kPing || message.kind_case() == Message::kAck;
}

bool MatchesReceiverIncarnation(const Envelope& envelope, const core::RouterIdentity& self) {
  if (envelope.receiver_incarnation() != 0) {
    return envelope.receiver_incarnation() == self.incarnation;
  }
  return std::all_of(envelope.messages().begin(), envelope.messages().end(), IsProbe);
}

}  // namespace

std::string_view NameOf(RejectReason reason) {
  static constexpr std::array<std::string_view, kRejectReasons> kNames = {
      "too_short",
      "too_large",
      "unknown_key",
      "bad_authenticator",
      "malformed",
      "wrong_version",
      "wrong_receiver_address",
      "wrong_receiver_incarnation",
      "replayed"};
  return kNames[static_cast<std::size_t>(reason)];
}

EnvelopeVerifier::EnvelopeVerifier(core::RouterIdentity self, std::shared_ptr<const FleetKeys> keys)
    : self(std::move(self)), keys(std::move(keys)) {}

VerifyResult EnvelopeVerifier::Verify(std::string_view datagram) {
  if (datagram.size() <= kHeaderBytes) {
    return this->Reject(RejectReason::kTooShort);
  }
  if (datagram.size() > kMaximumDatagramBytes) {
    return this->Reject(RejectReason::kTooLarge);
  }
  std::uint32_t identifier = 0;
  std::memcpy(&identifier, datagram.data(), kKeyIdentifierBytes);
  const FleetKey* key = this->keys->Find(identifier);
  if (key == nullptr) {
    return this->Reject(RejectReason::kUnknownKey);
  }
  const std::string_view serialized = datagram.substr(kHeaderBytes);
  std::string authenticated(datagram.substr(0, kKeyIdentifierBytes));
  authenticated.append(serialized);
  const Authenticator expected = key->Authenticate(authenticated);
  if (CRYPTO_memcmp(expected.data(), datagram.data() + kKeyIdentifierBytes, expected.size()) != 0) {
    return this->Reject(RejectReason::kBadAuthenticator);
  }
  Envelope envelope;
  if (!envelope.ParseFromArray(serialized.data(), static_cast<int>(serialized.size())) ||
      envelope.sender().address().empty() || envelope.sender().incarnation() == 0) {
    return this->Reject(RejectReason::kMalformed);
  }
  if (envelope.version() != kProtocolVersion) {
    return this->Reject(RejectReason::kWrongVersion);
  }
  const bool must_match_address =
      envelope.receiver_incarnation() == 0 || !envelope.receiver_address().empty();
  if (must_match_address && envelope.receiver_address() != this->self.address) {
    return this->Reject(RejectReason::kWrongReceiverAddress);
  }
  if (!MatchesReceiverIncarnation(envelope, this->self)) {
    return this->Reject(RejectReason::kWrongReceiverIncarnation);
  }
  const core::RouterIdentity sender{envelope.sender().address(), envelope.sender().incarnation()};
  if (!this->WindowOf(sender).Accept(envelope.sequence())) {
    return this->Reject(RejectReason::kReplayed);
  }
  ++this->verified_count;
  return envelope;
}

VerifyResult EnvelopeVerifier::Reject(RejectReason reason) {
  ++this->rejections[static_cast<std::size_t>(reason)];
  return reason;
}

ReplayWindow& EnvelopeVerifier::WindowOf(const core::RouterIdentity& sender) {
  const auto known = this->windows.find(sender);
  if (known != this->windows.end()) {
    this->recent.splice(this->recent.begin(), this->recent, known->second);
    return known->second->second;
  }
  if (this->windows.size() >= kMaximumSenders) {
    this->windows.erase(this->recent.back().first);
    this->recent.pop_back();
  }
  this->recent.emplace_front(sender, ReplayWindow());
  this->windows.emplace(sender, this->recent.begin());
  return this->recent.front().second;
}

}  // namespace pomelospar::wire
