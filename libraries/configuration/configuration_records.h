#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_RECORDS_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_RECORDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/configuration/configuration_store.h"
#include "libraries/configuration/sections.h"
#include "libraries/core/result.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::configuration {

// The rows and objects that are stored on the platform. Generations in row keys are padded with
// zeros, so that a scan returns them in numeric order.
inline constexpr std::string_view kHeadKey = "config/head";
inline constexpr std::string_view kChangePrefix = "config/change/";
std::string ChangeKey(std::uint64_t generation);
/// The key of the row that the transaction of an apply inserts. Its value shows whether the apply
/// took effect.
std::string ApplyKey(std::string_view apply_identifier);
/// The name contains the apply identifier because two concurrent applies both write a snapshot for
/// the same generation before one of them commits.
std::string SnapshotName(std::uint64_t generation, std::string_view apply_identifier);

/// Value of `config/head`.
struct HeadRecord {
  std::uint64_t generation = 0;
  std::string apply_identifier;
};

/// Value of `config/change/<generation>`.
struct ChangeRecord {
  std::uint64_t generation = 0;
  std::string apply_identifier;
  std::string operator_name;
  std::string message;
  /// Seconds since 1970 by the clock of the router that applied it.
  std::int64_t time_seconds = 0;
  std::vector<SectionChange> changes;
  /// The changes as human-readable lines.
  std::vector<std::string> summary;
};

std::string Encode(const HeadRecord& head);
std::string Encode(const ChangeRecord& record);
/// The decoders return `kMalformed` for invalid input.
core::Result<HeadRecord> DecodeHead(std::string_view text);
core::Result<ChangeRecord> DecodeChange(std::string_view text);

/// Value of an apply row: the generation that the apply created, or 0 if the apply was abandoned.
std::string EncodeApplied(std::uint64_t generation);
core::Result<std::uint64_t> DecodeApplied(std::string_view text);

/// A snapshot object holds all sections of a generation.
std::string EncodeSnapshot(const HeldConfiguration& held);
core::Result<wire::ConfigurationChanges> DecodeSnapshot(std::string_view text);

/// Combines consecutive change rows into one message.
wire::ConfigurationChanges ToChanges(const std::vector<ChangeRecord>& records);

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_RECORDS_H_
