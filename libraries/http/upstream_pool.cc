#include "libraries/http/upstream_pool.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <utility>

namespace pomelospar::http {
namespace {

/// Interval at which idle connections that timed out, or that the upstream closed or sent data on,
/// are closed. An upstream in trouble may send on an idle connection without end until it is
/// closed.
constexpr auto kSweepPeriod = std::chrono::milliseconds(250);

struct IdleConnection {
  std::unique_ptr<UpstreamConnection> connection;
  core::TimePoint expiry;
};

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

struct UpstreamPool::State : std::enable_shared_from_this<UpstreamPool::State> {
  State(boost::asio::io_context& io, UpstreamPoolOptions pool_options)
      : options(pool_options), sweep_timer(io) {}

  void ScheduleSweep() {
    if (this->sweep_scheduled || this->idle.empty()) return;
    this->sweep_scheduled = true;
    this->sweep_timer.expires_after(kSweepPeriod);
    this->sweep_timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
      const auto self = weak.lock();
      if (!self || error) return;
      self->sweep_scheduled = false;
      self->Sweep();
      self->ScheduleSweep();
    });
  }

  void Sweep() {
    const auto now = Now();
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
      this->idle_total -= std::erase_if(entry->second, [&](const IdleConnection& kept) {
        return kept.expiry <= now || !kept.connection->IsIdleAndClean();
      });
      entry = entry->second.empty() ? this->idle.erase(entry) : std::next(entry);
    }
  }

  /// Returns the usable connection that was released last, because it is the least likely to have
  /// been closed by the upstream.
  std::unique_ptr<UpstreamConnection> TakeIdle(const std::string& address,
                                               std::span<const std::uint64_t> excluded) {
    const auto entry = this->idle.find(address);
    if (entry == this->idle.end()) return nullptr;
    auto& connections = entry->second;
    std::unique_ptr<UpstreamConnection> taken;
    for (auto position = connections.end(); position != connections.begin() && !taken;) {
      --position;
      const auto id = position->connection->id();
      if (std::find(excluded.begin(), excluded.end(), id) != excluded.end()) continue;
      auto candidate = std::move(*position);
      position = connections.erase(position);
      --this->idle_total;
      if (candidate.expiry > Now() && candidate.connection->IsIdleAndClean()) {
        taken = std::move(candidate.connection);
      }
    }
    if (connections.empty()) this->idle.erase(entry);
    return taken;
  }

  UpstreamPoolOptions options;
  std::map<std::string, std::deque<IdleConnection>, std::less<>> idle;
  std::size_t idle_total = 0;
  boost::asio::steady_timer sweep_timer;
  bool sweep_scheduled = false;
};

UpstreamPool::UpstreamPool(boost::asio::io_context& io, UpstreamPoolOptions options)
    : state(std::make_shared<State>(io, options)) {}

UpstreamPool::~UpstreamPool() = default;

boost::asio::awaitable<core::Result<std::unique_ptr<UpstreamConnection>>> UpstreamPool::Acquire(
    std::string address, core::Duration connect_timeout, std::span<const std::uint64_t> excluded) {
  auto idle = this->state->TakeIdle(address, excluded);
  if (idle) co_return std::move(idle);
  co_return co_await UpstreamConnection::Open(std::move(address), connect_timeout);
}

void UpstreamPool::Release(std::unique_ptr<UpstreamConnection> connection) {
  this->Release(std::move(connection), this->state->options.idle_timeout);
}

void UpstreamPool::Release(std::unique_ptr<UpstreamConnection> connection,
                           core::Duration idle_timeout) {
  auto& self = *this->state;
  if (!connection || !connection->IsIdleAndClean()) return;
  if (self.idle_total >= self.options.idle_in_total) return;
  auto& connections = self.idle[connection->address()];
  if (connections.size() >= self.options.idle_per_address) return;
  connections.push_back(
      {std::move(connection), Now() + std::min(idle_timeout, self.options.idle_timeout)});
  ++self.idle_total;
  self.ScheduleSweep();
}

void UpstreamPool::Forget(std::string_view address) {
  const auto entry = this->state->idle.find(address);
  if (entry == this->state->idle.end()) return;
  this->state->idle_total -= entry->second.size();
  this->state->idle.erase(entry);
}

std::size_t UpstreamPool::idle_connections() const { return this->state->idle_total; }

}  // namespace pomelospar::http
