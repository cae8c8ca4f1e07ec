#ifndef POMELOSPAR_TESTS_LIBRARIES_MEMBERSHIP_NETWORK_H_
#define POMELOSPAR_TESTS_LIBRARIES_MEMBERSHIP_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/membership/member_table.h"

namespace pomelospar::membership {

/// One router of the simulated fleet.
struct Node {
  core::RouterIdentity identity;
  std::size_t domain = 0;
  std::unique_ptr<MemberTable> table;
  bool running = true;
  bool paused = false;
  std::uint64_t sent_bytes = 0;
  /// All events since the last `ClearEvents`, with the time of each.
  std::vector<std::pair<core::TimePoint, MemberEvent>> events;
  /// Messages that arrived while the router was paused. It handles them when it resumes.
  std::vector<std::pair<core::RouterIdentity, wire::Message>> held_while_paused;
};

/// Simulates routers on a manual clock and a network between them with delay, loss and cut links.
/// Applies the daemon's rules to received messages: one for another incarnation is dropped, and so
/// is one for incarnation zero unless it is a Ping or an Ack.
class Network {
 public:
  Network(std::size_t domains, std::size_t routers_per_domain, std::uint64_t seed);

  /// Starts or restarts the router with a new incarnation.
  void Start(std::size_t index, std::vector<std::string> seeds);
  void StartAll();
  void Stop(std::size_t index) { this->nodes[index].running = false; }
  void Pause(std::size_t index) { this->nodes[index].paused = true; }
  void Resume(std::size_t index);
  /// Stores the events and sends the messages that a call of the router's table returned.
  void Send(std::size_t index, Output output);
  void Run(core::Duration duration);
  /// Runs until the condition holds or `limit` has passed. Returns the simulated time that it took.
  core::Duration RunUntil(const std::function<bool()>& condition, core::Duration limit);

  std::vector<std::string> addresses() const;
  /// True if the live members of every running router are exactly the running routers that it can
  /// reach. Paused routers do not count as running.
  bool Agrees() const;
  std::size_t CountEvents(EventKind kind) const;
  void ClearEvents();

  std::vector<Node> nodes;
  /// Probability that a message is lost.
  double loss = 0;
  /// Returns true if messages can pass from the first to the second router.
  std::function<bool(const Node&, const Node&)> reachable = [](const Node&, const Node&) {
    return true;
  };
  core::TimePoint now{std::chrono::hours(1)};

 private:
  struct Delivery {
    core::TimePoint time;
    std::uint64_t order;
    std::size_t to;
    core::RouterIdentity receiver;
    core::RouterIdentity from;
    std::shared_ptr<wire::Message> message;
    bool operator>(const Delivery& other) const {
      return this->time != other.time ? this->time > other.time : this->order > other.order;
    }
  };
  void Deliver(const Delivery& delivery);
  std::size_t IndexOf(const std::string& address) const;

  std::mt19937_64 random;
  std::uint64_t order = 0;
  std::size_t routers_per_domain;
  std::unordered_map<std::string, std::size_t> index_of;
  core::TimePoint next_tick;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> deliveries;
};

}  // namespace pomelospar::membership

#endif  // POMELOSPAR_TESTS_LIBRARIES_MEMBERSHIP_NETWORK_H_
