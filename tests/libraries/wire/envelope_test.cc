#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "libraries/wire/envelope_signer.h"
#include "libraries/wire/envelope_verifier.h"

namespace pomelospar::wire {
namespace {

const std::string kSecret(32, 'a');
const std::string kOtherSecret(32, 'b');
const core::RouterIdentity kSender{"10.0.0.1:7100", 11};
const core::RouterIdentity kReceiver{"10.0.0.2:7100", 22};

std::shared_ptr<FleetKeys> Keys(const std::string& current, const std::string& previous = "") {
  return FleetKeys::FromSecrets(current, previous).value();
}

Message PingMessage() {
  Message message;
  message.mutable_ping()->set_probe(7);
  return message;
}

Message DemandMessage() {
  Message message;
  message.mutable_demand()->set_sequence(3);
  return message;
}

// Returns a datagram with a valid authenticator around any bytes.
std::string Authentic(const std::string& serialized) {
  const FleetKey key = FleetKey::Create(kSecret).value();
  const std::uint32_t identifier = key.identifier();
  std::string datagram(reinterpret_cast<const char*>(&identifier), kKeyIdentifierBytes);
  const Authenticator authenticator = key.Authenticate(datagram + serialized);
  datagram.append(authenticator.begin(), authenticator.end());
  return datagram + serialized;
}

Envelope ValidEnvelope() {
  Envelope envelope;
  envelope.set_version(kProtocolVersion);
  envelope.mutable_sender()->set_address(kSender.address);
  envelope.mutable_sender()->set_incarnation(kSender.incarnation);
  envelope.set_receiver_address(kReceiver.address);
  envelope.set_receiver_incarnation(kReceiver.incarnation);
  envelope.set_sequence(1);
  *envelope.add_messages() = DemandMessage();
  return envelope;
}

class EnvelopeVerifierTest : public testing::Test {
 protected:
  void ExpectRejected(const std::string& datagram, RejectReason reason) {
    const std::uint64_t before = this->verifier.rejected(reason);
    const VerifyResult result = this->verifier.Verify(datagram);
    const auto* rejected = std::get_if<RejectReason>(&result);
    ASSERT_NE(rejected, nullptr) << "accepted, expected " << NameOf(reason);
    EXPECT_EQ(NameOf(*rejected), NameOf(reason));
    EXPECT_EQ(this->verifier.rejected(reason), before + 1);
  }
  void ExpectRejected(const Envelope& envelope, RejectReason reason) {
    this->ExpectRejected(Authentic(envelope.SerializeAsString()), reason);
  }

  EnvelopeVerifier verifier{kReceiver, Keys(kSecret)};
};

// Guards against a datagram that takes effect although it was altered or truncated in transit, and
// against forged senders that evict the replay windows of real senders.
RC_GTEST_PROP(EnvelopeVerifierProperty, AlteredDatagramIsRejected, (const std::string& content)) {
  EnvelopeSigner signer(kSender, Keys(kSecret));
  Message message;
  message.mutable_configuration_changes()->add_sections()->set_json(content);
  std::string datagram = signer.Sign(kReceiver, {message, PingMessage()}).value();
  const std::string original = datagram;
  if (*rc::gen::arbitrary<bool>()) {
    datagram.resize(*rc::gen::inRange<std::size_t>(0, datagram.size()));
  } else {
    const auto bits = *rc::gen::inRange(1, 9);
    for (int flip = 0; flip < bits; ++flip) {
      const auto bit = *rc::gen::inRange<std::size_t>(0, datagram.size() * 8);
      datagram[bit / 8] = static_cast<char>(datagram[bit / 8] ^ (1 << (bit % 8)));
    }
  }
  RC_PRE(datagram != original);
  EnvelopeVerifier verifier(kReceiver, Keys(kSecret, kOtherSecret));
  const VerifyResult altered = verifier.Verify(datagram);
  RC_ASSERT(std::holds_alternative<RejectReason>(altered));
  RC_ASSERT(verifier.senders() == 0U);
  const VerifyResult intact = verifier.Verify(original);
  RC_ASSERT(std::holds_alternative<Envelope>(intact));
}

// Guards against invalid datagrams that are accepted, one case for each reject reason, and against
// datagrams that are counted under the wrong reason.
TEST_F(EnvelopeVerifierTest, RejectsWithTheReason) {
  this->ExpectRejected(std::string(kHeaderBytes, 'x'), RejectReason::kTooShort);
  this->ExpectRejected(std::string(kMaximumDatagramBytes + 1, 'x'), RejectReason::kTooLarge);
  EnvelopeSigner foreign(kSender, Keys(kOtherSecret));
  this->ExpectRejected(foreign.Sign(kReceiver, {PingMessage()}).value(), RejectReason::kUnknownKey);
  std::string forged = foreign.Sign(kReceiver, {PingMessage()}).value();
  forged.replace(0, kKeyIdentifierBytes, Authentic("x"), 0, kKeyIdentifierBytes);
  this->ExpectRejected(forged, RejectReason::kBadAuthenticator);
  this->ExpectRejected(Authentic("\xff\xff\xff"), RejectReason::kMalformed);

  Envelope envelope = ValidEnvelope();
  envelope.mutable_sender()->set_incarnation(0);
  this->ExpectRejected(envelope, RejectReason::kMalformed);
  envelope = ValidEnvelope();
  envelope.set_version(kProtocolVersion + 1);
  this->ExpectRejected(envelope, RejectReason::kWrongVersion);
  envelope = ValidEnvelope();
  envelope.set_receiver_address("10.0.0.3:7100");
  this->ExpectRejected(envelope, RejectReason::kWrongReceiverAddress);
  envelope = ValidEnvelope();
  envelope.set_receiver_incarnation(kReceiver.incarnation + 1);
  this->ExpectRejected(envelope, RejectReason::kWrongReceiverIncarnation);
  EXPECT_EQ(this->verifier.senders(), 0U);
  EXPECT_TRUE(std::holds_alternative<Envelope>(
      this->verifier.Verify(Authentic(ValidEnvelope().SerializeAsString()))));
  this->ExpectRejected(ValidEnvelope(), RejectReason::kReplayed);
  EXPECT_EQ(this->verifier.verified(), 1U);
}

// Guards against a demand or grant that takes effect although it was sent to an earlier incarnation
// of this router.
TEST_F(EnvelopeVerifierTest, UnknownIncarnationAdmitsProbesOnly) {
  EnvelopeSigner signer(kSender, Keys(kSecret));
  const core::RouterIdentity unknown{kReceiver.address, 0};
  this->ExpectRejected(signer.Sign(unknown, {PingMessage(), DemandMessage()}).value(),
                       RejectReason::kWrongReceiverIncarnation);
  EXPECT_TRUE(std::holds_alternative<Envelope>(
      this->verifier.Verify(signer.Sign(unknown, {PingMessage()}).value())));
}

// Guards against unbounded memory: each restart of a router adds a sender incarnation.
TEST_F(EnvelopeVerifierTest, RemembersABoundedNumberOfSenders) {
  Envelope envelope = ValidEnvelope();
  for (std::uint64_t incarnation = 1; incarnation <= 5000; ++incarnation) {
    envelope.mutable_sender()->set_incarnation(incarnation);
    this->verifier.Verify(Authentic(envelope.SerializeAsString()));
  }
  EXPECT_EQ(this->verifier.verified(), 5000U);
  EXPECT_EQ(this->verifier.senders(), 4096U);
}

// Guards against a datagram that takes effect twice, and against datagrams rejected only because
// they arrived out of order.
RC_GTEST_PROP(ReplayWindowProperty, AcceptsEachNumberOnceWithinTheWindow, ()) {
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-1500, 1500));
  ReplayWindow window;
  std::set<std::int64_t> seen;
  std::int64_t highest = 0;
  for (const int step : steps) {
    const std::int64_t sequence = std::max<std::int64_t>(0, highest + step);
    const bool expected =
        sequence > 0 && highest - sequence < static_cast<std::int64_t>(ReplayWindow::kWindowSize) &&
        !seen.contains(sequence);
    RC_ASSERT(window.Accept(static_cast<std::uint64_t>(sequence)) == expected);
    if (expected) {
      seen.insert(sequence);
      highest = std::max(highest, sequence);
    }
  }
}

// Guards against routers that reject each other's datagrams while a key rotation has reached only
// some of them.
TEST(FleetKeysTest, RotationInThreeStepsLosesNoDatagram) {
  const std::vector<std::pair<std::string, std::string>> steps = {
      {kSecret, ""}, {kSecret, kOtherSecret}, {kOtherSecret, kSecret}, {kOtherSecret, ""}};
  for (std::size_t step = 0; step + 1 < steps.size(); ++step) {
    const auto before = Keys(steps[step].first, steps[step].second);
    const auto after = Keys(steps[step + 1].first, steps[step + 1].second);
    for (const auto& [from, to] : {std::pair(before, after), std::pair(after, before)}) {
      EnvelopeSigner signer(kSender, from);
      EnvelopeVerifier verifier(kReceiver, to);
      EXPECT_TRUE(std::holds_alternative<Envelope>(
          verifier.Verify(signer.Sign(kReceiver, {PingMessage()}).value())))
          << "step " << step;
    }
  }
}

// Guards against a router that loses its keys because a reload reads a partly written file.
TEST(FleetKeysTest, ReloadTakesNewKeysAndKeepsOldOnesOnError) {
  const std::string path = testing::TempDir() + "/fleet_key";
  std::ofstream(path) << kSecret << "\n";
  const auto keys = FleetKeys::Load({.current = path}).value();
  EXPECT_EQ(keys->current().identifier(), Keys(kSecret)->current().identifier());
  std::ofstream(path) << "short";
  EXPECT_TRUE(keys->Reload().has_error());
  EXPECT_EQ(keys->current().identifier(), Keys(kSecret)->current().identifier());
  std::ofstream(path) << kOtherSecret;
  EXPECT_TRUE(keys->Reload().has_value());
  EXPECT_EQ(keys->current().identifier(), Keys(kOtherSecret)->current().identifier());
  const auto missing = FleetKeys::Load({.current = path + "_missing"});
  EXPECT_TRUE(core::Is(missing.error(), core::ErrorKind::kNotFound));
}

// Guards against sending a datagram that every receiver would reject as too large.
TEST(EnvelopeSignerTest, RefusesContentAboveTheLimit) {
  Message message;
  message.mutable_configuration_changes()->add_sections()->set_json(
      std::string(kMaximumDatagramBytes, 'x'));
  const auto signed_datagram = EnvelopeSigner(kSender, Keys(kSecret)).Sign(kReceiver, {message});
  EXPECT_TRUE(core::Is(signed_datagram.error(), core::ErrorKind::kTooLarge));
}

}  // namespace
}  // namespace pomelospar::wire
