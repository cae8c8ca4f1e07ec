// The parts of ServerConnection that count the memory of requests and choose which connections give
// way when a limit is reached.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "libraries/http/server_connection.h"

namespace pomelospar::http {
namespace {

/// Buffers of up to this many bytes, twice those of an idle connection, do not count as memory of a
/// request; the limit of connections bounds them.
constexpr std::size_t kUncountedBufferBytes = 28U << 10U;
constexpr std::size_t kMaxConcurrentRefusals = 100;
/// Connections that are asked to make room for one new connection.
constexpr std::size_t kMaxCandidates = 8;

std::size_t MaxRefusals(const ServerState& server) {
  return std::min(kMaxConcurrentRefusals, server.limits.maximum_connections / 4 + 1);
}

}  // namespace

bool ServerConnection::HoldBytes(std::uint64_t bytes) {
  this->server->held_bytes += bytes - this->held_bytes;
  this->held_bytes = bytes;
  const auto total = this->server->limits.total_request_bytes;
  return this->server->held_bytes <= (bytes > kSmallRequestBytes ? total - total / 4 : total);
}

bool ServerConnection::HoldRequest(std::uint64_t body_bytes) {
  const auto buffers = this->input.capacity() + this->read_block.capacity();
  const auto bytes = body_bytes + (buffers > kUncountedBufferBytes ? buffers : 0);
  while (!this->HoldBytes(bytes)) {
    ServerConnection* largest = this;
    for (auto* connection : this->server->connections) {
      if (connection->unfinished_bytes() > largest->held_bytes) largest = connection;
    }
    ++this->server->refused_for_memory;
    if (largest == this) return false;
    largest->EvictRequest(MemoryRefusal());
  }
  return true;
}

ServerConnection::Refusal ServerConnection::MemoryRefusal() {
  return {503, "too many request bodies are in progress; retry later"};
}

void ServerConnection::EvictRequest(Refusal refusal) {
  this->eviction = std::move(refusal);
  this->HoldBytes(0);
  this->input_event.cancel();
}

std::optional<ReplacementRank> ServerConnection::replacement_rank(core::TimePoint now) const {
  if (this->writing || !this->stream->is_open()) return std::nullopt;
  // The refusal of an evicted request is about to be sent.
  if (this->is_in(ConnectionStage::kReading) && this->eviction) return std::nullopt;
  // A request has arrived and is about to be read.
  if (this->is_in(ConnectionStage::kWaiting) && !this->input.empty()) return std::nullopt;
  return RankForReplacement(now, this->server->limits.replacement_grace, this->activity);
}

bool ServerConnection::GiveWay() {
  if (this->stream->HasInput()) return false;
  if (this->is_in(ConnectionStage::kReading)) {
    if (this->server->refusing >= MaxRefusals(*this->server)) return false;
    this->BeginRefusal();
    this->EvictRequest(ConnectionLimitRefusal());
    return true;
  }
  if (!this->is_in(ConnectionStage::kDraining)) ++this->server->replaced_connections;
  // The coroutine ends only in a later turn of the event loop.
  this->server->connections.erase(this);
  this->EndRefusal();
  this->Close();
  return true;
}

ServerConnection::Refusal ServerConnection::ConnectionLimitRefusal() {
  return {503, "too many connections; retry later"};
}

void ServerConnection::BeginRefusal() {
  if (std::exchange(this->refused, true)) return;
  ++this->server->refusing;
  ++this->server->refused_for_limit;
}

std::uint64_t ServerConnection::unfinished_bytes() const {
  return this->is_in(ConnectionStage::kReading) && !this->eviction ? this->held_bytes : 0;
}

void ServerConnection::EndRefusal() {
  if (std::exchange(this->refused, false)) --this->server->refusing;
}

bool MakeRoomForRefusal(ServerState& server) {
  if (server.refusing < MaxRefusals(server)) return true;
  const auto now = std::chrono::steady_clock::now();
  const auto drained = std::find_if(
      server.connections.begin(), server.connections.end(), [now](const auto* connection) {
        const auto rank = connection->replacement_rank(now);
        return rank && rank->kind == ReplacementRank::Kind::kDrained && connection->is_refused();
      });
  return drained != server.connections.end() && (*drained)->GiveWay();
}

bool MakeRoom(ServerState& server) {
  const auto now = std::chrono::steady_clock::now();
  std::vector<const ServerConnection*> kept;
  while (kept.size() < kMaxCandidates) {
    ServerConnection* candidate = nullptr;
    std::optional<ReplacementRank> lowest;
    for (auto* connection : server.connections) {
      // Refused ones do not count as open, so closing them leaves no place.
      if (connection->is_refused()) continue;
      const auto rank = connection->replacement_rank(now);
      if (!rank || (lowest && !(*rank < *lowest))) continue;
      if (std::find(kept.begin(), kept.end(), connection) != kept.end()) continue;
      lowest = rank;
      candidate = connection;
    }
    if (candidate == nullptr) return false;
    if (candidate->GiveWay()) return true;
    kept.push_back(candidate);
  }
  return false;
}

}  // namespace pomelospar::http
