#include "tests/libraries/claims/claim_simulation.h"

#include <fmt/format.h>

#include <utility>

namespace pomelospar::claims {
namespace {

constexpr std::int64_t kTickMilliseconds = 5;
constexpr std::int64_t kCallsEndMilliseconds = 20'000;
constexpr std::int64_t kHealthyEndMilliseconds = 80'000;
constexpr std::int64_t kEndMilliseconds = 90'000;

}  // namespace

ClaimSimulation::ClaimSimulation(const SimulationSettings& settings)
    : settings(settings), random(settings.seed) {
  for (unsigned index = 0; index < settings.routers; ++index) {
    ClaimSettings claim_settings;
    claim_settings.incarnation = index + 1;
    claim_settings.begin_timeout = std::chrono::milliseconds(300);
    this->routers.push_back(
        Router{std::make_unique<ClaimStore>(claim_settings, this->PlatformFor(index))});
  }
}

core::TimePoint ClaimSimulation::Now() const {
  return core::TimePoint(std::chrono::milliseconds(this->time));
}

std::int64_t ClaimSimulation::Draw(std::int64_t low, std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
}

bool ClaimSimulation::Chance(unsigned percent) { return this->Draw(0, 99) < percent; }

void ClaimSimulation::At(std::int64_t delay, std::function<void()> action) {
  this->events.emplace(this->time + delay, std::move(action));
}

void ClaimSimulation::AtRouter(unsigned router, std::int64_t delay, std::function<void()> action) {
  this->At(delay, [this, router, action = std::move(action)] {
    auto& state = this->routers[router];
    if (!this->healthy && this->Chance(this->settings.pause_percent)) {
      state.paused_until = this->time + this->Draw(1, 2000);
    }
    if (this->time < state.paused_until) {
      this->At(state.paused_until - this->time, action);
      return;
    }
    action();
  });
}

platform::PlatformClient ClaimSimulation::PlatformFor(unsigned router) {
  platform::PlatformClient client;
  client.commit = [this, router](auto transactions, auto callback) {
    this->Commit(router, transactions, callback);
  };
  return client;
}

platform::TransactionResult ClaimSimulation::Apply(const platform::Transaction& transaction) {
  const auto& write = transaction.writes.front();
  auto& row = this->rows[write.key];
  row.key = write.key;
  platform::TransactionResult result;
  result.committed = !write.expected_version || *write.expected_version == row.version;
  if (result.committed) {
    row.value = write.value;
    row.version += 1;
  }
  result.rows = {row};
  return result;
}

void ClaimSimulation::Commit(
    unsigned router, const std::vector<platform::Transaction>& transactions,
    const platform::Callback<std::vector<platform::TransactionResult>>& callback) {
  const bool fails = !this->healthy && this->Chance(this->settings.fault_percent);
  if (fails && this->Chance(25)) {
    this->AtRouter(router, this->Draw(0, 20), [callback] {
      callback(core::MakeError(core::ErrorKind::kUnavailable, "not sent"));
    });
    return;
  }
  if (fails) {
    // Each transaction takes effect before or after the loss is reported, or never.
    for (const auto& transaction : transactions) {
      if (this->Chance(70)) {
        this->At(this->Draw(0, 600), [this, transaction] { this->Apply(transaction); });
      }
    }
    this->AtRouter(router, this->Draw(0, 400), [callback] {
      callback(core::MakeError(core::ErrorKind::kUnknownOutcome, "response lost"));
    });
    return;
  }
  this->At(this->Draw(0, 60), [this, router, transactions, callback] {
    std::vector<platform::TransactionResult> results;
    results.reserve(transactions.size());
    for (const auto& transaction : transactions) {
      results.push_back(this->Apply(transaction));
    }
    this->AtRouter(router, this->Draw(0, 60), [callback, results] { callback(results); });
  });
}

void ClaimSimulation::Call(unsigned key, unsigned body, unsigned resends) {
  const auto router = static_cast<unsigned>(this->Draw(0, this->settings.routers - 1));
  this->AtRouter(router, 0, [this, router, key, body, resends] {
    const auto replies = std::make_shared<unsigned>(0);
    this->routers[router].store->Begin(
        this->Now(), "atlas", std::to_string(key), std::to_string(body),
        [this, router, key, body, resends, replies](const BeginResult& result) {
          *replies += 1;
          if (*replies > 1) {
            this->violations.emplace_back("one Begin was answered twice");
          }
          this->OnReply(router, key, body, resends, result);
        });
  });
}

void ClaimSimulation::OnReply(unsigned router, unsigned key, unsigned body, unsigned resends,
                              const BeginResult& result) {
  if (result.verdict == ClaimVerdict::kProceed) {
    const auto& first_body = this->body_of_key.try_emplace(key, std::to_string(body)).first->second;
    if (first_body != std::to_string(body)) {
      this->violations.push_back(fmt::format("key {} proceeded with two bodies", key));
    }
    const bool sends_it = this->Chance(60);
    this->AtRouter(router, this->Draw(0, 50), [this, router, key, claim = result.claim, sends_it] {
      if (sends_it) {
        this->Send(router, key, claim);
      } else {
        this->routers[router].store->MarkNotRun(this->Now(), claim);
      }
    });
  }
  if (resends > 0 && this->time < kCallsEndMilliseconds) {
    this->At(this->Draw(0, 1500),
             [this, key, body, resends] { this->Call(key, body, resends - 1); });
  }
}

void ClaimSimulation::Send(unsigned router, unsigned key, const Claim& claim) {
  if (!this->attempt_that_sent.emplace(key, claim.attempt).second) {
    this->violations.push_back(fmt::format("key {} was sent twice", key));
  }
  if (this->Chance(30)) {
    return;  // The router never records the outcome, as after a crash.
  }
  this->AtRouter(router, this->Draw(0, 1000), [this, router, claim] {
    const bool answered = this->Chance(70);
    this->routers[router].store->Finish(
        this->Now(), claim, answered ? admission::Outcome::kAnswered : admission::Outcome::kUnknown,
        RecordedAnswer{200, {{"Location", "/orders/\xff"}}, claim.attempt});
  });
}

void ClaimSimulation::TickAll() {
  for (auto& router : this->routers) {
    if (this->time >= router.paused_until) {
      router.store->Tick(this->Now());
    }
  }
  if (this->time < kEndMilliseconds) {
    this->At(kTickMilliseconds, [this] { this->TickAll(); });
  }
}

void ClaimSimulation::RunUntil(std::int64_t end) {
  while (!this->events.empty() && this->events.begin()->first <= end) {
    auto event = this->events.extract(this->events.begin());
    this->time = event.key();
    event.mapped()();
  }
}

void ClaimSimulation::CheckKeysAreUsable() {
  for (unsigned key = 0; key < this->settings.keys; ++key) {
    const auto sent = this->attempt_that_sent.find(key);
    const bool was_sent = sent != this->attempt_that_sent.end();
    const auto body = this->body_of_key.contains(key) ? this->body_of_key[key] : "0";
    this->routers[0].store->Begin(
        this->Now(), "atlas", std::to_string(key), body,
        [this, key, was_sent, attempt = was_sent ? sent->second : ""](const BeginResult& result) {
          if (was_sent && result.verdict == ClaimVerdict::kProceed) {
            this->violations.push_back(fmt::format("key {} may be sent again", key));
          }
          if (!was_sent && result.verdict == ClaimVerdict::kRunningOrUnknown) {
            this->violations.push_back(fmt::format("key {} was not run and is blocked", key));
          }
          if (result.answer.has_value() && result.answer->body != attempt) {
            this->violations.push_back(fmt::format("key {} replays a wrong answer", key));
          }
        });
  }
}

void ClaimSimulation::Run() {
  this->TickAll();
  for (unsigned caller = 0; caller < this->settings.callers; ++caller) {
    const auto key = static_cast<unsigned>(this->Draw(0, this->settings.keys - 1));
    // Most callers send the same body with a key; some use the key with another body.
    const unsigned body = this->Chance(20) ? 1 : 0;
    this->At(this->Draw(0, 1000), [this, key, body] { this->Call(key, body, 8); });
  }
  this->RunUntil(kCallsEndMilliseconds + 5000);
  this->healthy = true;
  this->RunUntil(kHealthyEndMilliseconds);
  for (const auto& router : this->routers) {
    if (router.store->pending() > 0) {
      this->violations.emplace_back(
          "claims or outcomes are still pending although the platform has recovered");
    }
  }
  this->CheckKeysAreUsable();
  this->RunUntil(kEndMilliseconds);
}

}  // namespace pomelospar::claims
