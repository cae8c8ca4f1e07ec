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
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/core/result.h"
#include "libraries/wire/fleet_keys.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// Address of another router.
struct PeerAddress {
  boost::asio::ip::udp::endpoint endpoint;
  std::string domain;
  /// True if the router has a row in the store. Otherwise it is known by its reports only and is
  /// forgotten when they stop.
  bool listed = false;
  /// Version of that row.
  std::uint64_t row_version = 0;
  /// When a report of the router arrived last or its row was read as new.
  core::TimePoint heard_at{};
};

/// A router that has a row in the store.
struct ListedPeer {
  std::string name;
  std::uint64_t row_version = 0;
};

/// Sends reports about this router to the other routers over UDP and receives theirs. The reported
/// load is only a hint for placement and shares and may be late. Proofs of the store's content
/// carry the time for which they hold, so they stay true however late they arrive. A lost report is
/// not sent again; the next one replaces it.
class PeerExchange {
 public:
  /// Binds the UDP socket. Errors: `kInvalidArgument` if the address is malformed, `kUnavailable`
  /// if it cannot be bound.
  static core::Result<std::unique_ptr<PeerExchange>> Create(RouterState& state);

  /// Called with each report before it is sent, to add to it.
  std::function<void(dispatch::PeerReport&)> fill_report;
  /// Called with each report that is authentic and comes from another router.
  std::function<void(const dispatch::PeerReport&)> on_report;

  /// Called with each partial report that is authentic, which is not applied to the peer view.
  std::function<void(dispatch::PeerReport)> on_partial_report;

  /// Starts sending and receiving on the I/O thread.
  void Start();
  /// "ip:port" of this router's socket, for its row in the store.
  std::string address() const;
  /// Adds or replaces a router that has a row in the store, at the given version. A malformed
  /// address is logged and ignored.
  void SetPeer(const std::string& name, std::string_view address, std::string_view domain,
               std::uint64_t row_version);
  void RemovePeer(const std::string& name);
  /// Removes all routers that were listed and are not in `names`.
  void RemovePeersExcept(const std::set<std::string, std::less<>>& names);
  /// Returns the listed routers that were not heard of for `limit`: those of this failure domain if
  /// the fleet is large, whose routers hear little of the others, or else all.
  std::vector<ListedPeer> SilentListedPeers(core::Duration limit) const;
  /// Begins the time of silence of a router anew.
  void PostponeSilence(const std::string& name);
  /// Sends the next report as soon as the shortest period between reports allows.
  void ReportSoon();
  /// Sends a partial report to one router; its sender and sequence number are set here. Returns
  /// false if the router's address or the key is not known.
  bool SendPartial(const std::string& peer, dispatch::PeerReport report);
  /// Number of live routers that come before this one by name. In a large fleet only those of this
  /// failure domain count, as the others report at a lower rate.
  std::size_t Rank() const;
  /// Number of routers of this failure domain that have a row in the store, with this one.
  std::size_t ListedInDomain() const;
  /// Number of these routers that have reported lately, with this one.
  std::size_t LiveInDomain() const;
  bool has_key() const { return this->key.has_value(); }
  /// The secret of the key; empty without a key.
  const std::string& secret() const { return this->key_secret; }
  bool has_peers() const { return !this->addresses.empty(); }
  /// Sets the secret of the key that authenticates reports. The key before it is still accepted
  /// from others. A secret that is not usable is logged and changes nothing.
  void SetKey(const std::string& secret);

 private:
  PeerExchange(RouterState& state, boost::asio::ip::udp::socket socket);
  boost::asio::awaitable<void> ReceiveLoop();
  /// Reads the datagrams that have arrived, up to a limit. Reading one in each iteration of the
  /// event loop would leave replies and news behind a queue of old reports while the process is
  /// busy.
  void ReceiveQueued();
  boost::asio::awaitable<void> SendLoop();
  void SendReports();
  void SendTo(const std::string& name, const PeerAddress& peer, std::string_view datagram);
  void SendToOwnDomain(std::string_view datagram);
  void SendToOtherDomains(std::string_view datagram);
  void SendToRelays(std::string_view datagram);
  void Receive(std::string_view datagram, const boost::asio::ip::udp::endpoint& sender);
  /// Sends a report early if the other routers must know at once what this one has sent to engines.
  void OnUnreportedTokens();
  void ApplyLeavingRunners(const dispatch::PeerReport& report);
  void ApplyColdRunners(const dispatch::PeerReport& report);
  /// Records the reported prompt prefixes at their runners.
  void RecordReportedPrefixes(const dispatch::PeerReport& report);
  dispatch::PeerReport MakeReport();
  /// Sets what identifies the sender and the report.
  void SetHeader(dispatch::PeerReport& report);
  /// True if the fleet has so many routers that reports are sent less often.
  bool IsLargeFleet() const;

  RouterState& state;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer timer;
  /// The other routers by name, which is their IP address.
  std::map<std::string, PeerAddress> addresses;
  std::string key_secret;
  std::optional<wire::FleetKey> key;
  std::optional<wire::FleetKey> previous_key;
  std::uint64_t sequence = 0;
  /// Number of reports to the routers of the own failure domain.
  std::uint64_t whole_reports = 0;
  // Counters of datagrams since the start of the process.
  metrics::Counter sent_in_domain;
  metrics::Counter sent_across;
  metrics::Counter sent_partial;
  metrics::Counter received;
  /// Prefixes and suspicions that were reported in this failure domain and not yet to the others.
  std::vector<dispatch::SentPrefix> unsent_remote_prefixes;
  std::vector<dispatch::Suspicion> unsent_remote_suspicions;
  core::TimePoint last_report{};
  /// True if the next report was moved to an earlier time.
  bool report_due = false;
  /// True if the next report is sent to other failure domains too, whatever its turn.
  bool remote_report_due = false;
  std::array<char, 16384> buffer{};
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PEER_EXCHANGE_H_
