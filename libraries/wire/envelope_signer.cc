#include "libraries/wire/envelope_signer.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace pomelospar::wire {
namespace {

// Ten times the routers of the target fleet. When the map reaches this size it is cleared, which
// bounds its memory.
constexpr std::size_t kMaximumReceivers = 4096;

}  // namespace

EnvelopeSigner::EnvelopeSigner(core::RouterIdentity self, std::shared_ptr<const FleetKeys> keys)
    : self(std::move(self)), keys(std::move(keys)) {}

core::Result<std::string> EnvelopeSigner::Sign(const core::RouterIdentity& receiver,
                                               std::vector<Message> messages) {
  Envelope envelope;
  envelope.set_version(kProtocolVersion);
  envelope.mutable_sender()->set_address(this->self.address);
  envelope.mutable_sender()->set_incarnation(this->self.incarnation);
  // A known incarnation identifies the receiver. The address would add 17 bytes to each datagram.
  if (receiver.incarnation == 0) {
    envelope.set_receiver_address(receiver.address);
  }
  envelope.set_receiver_incarnation(receiver.incarnation);
  envelope.set_sequence(this->NextSequence(receiver.address));
  for (auto& message : messages) {
    *envelope.add_messages() = std::move(message);
  }
  const std::size_t size = kHeaderBytes + envelope.ByteSizeLong();
  if (size > kMaximumDatagramBytes) {
    return core::MakeError(core::ErrorKind::kTooLarge,
                           fmt::format("a control datagram of {} bytes exceeds the limit of {}; "
                                       "send its content in parts",
                                       size, kMaximumDatagramBytes));
  }
  const FleetKey& key = this->keys->current();
  const std::uint32_t identifier = key.identifier();
  std::string authenticated(reinterpret_cast<const char*>(&identifier), kKeyIdentifierBytes);
  envelope.AppendToString(&authenticated);
  const Authenticator authenticator = key.Authenticate(authenticated);
  authenticated.insert(kKeyIdentifierBytes, reinterpret_cast<const char*>(authenticator.data()),
                       authenticator.size());
  return authenticated;
}

std::uint64_t EnvelopeSigner::NextSequence(const std::string& address) {
  if (this->sequences.size() >= kMaximumReceivers && !this->sequences.contains(address)) {
    for (const auto& [known, sequence] : this->sequences) {
      this->sequence_floor = std::max(this->sequence_floor, sequence);
    }
    this->sequences.clear();
  }
  const auto [entry, added] = this->sequences.try_emplace(address, this->sequence_floor);
  return ++entry->second;
}

}  // namespace pomelospar::wire
