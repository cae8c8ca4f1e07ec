// The parts of ServerConnection that count the memory of requests and choose which connections give
// way when a limit is reached.

#include <cstddef>
#include <cstdint>
#include <optional>

#include "libraries/http/server_connection.h"

namespace pomelospar::http {
namespace {

/// Buffers of up to this many bytes, twice those of an idle connection, do not count as memory of a
/// request; the limit of connections bounds them.
constexpr std::size_t kUncountedBufferBytes = 28U << 10U;

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
    largest->EvictRequest();
  }
  return true;
}

void ServerConnection::EvictRequest() {
  this->evicted = true;
  this->HoldBytes(0);
  this->input_event.cancel();
}

std::optional<IdleRank> ServerConnection::idle_rank() const {
  if (this->serving || this->writing || !this->stream->is_open()) return std::nullopt;
  return IdleRank{this->served_a_request, this->last_request_at};
}

std::uint64_t ServerConnection::unfinished_bytes() const {
  return this->reading_request && !this->evicted ? this->held_bytes : 0;
}

bool CloseIdlest(ServerState& server) {
  ServerConnection* idlest = nullptr;
  std::optional<IdleRank> lowest;
  for (auto* connection : server.connections) {
    const auto rank = connection->idle_rank();
    if (!rank || (lowest && !(*rank < *lowest))) continue;
    lowest = rank;
    idlest = connection;
  }
  if (idlest == nullptr) return false;
  ++server.replaced_connections;
  idlest->Close();
  return true;
}

}  // namespace pomelospar::http
