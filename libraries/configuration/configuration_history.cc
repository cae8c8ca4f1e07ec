#include <fmt/format.h>

#include <utility>

#include "libraries/configuration/configuration_apply.h"

// The members of `ConfigurationApplier` that read the history.

namespace pomelospar::configuration {
namespace {

using core::ErrorKind;
using core::MakeError;
using platform::Row;

}  // namespace

void ConfigurationApplier::ScanHistory(std::uint64_t after, std::uint32_t limit,
                                       HistoryCallback done) {
  this->platform.scan_rows(std::string(kChangePrefix), ChangeKey(after), limit,
                           [done = std::move(done)](core::Result<std::vector<Row>> rows) {
                             if (!rows) {
                               done(rows.error());
                               return;
                             }
                             std::vector<ChangeRecord> records;
                             for (const auto& row : rows.value()) {
                               auto record = DecodeChange(row.value);
                               if (!record) {
                                 done(record.error());
                                 return;
                               }
                               records.insert(records.begin(), std::move(record.value()));
                             }
                             done(std::move(records));
                           });
}

void ConfigurationApplier::History(std::uint32_t limit, HistoryCallback done) {
  this->platform.read_row(std::string(kHeadKey), [this, limit, done = std::move(done)](
                                                     core::Result<std::optional<Row>> row) {
    if (!row) {
      done(row.error());
      return;
    }
    if (!row.value()) {
      done(std::vector<ChangeRecord>());
      return;
    }
    const auto head = DecodeHead(row.value()->value);
    if (!head) {
      done(head.error());
      return;
    }
    const auto generation = head.value().generation;
    this->ScanHistory(generation > limit ? generation - limit : 0, limit, done);
  });
}

void ConfigurationApplier::Rollback(std::uint64_t generation, ApplyRequest request,
                                    const ApplyCallback& done) {
  const auto refuse = [done](const core::Error& error) {
    const auto outcome =
        core::Is(error, ErrorKind::kNotFound) ? ApplyOutcome::kInvalid : ApplyOutcome::kRefused;
    done({outcome, 0, {}, "nothing was applied: " + error.message});
  };
  const auto missing =
      MakeError(ErrorKind::kNotFound,
                fmt::format("generation {} does not exist; choose one of the history", generation));
  const auto on_snapshot = [this, refuse, missing, done,
                            request](core::Result<std::optional<std::string>> object) mutable {
    if (!object || !object.value()) {
      refuse(object ? missing : object.error());
      return;
    }
    const auto changes = DecodeSnapshot(*object.value());
    if (!changes) {
      refuse(changes.error());
      return;
    }
    request.sections.clear();
    for (const auto& section : changes.value().sections()) {
      request.sections[section.name()] = section.json();
    }
    this->Apply(std::move(request), done);
  };
  const auto on_row = [this, refuse, missing, on_snapshot,
                       generation](core::Result<std::optional<Row>> row) {
    if (!row || !row.value()) {
      refuse(row ? missing : row.error());
      return;
    }
    const auto record = DecodeChange(row.value()->value);
    if (!record) {
      refuse(record.error());
      return;
    }
    this->platform.read_object(SnapshotName(generation, record.value().apply_identifier),
                               on_snapshot);
  };
  this->platform.read_row(ChangeKey(generation), on_row);
}

}  // namespace pomelospar::configuration
