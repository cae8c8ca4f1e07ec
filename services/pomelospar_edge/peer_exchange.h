#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PEER_EXCHANGE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PEER_EXCHANGE_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "libraries/core/result.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// A router of the fleet as its row in the store names it.
struct PeerAddress {
  boost::asio::ip::udp::endpoint endpoint;
  std::string domain;
  /// Named by a row; else known by its reports only, and forgotten with them.
  bool listed = false;
};

/// Tells the other routers what this one does, and takes their reports. What they say of work is a
/// hint for placement and shares; their proofs of the store's content hold however late they
/// arrive. A report that is lost is replaced by the next.
class PeerExchange {
 public:
  /// Errors: `kUnavailable` if the address cannot be bound.
  static core::Result<std::unique_ptr<PeerExchange>> Create(RouterState& state);

  /// Adds to each report before it is sent.
  std::function<void(dispatch::PeerReport&)> fill_report;
  /// Called with each accepted report.
  std::function<void(const dispatch::PeerReport&)> on_report;

  /// Starts to send and to receive.
  void Start();
  /// The address for this router's row.
  std::string address() const;
  /// A malformed address is left out with a log line.
  void SetPeer(const std::string& name, std::string_view address, std::string_view domain);
  void RemovePeer(const std::string& name);
  /// Sends the next report as soon as the shortest period allows.
  void ReportSoon();
  /// How many live routers that report to this one at the full rate come before it by name.
  std::size_t Rank() const;
  bool has_key() const { return !this->key.empty(); }
  bool has_peers() const { return !this->addresses.empty(); }
  /// The key that authenticates messages; the previous one is accepted for a while.
  void SetKey(std::string key);

 private:
  PeerExchange(RouterState& state, boost::asio::ip::udp::socket socket);
  boost::asio::awaitable<void> ReceiveLoop();
  boost::asio::awaitable<void> SendLoop();
  void SendReports();
  void SendTo(const std::string& name, const PeerAddress& peer, std::string_view datagram);
  void SendToOwnDomain(std::string_view datagram);
  void SendToOtherDomains(std::string_view datagram);
  void SendToRelays(std::string_view datagram);
  void Receive(std::string_view datagram, const boost::asio::ip::udp::endpoint& sender);
  void NoteReads(const dispatch::PeerReport& report);
  dispatch::PeerReport MakeReport();
  bool IsLarge() const;

  RouterState& state;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer timer;
  std::map<std::string, PeerAddress> addresses;
  std::string key;
  std::string previous_key;
  std::uint64_t sequence = 0;
  /// Datagrams since the start.
  metrics::Counter sent_in_domain;
  metrics::Counter sent_across;
  metrics::Counter received;
  /// Told in the own failure domain, not yet in the others.
  std::vector<dispatch::PrefixRead> distant_reads;
  std::vector<dispatch::Suspicion> distant_suspicions;
  core::TimePoint last_report{};
  /// The next report was moved to an earlier time.
  bool report_due = false;
  std::array<char, 16384> buffer{};
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PEER_EXCHANGE_H_
