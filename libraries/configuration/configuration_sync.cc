#include "libraries/configuration/configuration_sync.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace pomelospar::configuration {
namespace {

using core::ErrorKind;
using core::MakeError;
using std::chrono::milliseconds;

// A router that is more generations behind reads one snapshot, which is cheaper than the change
// rows.
constexpr std::uint64_t kMaximumChangeRows = 16;
constexpr std::size_t kPartBytes = 32 * 1024;
// Interval of requests to peers. A peer answers within a round trip; a lost message must not delay
// a change by a whole poll period.
constexpr milliseconds kPeerRetryInterval = milliseconds(300);
// A peer that has not answered this long after the first request is treated as unreachable when
// readiness is decided.
constexpr milliseconds kPeerSilenceTimeout = milliseconds(2000);
/// A request with this generation is answered with the peer's generation and no sections.
constexpr std::uint64_t kGenerationOnly = std::numeric_limits<std::uint64_t>::max();
constexpr double kMinimumJitter = 0.75;
constexpr double kMaximumJitter = 1.25;

wire::Message RequestFrom(std::uint64_t generation) {
  wire::Message message;
  message.mutable_configuration_request()->set_generation(generation);
  return message;
}

/// Decodes change rows that must directly follow `generation` and each other. Returns `kNotFound`
/// at the first gap.
core::Result<std::vector<ChangeRecord>> DecodeRows(const std::vector<platform::Row>& rows,
                                                   std::uint64_t generation) {
  std::vector<ChangeRecord> records;
  for (const auto& row : rows) {
    BOOST_OUTCOME_TRY(auto record, DecodeChange(row.value));
    if (record.generation != ++generation) {
      return MakeError(ErrorKind::kNotFound,
                       fmt::format("the change row of generation {} is missing; the snapshot is "
                                   "read instead",
                                   generation));
    }
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace

ConfigurationSync::ConfigurationSync(ConfigurationStore& store, platform::PlatformClient platform,
                                     SyncCallbacks callbacks, SyncSettings settings,
                                     std::mt19937_64 random)
    : store(store),
      platform(std::move(platform)),
      callbacks(std::move(callbacks)),
      settings(settings),
      random(random) {}

void ConfigurationSync::Tick(core::TimePoint now) {
  this->now = now;
  if (!this->poll_outstanding && now >= this->next_poll) {
    this->Poll();
  }
  if (!this->is_ready) {
    this->AskPeersForGenerations();
  }
  this->RequestFromPeer();
  this->UpdateReady();
}

void ConfigurationSync::Poll() {
  std::uniform_real_distribution<double> jitter(kMinimumJitter, kMaximumJitter);
  const auto period =
      std::chrono::duration<double, std::milli>(this->settings.poll_period) * jitter(this->random);
  this->next_poll = this->now + std::chrono::duration_cast<core::Duration>(period);
  this->poll_outstanding = true;
  this->platform.read_row(std::string(kHeadKey), [this](auto row) {
    this->poll_outstanding = false;
    this->OnHead(std::move(row));
    this->UpdateReady();
  });
}

void ConfigurationSync::OnHead(core::Result<std::optional<platform::Row>> row) {
  if (!row) {
    this->platform_state = PlatformState::kFailed;
    return;
  }
  if (!row.value()) {
    this->platform_state = PlatformState::kAnswered;
    return;
  }
  const auto head = DecodeHead(row.value()->value);
  if (!head) {
    this->platform_state = PlatformState::kFailed;
    this->Report(head.error());
    return;
  }
  this->platform_state = PlatformState::kAnswered;
  this->platform_generation = std::max(this->platform_generation, head.value().generation);
  this->CatchUp(head.value(), [this](const core::Result<void>& result) {
    if (!result) {
      this->Report(result.error());
    }
  });
}

void ConfigurationSync::CatchUp(const HeadRecord& head,
                                std::function<void(core::Result<void>)> done) {
  const auto held = this->store.generation();
  if (head.generation <= held) {
    done(core::Success());
    return;
  }
  if (held == 0 || head.generation - held > kMaximumChangeRows) {
    this->ReadSnapshot(head, std::move(done));
    return;
  }
  this->ReadChangeRows(head, std::move(done));
}

void ConfigurationSync::ReadChangeRows(const HeadRecord& head,
                                       std::function<void(core::Result<void>)> done) {
  const auto held = this->store.generation();
  const auto count = static_cast<std::uint32_t>(head.generation - held);
  const auto finish = [this, head, held, done = std::move(done)](auto rows) {
    if (!rows) {
      done(rows.error());
      return;
    }
    auto records = DecodeRows(rows.value(), held);
    if (!records || records.value().empty()) {
      this->ReadSnapshot(head, done);
      return;
    }
    this->Prepare(ToChanges(records.value()), [this, head, done](const core::Result<void>& result) {
      if (result) {
        done(result);
        return;
      }
      this->ReadSnapshot(head, done);
    });
  };
  this->platform.scan_rows(std::string(kChangePrefix), ChangeKey(held), count, finish);
}

void ConfigurationSync::ReadSnapshot(const HeadRecord& head,
                                     std::function<void(core::Result<void>)> done) {
  const auto name = SnapshotName(head.generation, head.apply_identifier);
  this->platform.read_object(name, [this, name, done = std::move(done)](auto object) {
    if (!object) {
      done(object.error());
      return;
    }
    if (!object.value()) {
      done(MakeError(ErrorKind::kNotFound,
                     fmt::format("the object {} is missing; apply the configuration again", name)));
      return;
    }
    auto changes = DecodeSnapshot(*object.value());
    if (!changes) {
      done(changes.error());
      return;
    }
    this->Prepare(std::move(changes.value()), done);
  });
}

void ConfigurationSync::Prepare(wire::ConfigurationChanges changes,
                                std::function<void(core::Result<void>)> done) {
  const auto generation = changes.generation();
  if (generation <= this->store.generation()) {
    done(core::Success());
    return;
  }
  this->preparing_generation = std::max(this->preparing_generation, generation);
  struct Job {
    HeldPointer base;
    wire::ConfigurationChanges changes;
    std::optional<core::Result<HeldPointer>> result;
  };
  auto job = std::make_shared<Job>(Job{this->store.held(), std::move(changes), std::nullopt});
  auto work = [job] { job->result = Advance(job->base, job->changes); };
  auto finish = [this, job, done = std::move(done)] {
    this->preparing_generation = 0;
    auto& result = *job->result;
    if (!result) {
      done(result.error());
      return;
    }
    if (this->store.Adopt(result.value())) {
      this->callbacks.adopted(result.value(), false);
    }
    done(core::Success());
    this->UpdateReady();
  };
  this->Offload(std::move(work), std::move(finish));
}

void ConfigurationSync::Offload(std::function<void()> work, std::function<void()> done) {
  if (this->callbacks.offload) {
    this->callbacks.offload(std::move(work), std::move(done));
    return;
  }
  work();
  done();
}

void ConfigurationSync::AdoptCommitted(const HeldPointer& held) {
  this->platform_generation = std::max(this->platform_generation, held->generation);
  if (this->store.Adopt(held)) {
    this->callbacks.adopted(held, true);
  }
  this->UpdateReady();
}

void ConfigurationSync::OnPeerGeneration(const std::string& peer, std::uint64_t generation) {
  auto& entry = this->peers[peer];
  entry.generation = std::max(entry.generation.value_or(0), generation);
  this->RequestFromPeer();
  this->UpdateReady();
}

void ConfigurationSync::OnPeerGone(const std::string& peer) {
  this->peers.erase(peer);
  this->UpdateReady();
}

void ConfigurationSync::RequestFromPeer() {
  const auto wanted = std::max(this->store.generation(), this->preparing_generation);
  if (this->now < this->next_peer_request) {
    return;
  }
  std::vector<const std::string*> newer;
  for (const auto& [address, peer] : this->peers) {
    if (peer.generation.value_or(0) > wanted) {
      newer.push_back(&address);
    }
  }
  if (newer.empty()) {
    return;
  }
  // The peer is chosen at random, so that a peer that does not answer is not asked every time.
  std::uniform_int_distribution<std::size_t> pick(0, newer.size() - 1);
  this->next_peer_request = this->now + kPeerRetryInterval;
  this->callbacks.send(*newer[pick(this->random)], RequestFrom(this->store.generation()));
}

void ConfigurationSync::AskPeersForGenerations() {
  for (const auto& address : this->callbacks.reachable_peers()) {
    const bool is_new = !this->peers.contains(address);
    auto& peer = this->peers[address];
    if (is_new || peer.first_asked == core::TimePoint()) {
      peer.first_asked = this->now;
      peer.last_asked = this->now - kPeerRetryInterval;
    }
    if (!peer.generation && this->now - peer.last_asked >= kPeerRetryInterval) {
      peer.last_asked = this->now;
      this->callbacks.send(address, RequestFrom(kGenerationOnly));
    }
  }
}

void ConfigurationSync::OnRequest(const std::string& peer,
                                  const wire::ConfigurationRequest& request) {
  const auto held = this->store.held();
  if (held == nullptr) {
    wire::Message message;
    message.mutable_configuration_changes()->set_base_generation(request.generation());
    this->callbacks.send(peer, message);
    return;
  }
  for (auto& part : ChangesSince(*held, request.generation(), kPartBytes)) {
    wire::Message message;
    *message.mutable_configuration_changes() = std::move(part);
    this->callbacks.send(peer, message);
  }
}

void ConfigurationSync::OnChanges(const std::string& peer, const wire::ConfigurationChanges& part) {
  this->OnPeerGeneration(peer, part.generation());
  if (part.base_generation() == kGenerationOnly || part.generation() <= this->store.generation()) {
    return;
  }
  auto whole = this->assembler.Add(peer, part);
  if (!whole) {
    return;
  }
  this->Prepare(std::move(*whole), [this](const core::Result<void>& result) {
    if (!result) {
      this->Report(result.error());
    }
  });
}

bool ConfigurationSync::HoldsGenerationOfPeers() const {
  for (const auto& address : this->callbacks.reachable_peers()) {
    const auto entry = this->peers.find(address);
    if (entry == this->peers.end()) {
      return false;
    }
    const auto& peer = entry->second;
    const bool silent = this->now - peer.first_asked >= kPeerSilenceTimeout;
    if (!peer.generation && !silent) {
      return false;
    }
    if (peer.generation.value_or(0) > this->store.generation()) {
      return false;
    }
  }
  return true;
}

void ConfigurationSync::UpdateReady() {
  const auto held = this->store.generation();
  if (this->is_ready || held == 0 || this->platform_state == PlatformState::kNotAsked) {
    return;
  }
  this->is_ready = held >= this->platform_generation && this->HoldsGenerationOfPeers();
}

void ConfigurationSync::Report(const core::Error& error) const {
  if (this->callbacks.failed) {
    this->callbacks.failed(error);
  }
}

}  // namespace pomelospar::configuration
