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
  std::vector<std::pair<core::TimePoint, MemberEvent>> events;
  std::vector<std::pair<core::RouterIdentity, wire::Message>> held_while_paused;
};

/// Routers on a manual clock, joined by a network with delay, loss and cut links. Delivers as the
/// daemon does: a message for another incarnation is dropped, one for incarnation zero must be a
/// Ping or an Ack.
class Network {
 public:
  Network(std::size_t domains, std::size_t routers_per_domain, std::uint64_t seed);

  /// Starts the router (again) with a new incarnation.
  void Start(std::size_t index, std::vector<std::string> seeds);
  void StartAll();
  void Stop(std::size_t index) { this->nodes[index].running = false; }
  void Pause(std::size_t index) { this->nodes[index].paused = true; }
  void Resume(std::size_t index);
  void Send(std::size_t index, Output output);
  void Run(core::Duration duration);
  /// Runs until the condition holds, at most for the duration; the time that it took.
  core::Duration RunUntil(const std::function<bool()>& condition, core::Duration limit);

  std::vector<std::string> addresses() const;
  /// True if every running router holds exactly the running routers that `reachable` allows.
  bool Agrees() const;
  std::size_t CountEvents(EventKind kind) const;
  void ForgetEvents();

  std::vector<Node> nodes;
  double loss = 0;
  /// True if a message may pass from the first to the second router.
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
