#ifndef POMELOSPAR_LIBRARIES_HTTP_CONNECTION_REPLACEMENT_H_
#define POMELOSPAR_LIBRARIES_HTTP_CONNECTION_REPLACEMENT_H_

#include <chrono>
#include <optional>
#include <tuple>

#include "libraries/core/clock.h"

namespace pomelospar::http {

/// A refused caller that sends nothing for this time has received the response.
inline constexpr core::Duration kRefusalGrace = std::chrono::milliseconds(100);

enum class ConnectionStage {
  /// The handshake or a refusal is in progress.
  kBusy,
  /// Nothing of a request has been read.
  kWaiting,
  /// A part of a request has been read.
  kReading,
  /// A request is served.
  kServing,
  /// The last response has been sent; further input is discarded.
  kDraining,
};

struct ConnectionActivity {
  ConnectionStage stage = ConnectionStage::kBusy;
  bool served_a_request = false;
  /// When the stage began.
  core::TimePoint since{};
  core::TimePoint last_input{};
};

/// Order in which connections give way to new ones when the limit is reached; the lowest rank goes
/// first.
struct ReplacementRank {
  enum class Kind {
    /// Refused, and the caller only has to close.
    kDrained,
    /// Has never sent anything: a crowd that connects and stays silent.
    kSilent,
    /// Sent a part of a request and then stopped.
    kStalled,
    /// Waits for a further request.
    kIdle,
    /// Still sends, but the request takes long.
    kSlow,
  };
  Kind kind = Kind::kIdle;
  core::TimePoint since{};

  bool operator<(const ReplacementRank& other) const {
    return std::tie(this->kind, this->since) < std::tie(other.kind, other.since);
  }
};

/// Returns nothing for a connection that must not be replaced now: one that is busy or serves a
/// request, or that was accepted, or whose request began, less than `grace` ago.
std::optional<ReplacementRank> RankForReplacement(core::TimePoint now, core::Duration grace,
                                                  const ConnectionActivity& activity);

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_CONNECTION_REPLACEMENT_H_
