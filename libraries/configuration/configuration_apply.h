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
  /// The whole new configuration: `ToSections` of a parsed document, made on any thread.
  SectionMap sections;
  /// The apply is refused unless this generation is current.
  std::optional<std::uint64_t> expected_generation;
  /// Chosen by the operator's tool, different for each apply; 1 to 64 letters, digits, '-' or '_'.
  /// A repeat with the same identifier never applies twice.
  std::string apply_identifier;
  std::string operator_name;
  std::string message;
  bool dry_run = false;
};

enum class ApplyOutcome {
  kApplied,
  /// The file describes the current generation, or it was a dry run.
  kNothingApplied,
  /// Another generation is current; `changes` shows what changed since.
  kConflict,
  /// The request itself is wrong: a malformed identifier or a generation that does not exist.
  kInvalid,
  /// Certainly not applied, for example because the platform is down.
  kRefused,
  /// The platform did not answer after the transaction was sent.
  kUnknown,
};

struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kRefused;
  /// The generation that is current as far as known.
  std::uint64_t generation = 0;
  /// What the apply changes, or on a conflict what changed since, for people.
  std::vector<std::string> changes;
  /// Cause and remedy.
  std::string message;
};

/// HTTP status of the admin API for an outcome.
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

  /// The transaction inserts the change and moves the head by compare-and-swap. If its answer is
  /// lost, the apply row tells whether it took effect; while the platform is down this is tried for
  /// 10 s.
  void Apply(ApplyRequest request, ApplyCallback done);
  /// Applies the sections of an earlier generation as a new generation.
  void Rollback(std::uint64_t generation, ApplyRequest request, const ApplyCallback& done);
  /// The newest `limit` changes, newest first. `kUnavailable` or `kTimeout` if the platform is
  /// down.
  void History(std::uint32_t limit, HistoryCallback done);
  /// Repeats the resolution of lost answers. Call with `ConfigurationSync::Tick`.
  void Tick(core::TimePoint now);

 private:
  struct Operation;
  using OperationPointer = std::shared_ptr<Operation>;

  void OnHead(const OperationPointer& operation, core::Result<std::optional<platform::Row>> row);
  void CheckRepeat(const OperationPointer& operation);
  void Stage(const OperationPointer& operation);
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
  /// Operations whose transaction was sent and whose effect is not known.
  std::list<OperationPointer> unresolved;
};

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_APPLY_H_
