#include "tests/libraries/membership/network.h"

#include <algorithm>
#include <utility>

namespace pomelospar::membership {
namespace {

constexpr core::Duration kTick = std::chrono::milliseconds(100);
// Key identifier (4 bytes), authenticator (16 bytes) and the length that nng sends before a message
// (8 bytes).
constexpr std::size_t kDatagramOverhead = 28;

std::size_t SizeOf(const core::RouterIdentity& from, const OutgoingMessage& outgoing) {
  wire::Envelope envelope;
  envelope.set_version(1);
  envelope.mutable_sender()->set_address(from.address);
  envelope.mutable_sender()->set_incarnation(from.incarnation);
  envelope.set_receiver_address(outgoing.receiver.address);
  envelope.set_receiver_incarnation(outgoing.receiver.incarnation);
  envelope.set_sequence(1'000'000);
  *envelope.add_messages() = outgoing.message;
  return kDatagramOverhead + envelope.ByteSizeLong();
}

}  // namespace

Network::Network(std::size_t domains, std::size_t routers_per_domain, std::uint64_t seed)
    : random(seed), routers_per_domain(routers_per_domain), next_tick(this->now) {
  this->nodes.resize(domains * routers_per_domain);
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    Node& node = this->nodes[index];
    node.domain = index / routers_per_domain;
    node.identity.address = "10." + std::to_string(100 + node.domain) + ".10." +
                            std::to_string(100 + index % routers_per_domain) + ":7100";
    node.running = false;
    this->index_of[node.identity.address] = index;
  }
}

void Network::Start(std::size_t index, std::vector<std::string> seeds) {
  Node& node = this->nodes[index];
  node.identity.incarnation = this->random() | 1U;
  node.running = true;
  node.paused = false;
  MemberTableOptions options{.self = node.identity,
                             .domain = static_cast<core::DomainId>(node.domain + 1),
                             .seed = this->random()};
  node.table = std::make_unique<MemberTable>(options, this->now);
  node.table->SetSeeds(std::move(seeds));
}

void Network::StartAll() {
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    this->Start(index, this->addresses());
  }
}

void Network::Resume(std::size_t index) {
  Node& node = this->nodes[index];
  node.paused = false;
  // As in the daemon, timers that are due run before the sockets are read.
  this->Send(index, node.table->Tick(this->now));
  for (auto& [from, message] : std::exchange(node.held_while_paused, {})) {
    this->Send(index, node.table->Handle(from, message, this->now));
  }
}

void Network::Send(std::size_t index, Output output) {
  Node& node = this->nodes[index];
  for (auto& event : output.events) {
    node.events.emplace_back(this->now, std::move(event));
  }
  for (auto& outgoing : output.messages) {
    node.sent_bytes += SizeOf(node.identity, outgoing);
    const std::size_t to = this->IndexOf(outgoing.receiver.address);
    const bool lost = std::uniform_real_distribution<>()(this->random) < this->loss;
    if (lost || !this->reachable(node, this->nodes[to])) {
      continue;
    }
    const auto delay = std::chrono::microseconds(500 + this->random() % 1000) +
                       std::chrono::milliseconds(node.domain == this->nodes[to].domain ? 0 : 20);
    this->deliveries.push(
        Delivery{.time = this->now + delay,
                 .order = this->order++,
                 .to = to,
                 .receiver = outgoing.receiver,
                 .from = node.identity,
                 .message = std::make_shared<wire::Message>(std::move(outgoing.message))});
  }
}

void Network::Deliver(const Delivery& delivery) {
  Node& node = this->nodes[delivery.to];
  const bool probe = delivery.message->has_ping() || delivery.message->has_ack();
  const bool addressed = delivery.receiver.incarnation == node.identity.incarnation ||
                         (delivery.receiver.incarnation == 0 && probe);
  if (!node.running || !addressed) {
    return;
  }
  if (node.paused) {
    node.held_while_paused.emplace_back(delivery.from, *delivery.message);
    return;
  }
  this->Send(delivery.to, node.table->Handle(delivery.from, *delivery.message, this->now));
}

void Network::Run(core::Duration duration) {
  this->RunUntil([] { return false; }, duration);
}

core::Duration Network::RunUntil(const std::function<bool()>& condition, core::Duration limit) {
  const core::TimePoint start = this->now;
  while (this->now - start < limit) {
    if (!this->deliveries.empty() && this->deliveries.top().time <= this->next_tick) {
      const Delivery delivery = this->deliveries.top();
      this->deliveries.pop();
      this->now = std::max(this->now, delivery.time);
      this->Deliver(delivery);
      continue;
    }
    this->now = this->next_tick;
    this->next_tick += kTick;
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
      if (this->nodes[index].running && !this->nodes[index].paused) {
        this->Send(index, this->nodes[index].table->Tick(this->now));
      }
    }
    if (condition()) {
      break;
    }
  }
  return this->now - start;
}

std::vector<std::string> Network::addresses() const {
  std::vector<std::string> addresses;
  for (const auto& node : this->nodes) {
    addresses.push_back(node.identity.address);
  }
  return addresses;
}

bool Network::Agrees() const {
  for (const auto& node : this->nodes) {
    if (!node.running || node.paused) {
      continue;
    }
    for (const auto& other : this->nodes) {
      const bool expected = other.running && !other.paused && this->reachable(node, other);
      if (&other != &node && node.table->IsLive(other.identity) != expected) {
        return false;
      }
    }
  }
  return true;
}

std::size_t Network::CountEvents(EventKind kind) const {
  std::size_t count = 0;
  for (const auto& node : this->nodes) {
    count += static_cast<std::size_t>(
        std::count_if(node.events.begin(), node.events.end(),
                      [kind](const auto& event) { return event.second.kind == kind; }));
  }
  return count;
}

void Network::ClearEvents() {
  for (auto& node : this->nodes) {
    node.events.clear();
  }
}

std::size_t Network::IndexOf(const std::string& address) const {
  return this->index_of.at(address);
}

}  // namespace pomelospar::membership
