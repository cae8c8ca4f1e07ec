#include "services/pomelospar_edge/peer_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iterator>
#include <utility>

#include "libraries/core/identifiers.h"
#include "libraries/dispatch/report_relay.h"
#include "libraries/http/byte_stream.h"
#include "services/pomelospar_edge/peer_message.h"

namespace pomelospar::edge {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using core::LogLevel;
using std::chrono::milliseconds;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// A fleet with more other routers than this is large: reports are sent less often, and still less
// often to other failure domains. A router of a fleet of 80 then receives about 210 reports a
// second.
constexpr std::size_t kMaxSmallFleetPeers = 16;
constexpr core::Duration kSmallFleetPeriod = milliseconds(80);
// In a small fleet, this many unreported tokens cause an early report. Otherwise several routers
// would choose the same idle engine within one period. The users' engines read these tokens in
// about 10 ms.
constexpr double kImmediateReportTokens = 1500.0;
constexpr core::Duration kShortestPeriod = milliseconds(15);
constexpr core::Duration kLargeFleetPeriod = milliseconds(250);
// In a large fleet, every second report is also sent to other failure domains.
constexpr std::uint64_t kReportsPerRemoteReport = 2;
// Number of queued datagrams read in one iteration of the event loop. Under load an iteration takes
// up to a few hundred milliseconds, in which about 200 datagrams arrive in a large fleet.
constexpr std::size_t kMaxDatagramsPerTurn = 256;
// A router without a report for this time is taken as disconnected or stopped.
constexpr core::Duration kReportLifetime = milliseconds(2200);

metrics::Counter FindDatagramCounter(RouterState& state, std::string_view kind) {
  return state.metrics.FindCounter("pomelospar_report_datagrams_total", "Reports between routers.",
                                   {{"kind", kind}});
}

}  // namespace

PeerExchange::PeerExchange(RouterState& router_state, udp::socket bound)
    : state(router_state),
      socket(std::move(bound)),
      timer(router_state.io),
      sent_in_domain(FindDatagramCounter(router_state, "sent_in_domain")),
      sent_across(FindDatagramCounter(router_state, "sent_across")),
      sent_partial(FindDatagramCounter(router_state, "sent_partial")),
      received(FindDatagramCounter(router_state, "received")) {}

core::Result<std::unique_ptr<PeerExchange>> PeerExchange::Create(RouterState& state) {
  BOOST_OUTCOME_TRY(const auto address,
                    http::ParseEndpoint(fmt::format("{}:{}", state.settings.ip,
                                                    state.settings.first_internal_port)));
  const udp::endpoint endpoint(address.address(), address.port());
  boost::system::error_code error;
  udp::socket socket(state.io);
  socket.open(endpoint.protocol(), error);
  if (!error) socket.bind(endpoint, error);
  if (!error) socket.non_blocking(true, error);
  if (error) {
    return core::MakeError(core::ErrorKind::kUnavailable,
                           fmt::format("cannot bind UDP {}:{}: {}", state.settings.ip,
                                       state.settings.first_internal_port, error.message()));
  }
  return std::unique_ptr<PeerExchange>(new PeerExchange(state, std::move(socket)));
}

std::string PeerExchange::address() const {
  const auto endpoint = this->socket.local_endpoint();
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

void PeerExchange::Start() {
  this->state.on_unreported_tokens = [this] { this->OnUnreportedTokens(); };
  asio::co_spawn(this->state.io, this->ReceiveLoop(), asio::detached);
  asio::co_spawn(this->state.io, this->SendLoop(), asio::detached);
}

void PeerExchange::OnUnreportedTokens() {
  const double tokens = this->state.unreported_tokens;
  if (!this->IsLargeFleet()) {
    if (tokens >= kImmediateReportTokens) this->ReportSoon();
    return;
  }
  if (!dispatch::MustReportSurge(this->state.share_level, tokens)) return;
  this->remote_report_due = true;
  this->ReportSoon();
}

void PeerExchange::ReportSoon() {
  if (this->report_due) return;
  this->report_due = true;
  const auto soonest = this->last_report + kShortestPeriod;
  this->timer.expires_at(std::max(soonest, this->state.clock.now()));
}

std::size_t PeerExchange::Rank() const {
  const auto& settings = this->state.settings;
  return this->state.peers.RankOf(settings.ip, this->IsLargeFleet() ? settings.domain : "");
}

std::size_t PeerExchange::ListedInDomain() const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 this->addresses.begin(), this->addresses.end(), [this](const auto& entry) {
                   return entry.second.listed && entry.second.domain == this->state.settings.domain;
                 }));
}

std::size_t PeerExchange::LiveInDomain() const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 this->addresses.begin(), this->addresses.end(), [this](const auto& entry) {
                   return entry.second.listed &&
                          entry.second.domain == this->state.settings.domain &&
                          this->state.peers.HasReportFrom(entry.first);
                 }));
}

void PeerExchange::SetPeer(const std::string& name, std::string_view address,
                           std::string_view domain, std::uint64_t row_version) {
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint) {
    this->state.log.Write(LogLevel::kWarning, "peer_row_malformed", {{"peer", name}});
    return;
  }
  auto& peer = this->addresses[name];
  const bool is_new = !peer.listed || peer.row_version != row_version;
  peer.endpoint = udp::endpoint(endpoint.value().address(), endpoint.value().port());
  peer.domain = domain;
  peer.listed = true;
  peer.row_version = row_version;
  if (is_new) peer.heard_at = this->state.clock.now();
}

void PeerExchange::RemovePeer(const std::string& name) { this->addresses.erase(name); }

void PeerExchange::RemovePeersExcept(const std::set<std::string, std::less<>>& names) {
  std::erase_if(this->addresses, [&](const auto& entry) {
    return entry.second.listed && !names.contains(entry.first);
  });
}

std::vector<ListedPeer> PeerExchange::SilentListedPeers(core::Duration limit) const {
  std::vector<ListedPeer> silent;
  const auto now = this->state.clock.now();
  for (const auto& [name, peer] : this->addresses) {
    if (this->IsLargeFleet() && peer.domain != this->state.settings.domain) continue;
    if (peer.listed && now - peer.heard_at >= limit) silent.push_back({name, peer.row_version});
  }
  return silent;
}

void PeerExchange::PostponeSilence(const std::string& name) {
  const auto found = this->addresses.find(name);
  if (found != this->addresses.end()) found->second.heard_at = this->state.clock.now();
}

void PeerExchange::SetKey(const std::string& secret) {
  if (secret == this->key_secret) return;
  auto created = wire::FleetKey::Create(secret);
  if (!created) {
    this->state.log.Write(LogLevel::kError, "peer_key_rejected",
                          {{"error", created.error().message}});
    return;
  }
  this->key_secret = secret;
  this->previous_key = std::exchange(this->key, std::move(created.value()));
}

bool PeerExchange::IsLargeFleet() const { return this->addresses.size() > kMaxSmallFleetPeers; }

asio::awaitable<void> PeerExchange::ReceiveLoop() {
  while (this->socket.is_open()) {
    const auto [error] = co_await this->socket.async_wait(udp::socket::wait_read, kTuple);
    if (!error) this->ReceiveQueued();
  }
}

void PeerExchange::ReceiveQueued() {
  udp::endpoint sender;
  boost::system::error_code error;
  for (std::size_t count = 0; count < kMaxDatagramsPerTurn; ++count) {
    const auto size = this->socket.receive_from(asio::buffer(this->buffer), sender, 0, error);
    if (error) return;
    this->Receive(std::string_view(this->buffer.data(), size), sender);
  }
}

void PeerExchange::Receive(std::string_view datagram, const udp::endpoint& sender) {
  if (!this->key) return;
  auto report = DecodeSignedReport(datagram, *this->key);
  if (!report && this->previous_key) report = DecodeSignedReport(datagram, *this->previous_key);
  if (!report) {
    this->state.log.Write(LogLevel::kWarning, "peer_report_rejected",
                          {{"error", report.error().message}});
    return;
  }
  if (report.value().sender == this->state.settings.ip) return;
  this->received.Add();
  this->PostponeSilence(report.value().sender);
  if (report.value().is_partial) {
    if (this->on_partial_report) this->on_partial_report(std::move(report.value()));
    return;
  }
  const bool relayed = sender.address().to_string() != report.value().sender;
  if (!relayed) {
    // The sender's row in the store may not have been read yet.
    this->addresses.try_emplace(report.value().sender,
                                PeerAddress{.endpoint = sender, .domain = report.value().domain});
    if (this->IsLargeFleet() && report.value().domain != this->state.settings.domain) {
      this->SendToOwnDomain(datagram);
    }
  }
  this->RecordReportedPrefixes(report.value());
  this->state.suspects.Apply(this->state.clock.now(), report.value().suspects);
  this->ApplyLeavingRunners(report.value());
  this->ApplyColdRunners(report.value());
  if (this->on_report) this->on_report(report.value());
  this->state.peers.Apply(std::move(report.value()), this->state.clock.now());
}

void PeerExchange::ApplyLeavingRunners(const dispatch::PeerReport& report) {
  for (const auto& run : report.leaving_runners) {
    const auto found = this->state.runners_by_key.find(run.runner);
    if (found == this->state.runners_by_key.end()) continue;
    if (found->second->record.started_unix_ms != run.started_unix_ms) continue;
    MarkLeaving(this->state, *found->second, report.sender);
  }
}

void PeerExchange::ApplyColdRunners(const dispatch::PeerReport& report) {
  for (const auto& cold : report.cold_runners) {
    const auto found = this->state.runners_by_key.find(cold.run.runner);
    if (found == this->state.runners_by_key.end()) continue;
    if (found->second->record.started_unix_ms != cold.run.started_unix_ms) continue;
    TellCold(this->state, *found->second, cold.left, report.sender);
  }
}

void PeerExchange::RecordReportedPrefixes(const dispatch::PeerReport& report) {
  if (!this->state.policy) return;
  const auto now = this->state.clock.now();
  for (const auto& prefix : report.sent_prefixes) {
    const auto found = this->state.runners_by_key.find(prefix.runner);
    if (found == this->state.runners_by_key.end()) continue;
    auto& runner = *found->second;
    const auto upstream = this->state.policy->upstreams.find(runner.record.upstream);
    if (upstream == this->state.policy->upstreams.end() || !upstream->second.engine) continue;
    RecordPrefix(runner, *upstream->second.engine, FleetLoad(this->state, runner, now),
                 prefix.parts);
  }
}

asio::awaitable<void> PeerExchange::SendLoop() {
  while (this->socket.is_open()) {
    this->report_due = false;
    this->timer.expires_after(this->IsLargeFleet() ? kLargeFleetPeriod : kSmallFleetPeriod);
    const auto [moved] = co_await this->timer.async_wait(kTuple);
    // Setting an earlier time cancels the wait, so wait again until that time.
    if (moved && this->report_due) {
      co_await this->timer.async_wait(kTuple);
    }
    if (!this->socket.is_open()) break;
    this->last_report = this->state.clock.now();
    this->state.unreported_tokens = 0.0;
    this->state.is_large_fleet = this->IsLargeFleet();
    const auto now = this->state.clock.now();
    const auto expired = this->state.peers.Expire(now, kReportLifetime);
    if (expired > 0) {
      this->state.log.Write(LogLevel::kInfo, "peers_silent", {{"count", std::uint64_t{expired}}});
      std::erase_if(this->addresses, [this](const auto& entry) {
        return !entry.second.listed && !this->state.peers.HasReportFrom(entry.first);
      });
    }
    this->SendReports();
    TryWaiting(this->state);
  }
}

void PeerExchange::SetHeader(dispatch::PeerReport& report) {
  report.sender = this->state.settings.ip;
  report.domain = this->state.settings.domain;
  report.incarnation = this->state.incarnation;
  report.sequence = ++this->sequence;
}

bool PeerExchange::SendPartial(const std::string& peer, dispatch::PeerReport report) {
  const auto found = this->addresses.find(peer);
  if (!this->key || found == this->addresses.end()) return false;
  this->SetHeader(report);
  report.is_partial = true;
  this->SendTo(peer, found->second, EncodeSignedReport(report, *this->key));
  this->sent_partial.Add();
  return true;
}

dispatch::PeerReport PeerExchange::MakeReport() {
  const auto now = this->state.clock.now();
  dispatch::PeerReport report;
  this->SetHeader(report);
  for (const auto& [id, runner] : this->state.runners) {
    if (runner->own.active > 0.0) report.runners.emplace(runner->key, runner->own);
    if (runner->notices.leaving) {
      report.leaving_runners.push_back({runner->key, runner->record.started_unix_ms});
    }
    const auto cold = dispatch::ObservedColdTime(runner->cold, now);
    if (cold > core::Duration::zero()) {
      report.cold_runners.push_back({{runner->key, runner->record.started_unix_ms}, cold});
    }
  }
  for (const auto& [name, window] : this->state.workspaces) {
    const dispatch::WorkspaceUsage usage = UsageAt(window, now);
    if (usage.asked > 0.0) report.workspaces.emplace(core::HashName(name), usage);
  }
  report.sent_prefixes = std::exchange(this->state.recent_prefixes, {});
  report.suspects = this->state.suspects.TakeNews(now);
  if (this->fill_report) this->fill_report(report);
  return report;
}

void PeerExchange::SendReports() {
  if (!this->key || this->addresses.empty()) {
    this->state.recent_prefixes.clear();
    return;
  }
  auto report = this->MakeReport();
  auto datagram = EncodeSignedReport(report, *this->key);
  this->SendToOwnDomain(datagram);
  if (!this->IsLargeFleet()) {
    this->SendToOtherDomains(datagram);
    return;
  }
  std::move(report.sent_prefixes.begin(), report.sent_prefixes.end(),
            std::back_inserter(this->unsent_remote_prefixes));
  std::move(report.suspects.suspicions.begin(), report.suspects.suspicions.end(),
            std::back_inserter(this->unsent_remote_suspicions));
  const bool is_due = std::exchange(this->remote_report_due, false);
  if (++this->whole_reports % kReportsPerRemoteReport != 0 && !is_due) return;
  report.sent_prefixes = std::exchange(this->unsent_remote_prefixes, {});
  report.suspects.suspicions = std::exchange(this->unsent_remote_suspicions, {});
  datagram = EncodeSignedReport(report, *this->key);
  this->SendToRelays(datagram);
}

void PeerExchange::SendTo(const std::string& name, const PeerAddress& peer,
                          std::string_view datagram) {
  boost::system::error_code error;
  this->socket.send_to(asio::buffer(datagram), peer.endpoint, 0, error);
  // A lost report is not sent again; the next one replaces it.
  if (error) {
    this->state.log.Write(LogLevel::kWarning, "peer_report_unsent",
                          {{"peer", name}, {"error", error.message()}});
  }
}

void PeerExchange::SendToOwnDomain(std::string_view datagram) {
  for (const auto& [name, peer] : this->addresses) {
    if (peer.domain != this->state.settings.domain) continue;
    this->SendTo(name, peer, datagram);
    this->sent_in_domain.Add();
  }
}

void PeerExchange::SendToOtherDomains(std::string_view datagram) {
  for (const auto& [name, peer] : this->addresses) {
    if (peer.domain == this->state.settings.domain) continue;
    this->SendTo(name, peer, datagram);
    this->sent_across.Add();
  }
}

void PeerExchange::SendToRelays(std::string_view datagram) {
  std::vector<dispatch::RelayCandidate> candidates;
  std::vector<decltype(this->addresses)::const_iterator> entries;
  for (auto entry = this->addresses.cbegin(); entry != this->addresses.cend(); ++entry) {
    if (entry->second.domain == this->state.settings.domain) continue;
    candidates.push_back({entry->second.domain, this->state.peers.HasReportFrom(entry->first)});
    entries.push_back(entry);
  }
  const auto turn =
      core::HashName(this->state.settings.ip) + this->whole_reports / kReportsPerRemoteReport;
  for (const auto chosen : dispatch::ChooseRelays(candidates, turn)) {
    this->SendTo(entries[chosen]->first, entries[chosen]->second, datagram);
    this->sent_across.Add();
  }
}

}  // namespace pomelospar::edge
