#include "libraries/configuration/configuration_apply.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace pomelospar::configuration {
namespace {

using core::ErrorKind;
using core::MakeError;
using platform::Row;
using platform::TransactionResult;
using std::chrono::milliseconds;

constexpr std::size_t kMaximumIdentifierLength = 64;
constexpr std::uint32_t kMaximumConflictRows = 20;
constexpr milliseconds kResolveInterval = milliseconds(500);
// An operator waits for the result, so after this time the outcome is reported as unknown.
constexpr milliseconds kResolveTimeout = std::chrono::seconds(10);

// Positions of the writes in the transaction of an apply.
constexpr std::size_t kHeadWrite = 0;
constexpr std::size_t kApplyWrite = 2;
constexpr std::size_t kWriteCount = 3;

std::string Summary(const ChangeRecord& record) {
  std::string text = fmt::format("generation {} by {}", record.generation, record.operator_name);
  if (!record.message.empty()) {
    text += fmt::format(" ({})", record.message);
  }
  for (const auto& line : record.summary) {
    text += "\n  " + line;
  }
  return text;
}

std::vector<std::string> Summaries(const core::Result<std::vector<ChangeRecord>>& records) {
  std::vector<std::string> texts;
  if (!records) {
    return {"the history could not be read: " + records.error().message};
  }
  texts.reserve(records.value().size());
  for (const auto& record : records.value()) {
    texts.push_back(Summary(record));
  }
  return texts;
}

/// The changes as a message for `Advance`.
wire::ConfigurationChanges Changes(const ChangeRecord& record) {
  auto changes = ToChanges({record});
  // The first generation has no predecessor, so its changes contain all sections.
  changes.set_complete(record.generation == 1);
  return changes;
}

}  // namespace

struct ConfigurationApplier::Operation {
  ApplyRequest request;
  ApplyCallback done;
  HeadRecord head;
  std::uint64_t head_version = 0;
  HeldPointer base;
  HeldPointer next;
  std::optional<core::Result<HeldPointer>> next_result;
  std::string snapshot;
  ChangeRecord record;
  core::TimePoint deadline;
  core::TimePoint next_resolve;
  bool resolving = false;

  /// Fills in the record and the snapshot of the next generation. Runs on any thread.
  void Prepare() {
    const auto before = this->base ? LiveSections(*this->base) : SectionMap();
    this->record.generation = this->head.generation + 1;
    this->record.apply_identifier = this->request.apply_identifier;
    this->record.operator_name = this->request.operator_name;
    this->record.message = this->request.message;
    this->record.changes = Diff(before, this->request.sections);
    this->record.summary = Summarise(before, this->record.changes);
    this->next_result = Advance(this->base, Changes(this->record));
    if (*this->next_result && !this->request.dry_run) {
      this->snapshot = EncodeSnapshot(*this->next_result->value());
    }
  }

  void Finish(ApplyOutcome outcome, std::string message,
              std::optional<std::vector<std::string>> changes = std::nullopt) {
    ApplyResult result;
    result.outcome = outcome;
    const bool applied = outcome == ApplyOutcome::kApplied;
    result.generation = applied ? this->record.generation : this->head.generation;
    result.changes = changes ? std::move(*changes) : this->record.summary;
    result.message = std::move(message);
    this->done(std::move(result));
  }

  void Refuse(const core::Error& error) {
    this->Finish(ApplyOutcome::kRefused, fmt::format("nothing was applied: {}", error.message));
  }
};

int HttpStatus(ApplyOutcome outcome) {
  switch (outcome) {
    case ApplyOutcome::kApplied:
    case ApplyOutcome::kNothingApplied:
      return 200;
    case ApplyOutcome::kConflict:
      return 409;
    case ApplyOutcome::kInvalid:
      return 422;
    case ApplyOutcome::kRefused:
      return 503;
    case ApplyOutcome::kUnknown:
      break;
  }
  return 504;
}

bool IsApplyIdentifier(std::string_view text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
  };
  return !text.empty() && text.size() <= kMaximumIdentifierLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

ConfigurationApplier::ConfigurationApplier(ConfigurationStore& store, ConfigurationSync& sync,
                                           platform::PlatformClient platform, core::Clock clock)
    : store(store), sync(sync), platform(std::move(platform)), clock(std::move(clock)) {}

void ConfigurationApplier::Apply(ApplyRequest request, ApplyCallback done) {
  auto operation = std::make_shared<Operation>();
  operation->request = std::move(request);
  operation->done = std::move(done);
  if (!IsApplyIdentifier(operation->request.apply_identifier)) {
    operation->Finish(ApplyOutcome::kInvalid,
                      "the apply identifier needs 1 to 64 letters, digits, '-' or '_'");
    return;
  }
  this->platform.read_row(std::string(kHeadKey),
                          [this, operation](auto row) { this->OnHead(operation, std::move(row)); });
}

void ConfigurationApplier::OnHead(const OperationPointer& operation,
                                  core::Result<std::optional<Row>> row) {
  if (!row) {
    operation->Refuse(
        MakeError(ErrorKind::kUnavailable,
                  fmt::format("the platform cannot be reached ({}); apply again when it answers",
                              row.error().message)));
    return;
  }
  if (row.value()) {
    const auto head = DecodeHead(row.value()->value);
    if (!head) {
      operation->Refuse(head.error());
      return;
    }
    operation->head = head.value();
    operation->head_version = row.value()->version;
  }
  this->sync.CatchUp(operation->head, [this, operation](const core::Result<void>& result) {
    if (!result) {
      operation->Refuse(result.error());
      return;
    }
    this->CheckRepeat(operation);
  });
}

void ConfigurationApplier::CheckRepeat(const OperationPointer& operation) {
  const auto key = ApplyKey(operation->request.apply_identifier);
  this->platform.read_row(key, [this, operation](core::Result<std::optional<Row>> row) {
    if (!row) {
      operation->Refuse(row.error());
      return;
    }
    if (row.value()) {
      this->FinishFromApplyRow(operation, row.value()->value);
      return;
    }
    this->CheckGenerationAndPrepare(operation);
  });
}

void ConfigurationApplier::CheckGenerationAndPrepare(const OperationPointer& operation) {
  const auto& request = operation->request;
  const auto current = operation->head.generation;
  if (request.expected_generation && *request.expected_generation != current) {
    this->FinishConflict(operation, *request.expected_generation);
    return;
  }
  operation->base = this->store.held();
  if (this->store.generation() != current) {
    operation->Refuse(MakeError(
        ErrorKind::kConflict,
        fmt::format("the platform is at generation {}, this router at {}; apply again, and if this "
                    "repeats, restore the platform's table",
                    current, this->store.generation())));
    return;
  }
  operation->record.time_seconds =
      std::chrono::duration_cast<std::chrono::seconds>(this->clock.wall().time_since_epoch())
          .count();
  // Takes about 50 ms at the target size of 670 workspaces, too long for the I/O thread.
  this->sync.Offload([operation] { operation->Prepare(); },
                     [this, operation] { this->OnPrepared(operation); });
}

void ConfigurationApplier::OnPrepared(const OperationPointer& operation) {
  if (operation->record.changes.empty()) {
    operation->Finish(ApplyOutcome::kNothingApplied, "the configuration is in force already");
    return;
  }
  if (!*operation->next_result) {
    operation->Refuse(operation->next_result->error());
    return;
  }
  operation->next = operation->next_result->value();
  if (operation->request.dry_run) {
    operation->Finish(ApplyOutcome::kNothingApplied, "dry run: nothing was applied");
    return;
  }
  this->WriteSnapshot(operation);
}

void ConfigurationApplier::WriteSnapshot(const OperationPointer& operation) {
  const auto& next = *operation->next;
  // The snapshot is written before the head: an unreferenced snapshot is harmless, a
  // head that refers to a missing snapshot is not.
  this->platform.put_object(SnapshotName(next.generation, next.apply_identifier),
                            std::move(operation->snapshot),
                            [this, operation](core::Result<bool> result) {
                              if (!result) {
                                operation->Refuse(result.error());
                                return;
                              }
                              this->Commit(operation);
                            });
}

void ConfigurationApplier::Commit(const OperationPointer& operation) {
  const auto& record = operation->record;
  platform::Transaction transaction;
  transaction.writes = {
      {std::string(kHeadKey), Encode(HeadRecord{record.generation, record.apply_identifier}),
       operation->head_version},
      {ChangeKey(record.generation), Encode(record), 0},
      {ApplyKey(record.apply_identifier), EncodeApplied(record.generation), 0}};
  this->platform.commit({std::move(transaction)}, [this, operation](auto results) {
    this->OnCommitted(operation, std::move(results));
  });
}

void ConfigurationApplier::OnCommitted(const OperationPointer& operation,
                                       core::Result<std::vector<TransactionResult>> results) {
  if (!results && core::Is(results.error(), ErrorKind::kUnavailable)) {
    operation->Refuse(results.error());
    return;
  }
  if (!results || results.value().empty() || results.value()[0].rows.size() != kWriteCount) {
    operation->deadline = this->clock.now() + kResolveTimeout;
    this->unresolved.push_back(operation);
    this->Resolve(operation);
    return;
  }
  const auto& result = results.value()[0];
  if (result.committed) {
    this->FinishApplied(operation);
    return;
  }
  if (const auto& applied = result.rows[kApplyWrite]; applied.version > 0) {
    this->FinishFromApplyRow(operation, applied.value);
    return;
  }
  const auto base = operation->head.generation;
  if (const auto head = DecodeHead(result.rows[kHeadWrite].value)) {
    operation->head = head.value();
  }
  this->FinishConflict(operation, base);
}

void ConfigurationApplier::Resolve(const OperationPointer& operation) {
  operation->next_resolve = this->clock.now() + kResolveInterval;
  operation->resolving = true;
  // Inserting the apply row makes the outcome final: if the row exists already, it holds the
  // outcome; if this insert succeeds, a transaction that is still in transit can no longer commit.
  platform::Transaction transaction;
  transaction.writes = {{ApplyKey(operation->request.apply_identifier), EncodeApplied(0), 0}};
  this->platform.commit({std::move(transaction)}, [this, operation](auto results) {
    operation->resolving = false;
    this->OnResolved(operation, std::move(results));
  });
}

void ConfigurationApplier::OnResolved(const OperationPointer& operation,
                                      core::Result<std::vector<TransactionResult>> results) {
  if (!results || results.value().empty() || results.value()[0].rows.size() != 1) {
    return;  // `Tick` tries again.
  }
  if (std::erase(this->unresolved, operation) == 0) {
    return;  // Already reported as unknown.
  }
  this->FinishFromApplyRow(operation, results.value()[0].rows[0].value);
}

void ConfigurationApplier::FinishFromApplyRow(const OperationPointer& operation,
                                              const std::string& value) {
  const auto generation = DecodeApplied(value);
  if (!generation) {
    operation->Refuse(generation.error());
    return;
  }
  if (generation.value() == 0) {
    operation->Refuse(
        MakeError(ErrorKind::kUnavailable,
                  "the platform lost the transaction; apply again with a new apply identifier"));
    return;
  }
  if (operation->next != nullptr && operation->next->generation == generation.value()) {
    this->FinishApplied(operation);
    return;
  }
  operation->record.generation = generation.value();
  operation->Finish(
      ApplyOutcome::kApplied,
      fmt::format("this apply took effect before as generation {}", generation.value()));
}

void ConfigurationApplier::FinishApplied(const OperationPointer& operation) {
  this->sync.AdoptCommitted(operation->next);
  operation->Finish(ApplyOutcome::kApplied,
                    fmt::format("generation {} is in force", operation->record.generation));
}

void ConfigurationApplier::FinishConflict(const OperationPointer& operation, std::uint64_t since) {
  const auto current = operation->head.generation;
  if (since > current) {
    operation->Finish(
        ApplyOutcome::kConflict,
        fmt::format("generation {} does not exist yet; generation {} is current", since, current),
        std::vector<std::string>());
    return;
  }
  this->ScanHistory(since, kMaximumConflictRows, [operation, since, current](const auto& records) {
    operation->Finish(
        ApplyOutcome::kConflict,
        fmt::format("generation {} is current, not {}; take its changes into the file and apply "
                    "with --expect-generation={}",
                    current, since, current),
        Summaries(records));
  });
}

void ConfigurationApplier::Tick(core::TimePoint now) {
  // `Resolve` may change the list.
  const auto waiting = this->unresolved;
  for (const auto& operation : waiting) {
    if (now >= operation->deadline) {
      this->unresolved.remove(operation);
      operation->Finish(ApplyOutcome::kUnknown,
                        fmt::format("the platform did not answer; ask the history for the apply "
                                    "identifier {} or repeat the apply with it",
                                    operation->request.apply_identifier));
    } else if (now >= operation->next_resolve && !operation->resolving) {
      this->Resolve(operation);
    }
  }
}

}  // namespace pomelospar::configuration
