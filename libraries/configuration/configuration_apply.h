#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_APPLY_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_APPLY_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/configuration/configuration_records.h"
#include "libraries/configuration/configuration_store.h"
#include "libraries/configuration/configuration_sync.h"
#include "libraries/configuration/sections.h"
#include "libraries/core/clock.h"
#include "libraries/core/result.h"
#include "libraries/platform/platform_client.h"

namespace pomelospar::configuration {

struct ApplyRequest {
  /// The whole new configuration: the result of `ToSections` for a parsed document. `ToSections`
  /// may run on any thread.
  SectionMap sections;
  /// The apply is refused unless this generation is current.
  std::optional<std::uint64_t> expected_generation;
  /// Chosen by the operator's tool, different for each apply; 1 to 64 letters, digits, '-' or '_'.
  /// A repeated request with the same identifier is never applied twice.
  std::string apply_identifier;
  std::string operator_name;
  std::string message;
  bool dry_run = false;
};

enum class ApplyOutcome {
  kApplied,
  /// The sections equal the current generation, or the request was a dry run.
  kNothingApplied,
  /// Another generation is current; `changes` shows what changed since.
  kConflict,
  /// The request is invalid: a malformed identifier, or a rollback to a generation that does not
  /// exist.
  kInvalid,
  /// The request was not applied, for example because the platform is down.
  kRefused,
  /// Whether the request was applied is not known: the platform did not answer after the
  /// transaction was sent.
  kUnknown,
};

struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kRefused;
  /// The current generation, as far as this router knows.
  std::uint64_t generation = 0;
  /// Human-readable lines: what the apply changes, or on a conflict what changed since the
  /// expected generation.
  std::vector<std::string> changes;
  /// States the outcome, and for errors the cause and the remedy.
  std::string message;
};

/// The HTTP status code with which the admin API answers for this outcome.
int HttpStatus(ApplyOutcome outcome);

bool IsApplyIdentifier(std::string_view text);

/// Commits new generations for operators. Runs on the I/O thread; must outlive the callbacks of the
/// platform client.
class ConfigurationApplier {
 public:
  using ApplyCallback = std::function<void(ApplyResult)>;
  using HistoryCallback = std::function<void(core::Result<std::vector<ChangeRecord>>)>;

  ConfigurationApplier(ConfigurationStore& store, ConfigurationSync& sync,
                       platform::PlatformClient platform, core::Clock clock);
  ConfigurationApplier(const ConfigurationApplier&) = delete;
  ConfigurationApplier& operator=(const ConfigurationApplier&) = delete;

  /// Commits a transaction that inserts the change row and the apply row and updates the head by
  /// compare-and-swap. If the platform's answer is lost, the apply row shows whether the
  /// transaction took effect; if the platform does not answer within 10 s, the outcome is
  /// `kUnknown`.
  void Apply(ApplyRequest request, ApplyCallback done);
  /// Applies the sections of an earlier generation as a new generation.
  void Rollback(std::uint64_t generation, ApplyRequest request, const ApplyCallback& done);
  /// The newest `limit` changes, newest first. `kUnavailable` or `kTimeout` if the platform is
  /// down.
  void History(std::uint32_t limit, HistoryCallback done);
  /// Retries the resolution of lost answers. Call it whenever `ConfigurationSync::Tick` is called.
  void Tick(core::TimePoint now);

 private:
  struct Operation;
  using OperationPointer = std::shared_ptr<Operation>;

  void OnHead(const OperationPointer& operation, core::Result<std::optional<platform::Row>> row);
  void CheckRepeat(const OperationPointer& operation);
  void CheckGenerationAndPrepare(const OperationPointer& operation);
  void OnPrepared(const OperationPointer& operation);
  void WriteSnapshot(const OperationPointer& operation);
  void Commit(const OperationPointer& operation);
  void OnCommitted(const OperationPointer& operation,
                   core::Result<std::vector<platform::TransactionResult>> results);
  void Resolve(const OperationPointer& operation);
  void OnResolved(const OperationPointer& operation,
                  core::Result<std::vector<platform::TransactionResult>> results);
  void FinishFromApplyRow(const OperationPointer& operation, const std::string& value);
  void FinishApplied(const OperationPointer& operation);
  void FinishConflict(const OperationPointer& operation, std::uint64_t since);
  void ScanHistory(std::uint64_t after, std::uint32_t limit, HistoryCallback done);

  ConfigurationStore& store;
  ConfigurationSync& sync;
  platform::PlatformClient platform;
  core::Clock clock;
  /// Operations whose transaction was sent, but which may or may not have taken effect.
  std::list<OperationPointer> unresolved;
};

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_APPLY_H_
