#include "services/pomelospar_edge/peer_message.h"

#include <google/protobuf/arena.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <span>
#include <vector>

#include "libraries/core/milliseconds.h"
#include "services/pomelospar_edge/peer_report.pb.h"

namespace pomelospar::edge {
namespace {

// Space on the stack for the decoded message of a usual report. Larger ones take more from the
// heap.
constexpr std::size_t kStackArenaBytes = 8U << 10U;

// Truncates to a whole number, negative ones to 0. Varints take fewer bytes than floating-point
// numbers, and fractions of a token mean nothing.
std::uint64_t Whole(double number) { return static_cast<std::uint64_t>(std::max(number, 0.0)); }

std::int64_t FloorMilliseconds(core::Duration time) {
  return std::chrono::floor<std::chrono::milliseconds>(time).count();
}

template <typename Message>
dispatch::StoreEpoch DecodeEpoch(const Message& message) {
  return message.has_epoch() ? dispatch::StoreEpoch(message.epoch()) : std::nullopt;
}

// The time is rounded down, so that the proof never claims a later time than its sender knows.
void Encode(const dispatch::TableProof& proof, report::TableProof& message) {
  message.set_state(proof.state);
  message.set_at_ms(FloorMilliseconds(proof.at));
  if (proof.epoch) message.set_epoch(*proof.epoch);
}

dispatch::TableProof Decode(const report::TableProof& message) {
  return {message.state(), std::chrono::milliseconds(message.at_ms()), DecodeEpoch(message)};
}

void Encode(const dispatch::EngineLoad& load, report::RunnerLoad& message) {
  message.set_unread(Whole(load.prefill_tokens));
  message.set_active(Whole(load.active));
  message.set_memory(Whole(load.memory_tokens));
}

dispatch::EngineLoad Decode(const report::RunnerLoad& message) {
  return {.prefill_tokens = static_cast<double>(message.unread()),
          .active = static_cast<double>(message.active()),
          .memory_tokens = static_cast<double>(message.memory())};
}

void Encode(const dispatch::PlacementProposal& proposal, report::PlacementProposal& message) {
  message.set_id(proposal.id);
  message.set_engine(proposal.engine);
  message.set_prefill_tokens(Whole(proposal.prefill_tokens));
  message.set_max_prefill_tokens(Whole(proposal.max_prefill_tokens));
  message.set_max_active(Whole(std::ceil(proposal.max_active)));
  message.set_cold_start(proposal.is_cold_start);
  message.set_crash_trial(proposal.is_crash_trial);
}

dispatch::PlacementProposal Decode(const report::PlacementProposal& message) {
  return {.id = message.id(),
          .engine = message.engine(),
          .prefill_tokens = static_cast<double>(message.prefill_tokens()),
          .max_prefill_tokens = static_cast<double>(message.max_prefill_tokens()),
          .max_active = static_cast<double>(message.max_active()),
          .is_cold_start = message.cold_start(),
          .is_crash_trial = message.crash_trial()};
}

void Encode(const dispatch::PlacementReply& reply, report::PlacementReply& message) {
  message.set_id(reply.id);
  message.set_accepted(reply.is_accepted);
  Encode(reply.others, *message.mutable_others());
}

dispatch::PlacementReply Decode(const report::PlacementReply& message) {
  return {
      .id = message.id(), .is_accepted = message.accepted(), .others = Decode(message.others())};
}

void Encode(const dispatch::SentPrefix& prefix, report::PrefixRead& message) {
  message.set_runner(prefix.runner);
  for (const auto& part : prefix.parts) {
    message.add_part_ids(part.id);
    message.add_part_tokens(Whole(part.tokens));
  }
}

dispatch::SentPrefix Decode(const report::PrefixRead& message) {
  dispatch::SentPrefix prefix = {.runner = message.runner()};
  const int count = std::min(message.part_ids_size(), message.part_tokens_size());
  for (int index = 0; index < count; ++index) {
    prefix.parts.push_back(
        {message.part_ids(index), static_cast<double>(message.part_tokens(index))});
  }
  return prefix;
}

void Encode(const dispatch::RunnerRecord& record, report::RunnerRecord& message) {
  message.set_upstream(record.upstream);
  message.set_address(record.address);
  message.set_domain(record.domain);
  message.set_slots(record.slots);
  message.set_draining(record.draining);
  message.set_started_unix_ms(record.started_unix_ms);
  message.set_cold_left_ms(record.cold_left_ms);
}

void Encode(const dispatch::DirectoryChange& change, report::DirectoryChange& message) {
  message.set_before(change.before);
  message.set_after(change.after);
  for (const auto& entry : change.entries) {
    auto* encoded = message.add_entries();
    encoded->set_id(entry.id);
    if (entry.record) Encode(*entry.record, *encoded->mutable_record());
  }
}

dispatch::DirectoryChange Decode(const report::DirectoryChange& message) {
  dispatch::DirectoryChange change = {.before = message.before(), .after = message.after()};
  for (const auto& entry : message.entries()) {
    dispatch::RunnerChange decoded = {.id = entry.id()};
    if (entry.has_record()) {
      const auto& record = entry.record();
      decoded.record = dispatch::RunnerRecord{.id = entry.id(),
                                              .upstream = record.upstream(),
                                              .address = record.address(),
                                              .domain = record.domain(),
                                              .slots = record.slots(),
                                              .draining = record.draining(),
                                              .started_unix_ms = record.started_unix_ms(),
                                              .cold_left_ms = record.cold_left_ms()};
    }
    change.entries.push_back(std::move(decoded));
  }
  return change;
}

// An age that cannot be true, such as one that would overflow, is taken as this long ago.
core::Duration DecodeAge(std::uint64_t age_ms) {
  constexpr std::uint64_t kLargestAgeMs = 86'400'000;
  return std::chrono::milliseconds(std::min(age_ms, kLargestAgeMs));
}

void EncodeSuspects(const dispatch::SuspectNews& news, report::Report& message) {
  for (const auto& suspicion : news.suspicions) {
    auto* encoded = message.add_suspicions();
    encoded->set_subject(suspicion.subject);
    encoded->set_crash(suspicion.crash);
    encoded->set_age_ms(core::WholeMilliseconds(suspicion.age));
    if (suspicion.in_progress) {
      encoded->set_in_progress_ms(core::WholeMilliseconds(*suspicion.in_progress));
    }
  }
  for (const auto& acquittal : news.acquittals) {
    auto* encoded = message.add_acquittals();
    encoded->set_subject(acquittal.subject);
    encoded->set_age_ms(core::WholeMilliseconds(acquittal.age));
  }
  for (const auto& quarantine : news.quarantines) {
    auto* encoded = message.add_quarantines();
    encoded->set_subject(quarantine.subject);
    encoded->set_age_ms(core::WholeMilliseconds(quarantine.age));
    encoded->set_failed_trials(quarantine.failed_trials);
    encoded->set_spent_trials(quarantine.spent_trials);
  }
}

dispatch::SuspectNews DecodeSuspects(const report::Report& message) {
  dispatch::SuspectNews news;
  for (const auto& suspicion : message.suspicions()) {
    std::optional<core::Duration> in_progress;
    if (suspicion.has_in_progress_ms()) in_progress = DecodeAge(suspicion.in_progress_ms());
    news.suspicions.push_back(
        {suspicion.subject(), suspicion.crash(), DecodeAge(suspicion.age_ms()), in_progress});
  }
  for (const auto& acquittal : message.acquittals()) {
    news.acquittals.push_back({acquittal.subject(), DecodeAge(acquittal.age_ms())});
  }
  for (const auto& quarantine : message.quarantines()) {
    news.quarantines.push_back({quarantine.subject(), quarantine.failed_trials(),
                                DecodeAge(quarantine.age_ms()), quarantine.spent_trials()});
  }
  return news;
}

void EncodeColdRunners(std::span<const dispatch::ColdRunner> runners, report::Report& message) {
  for (const auto& cold : runners) {
    auto* encoded = message.add_cold_runners();
    encoded->set_runner(cold.run.runner);
    encoded->set_started_unix_ms(cold.run.started_unix_ms);
    encoded->set_left_ms(core::WholeMilliseconds(cold.left));
  }
}

std::vector<dispatch::ColdRunner> DecodeColdRunners(const report::Report& message) {
  std::vector<dispatch::ColdRunner> runners;
  for (const auto& cold : message.cold_runners()) {
    runners.push_back({{cold.runner(), cold.started_unix_ms()}, DecodeAge(cold.left_ms())});
  }
  return runners;
}

void Encode(const dispatch::Evacuations& evacuations, report::Evacuations& message) {
  message.set_version(evacuations.position.version);
  if (evacuations.position.epoch) message.set_epoch(*evacuations.position.epoch);
  for (const auto& domain : evacuations.domains) message.add_domains(domain);
}

dispatch::Evacuations Decode(const report::Evacuations& message) {
  std::vector<dispatch::EvacuationRow> rows;
  for (const auto& domain : message.domains()) rows.push_back({domain});
  return dispatch::AfterRows({}, rows, true, {DecodeEpoch(message), message.version()});
}

dispatch::PeerReport Decode(const report::Report& message) {
  dispatch::PeerReport report;
  report.sender = message.sender();
  report.domain = message.domain();
  report.incarnation = message.incarnation();
  report.sequence = message.sequence();
  report.is_partial = message.partial();
  if (message.has_proposal()) report.proposal = Decode(message.proposal());
  if (message.has_reply()) report.reply = Decode(message.reply());
  report.runners.reserve(static_cast<std::size_t>(message.runners_size()));
  for (const auto& load : message.runners()) {
    report.runners[load.runner()] = Decode(load);
  }
  report.workspaces.reserve(static_cast<std::size_t>(message.workspaces_size()));
  for (const auto& usage : message.workspaces()) {
    report.workspaces[usage.workspace()] = {.asked = static_cast<double>(usage.asked()),
                                            .forecast = static_cast<double>(usage.forecast()),
                                            .served = static_cast<double>(usage.served())};
  }
  for (const auto& prefix : message.reads()) report.sent_prefixes.push_back(Decode(prefix));
  report.suspects = DecodeSuspects(message);
  for (const auto& run : message.leaving_runners()) {
    report.leaving_runners.push_back({run.runner(), run.started_unix_ms()});
  }
  report.cold_runners = DecodeColdRunners(message);
  if (message.has_evacuations()) report.evacuations = Decode(message.evacuations());
  report.policy_version = message.policy_version();
  report.policy_is_unconfirmed = message.policy_unconfirmed();
  if (message.has_policy()) report.policy = Decode(message.policy());
  if (message.has_directory()) report.directory = Decode(message.directory());
  if (message.has_store_regained_at_ms()) {
    report.store_regained_at = std::chrono::milliseconds(message.store_regained_at_ms());
  }
  for (const auto& change : message.directory_changes()) {
    report.directory_changes.push_back(Decode(change));
  }
  return report;
}

}  // namespace

std::string EncodeSignedReport(const dispatch::PeerReport& report, const wire::FleetKey& key) {
  report::Report message;
  message.set_sender(report.sender);
  message.set_domain(report.domain);
  message.set_incarnation(report.incarnation);
  message.set_sequence(report.sequence);
  message.set_partial(report.is_partial);
  if (report.proposal) Encode(*report.proposal, *message.mutable_proposal());
  if (report.reply) Encode(*report.reply, *message.mutable_reply());
  for (const auto& [runner, load] : report.runners) {
    auto* encoded = message.add_runners();
    encoded->set_runner(runner);
    Encode(load, *encoded);
  }
  for (const auto& [workspace, usage] : report.workspaces) {
    auto* encoded = message.add_workspaces();
    encoded->set_workspace(workspace);
    encoded->set_asked(Whole(usage.asked));
    encoded->set_forecast(Whole(usage.forecast));
    encoded->set_served(Whole(usage.served));
  }
  for (const auto& prefix : report.sent_prefixes) Encode(prefix, *message.add_reads());
  EncodeSuspects(report.suspects, message);
  for (const auto& run : report.leaving_runners) {
    auto* encoded = message.add_leaving_runners();
    encoded->set_runner(run.runner);
    encoded->set_started_unix_ms(run.started_unix_ms);
  }
  EncodeColdRunners(report.cold_runners, message);
  if (report.evacuations) Encode(*report.evacuations, *message.mutable_evacuations());
  message.set_policy_version(report.policy_version);
  message.set_policy_unconfirmed(report.policy_is_unconfirmed);
  if (report.policy) Encode(*report.policy, *message.mutable_policy());
  if (report.directory) Encode(*report.directory, *message.mutable_directory());
  if (report.store_regained_at) {
    message.set_store_regained_at_ms(FloorMilliseconds(*report.store_regained_at));
  }
  for (const auto& change : report.directory_changes) {
    Encode(change, *message.add_directory_changes());
  }
  std::string datagram(wire::kAuthenticatorBytes, '\0');
  message.AppendToString(&datagram);
  const auto authenticator =
      key.Authenticate(std::string_view(datagram).substr(wire::kAuthenticatorBytes));
  std::copy(authenticator.begin(), authenticator.end(), datagram.begin());
  return datagram;
}

core::Result<dispatch::PeerReport> DecodeSignedReport(std::string_view datagram,
                                                      const wire::FleetKey& key) {
  if (datagram.size() <= wire::kAuthenticatorBytes) {
    return core::MakeError(core::ErrorKind::kMalformed, "the datagram is too short");
  }
  const auto payload = datagram.substr(wire::kAuthenticatorBytes);
  const auto expected = key.Authenticate(payload);
  if (CRYPTO_memcmp(expected.data(), datagram.data(), expected.size()) != 0) {
    return core::MakeError(core::ErrorKind::kUnauthorized,
                           "the datagram was not authenticated with the key of this fleet");
  }
  std::array<char, kStackArenaBytes> block{};
  google::protobuf::ArenaOptions options;
  options.initial_block = block.data();
  options.initial_block_size = block.size();
  google::protobuf::Arena arena(options);
  auto* message = google::protobuf::Arena::CreateMessage<report::Report>(&arena);
  if (!message->ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
    return core::MakeError(core::ErrorKind::kMalformed, "the datagram is not a report");
  }
  return Decode(*message);
}

}  // namespace pomelospar::edge
