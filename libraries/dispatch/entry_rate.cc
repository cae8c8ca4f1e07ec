#include "libraries/dispatch/entry_rate.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pomelospar::dispatch {
namespace {

// A request takes about five turns until it is sent to a runner. With turns of this length that is
// half of a usual objective of 500 ms.
constexpr core::Duration kLongTurn = std::chrono::milliseconds(50);
// Half of a usual objective. Accepted work catches up after a shorter overload.
constexpr core::Duration kToleratedOverload = std::chrono::milliseconds(250);
// A flood makes turns long and short alternately. It lasts until they were short for this long.
constexpr core::Duration kOverloadEnd = std::chrono::seconds(1);
constexpr double kSmoothingFactor = 0.2;
// Part of the accepted rate with which a limit begins.
constexpr double kFirstLimitPart = 0.5;
// Change of the rate at each call.
constexpr double kDecrease = 0.9;
constexpr double kIncrease = 1.05;
// Connections per second below which the rate does not fall, so that a router that is late for
// another reason still serves some callers.
constexpr double kMinRate = 20.0;
// Unused admissions of this time may be used later, and always one.
constexpr double kBurstSeconds = 0.1;
// A limit that was not reached for this time is lifted.
constexpr core::Duration kLiftAfter = std::chrono::seconds(1);

}  // namespace

void EntryRate::OnTurn(core::TimePoint now, core::Duration turn) {
  const bool is_long = turn > kLongTurn;
  if (is_long) {
    if (!this->long_since) this->long_since = now;
    this->last_long = now;
  } else if (this->long_since && now - this->last_long >= kOverloadEnd) {
    this->long_since.reset();
  }
  const auto last = std::exchange(this->last_turn, now);
  if (!last || now <= *last) return;
  const double seconds = std::chrono::duration<double>(now - *last).count();
  const double current = std::exchange(this->accepted, 0.0) / seconds;
  this->accepted_per_second += kSmoothingFactor * (current - this->accepted_per_second);
  if (!this->rate) {
    if (!is_long || now - *this->long_since < kToleratedOverload) return;
    this->rate = std::max(this->accepted_per_second * kFirstLimitPart, kMinRate);
    this->budget = 0.0;
    this->last_needed = now;
    return;
  }
  if (is_long || this->budget < 1.0) this->last_needed = now;
  if (now - this->last_needed >= kLiftAfter) {
    this->rate.reset();
    return;
  }
  this->rate = std::max(*this->rate * (is_long ? kDecrease : kIncrease), kMinRate);
  this->budget =
      std::min(this->budget + *this->rate * seconds, std::max(*this->rate * kBurstSeconds, 1.0));
}

void EntryRate::OnAccepted() {
  this->accepted += 1.0;
  if (this->rate) this->budget -= 1.0;
}

}  // namespace pomelospar::dispatch
