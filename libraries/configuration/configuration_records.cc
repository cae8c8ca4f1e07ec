#include "libraries/configuration/configuration_records.h"

#include <fmt/format.h>

#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

namespace pomelospar::configuration {
namespace {

using core::ErrorKind;
using core::MakeError;
using nlohmann::json;

/// Replaces invalid UTF-8, because operators' messages may contain any bytes.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Parses the text as JSON and decodes it. Exceptions of the parser and of `decode` become
/// `kMalformed`.
template <typename Decode>
auto ParseAndDecode(std::string_view what, std::string_view text, Decode decode)
    -> core::Result<decltype(decode(json()))> {
  try {
    return decode(json::parse(text));
  } catch (const std::exception&) {
    return MakeError(ErrorKind::kMalformed,
                     fmt::format("the platform's {} is malformed; restore it or apply the "
                                 "configuration again",
                                 what));
  }
}

std::string_view NameOf(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      break;
  }
  return "changed";
}

ChangeKind KindOf(std::string_view name) {
  if (name == "added") {
    return ChangeKind::kAdded;
  }
  return name == "removed" ? ChangeKind::kRemoved : ChangeKind::kChanged;
}

}  // namespace

std::string ChangeKey(std::uint64_t generation) {
  return fmt::format("{}{:020}", kChangePrefix, generation);
}

std::string ApplyKey(std::string_view apply_identifier) {
  return fmt::format("config/apply/{}", apply_identifier);
}

std::string SnapshotName(std::uint64_t generation, std::string_view apply_identifier) {
  return fmt::format("config/snapshot/{}-{}", generation, apply_identifier);
}

std::string Encode(const HeadRecord& head) {
  return Dump({{"generation", head.generation}, {"apply_identifier", head.apply_identifier}});
}

std::string Encode(const ChangeRecord& record) {
  json changes = json::array();
  for (const auto& change : record.changes) {
    changes.push_back(
        {{"name", change.name}, {"kind", NameOf(change.kind)}, {"json", change.json}});
  }
  return Dump({{"generation", record.generation},
               {"apply_identifier", record.apply_identifier},
               {"operator", record.operator_name},
               {"message", record.message},
               {"time", record.time_seconds},
               {"changes", changes},
               {"summary", record.summary}});
}

core::Result<HeadRecord> DecodeHead(std::string_view text) {
  return ParseAndDecode("config/head", text, [](const json& value) {
    return HeadRecord{value.at("generation").get<std::uint64_t>(),
                      value.at("apply_identifier").get<std::string>()};
  });
}

core::Result<ChangeRecord> DecodeChange(std::string_view text) {
  return ParseAndDecode("change row", text, [](const json& value) {
    ChangeRecord record;
    record.generation = value.at("generation").get<std::uint64_t>();
    record.apply_identifier = value.at("apply_identifier").get<std::string>();
    record.operator_name = value.at("operator").get<std::string>();
    record.message = value.at("message").get<std::string>();
    record.time_seconds = value.at("time").get<std::int64_t>();
    record.summary = value.at("summary").get<std::vector<std::string>>();
    for (const auto& change : value.at("changes")) {
      record.changes.push_back({change.at("name").get<std::string>(),
                                KindOf(change.at("kind").get<std::string>()),
                                change.at("json").get<std::string>()});
    }
    return record;
  });
}

std::string EncodeApplied(std::uint64_t generation) { return Dump({{"generation", generation}}); }

core::Result<std::uint64_t> DecodeApplied(std::string_view text) {
  return ParseAndDecode("apply row", text, [](const json& value) {
    return value.at("generation").get<std::uint64_t>();
  });
}

std::string EncodeSnapshot(const HeldConfiguration& held) {
  json sections = json::array();
  for (const auto& [name, section] : held.sections) {
    if (!section.removed) {
      sections.push_back(
          {{"name", name}, {"generation", section.generation}, {"json", section.json}});
    }
  }
  return Dump({{"generation", held.generation},
               {"apply_identifier", held.apply_identifier},
               {"sections", sections}});
}

core::Result<wire::ConfigurationChanges> DecodeSnapshot(std::string_view text) {
  return ParseAndDecode("snapshot object", text, [](const json& value) {
    wire::ConfigurationChanges changes;
    changes.set_generation(value.at("generation").get<std::uint64_t>());
    changes.set_apply_identifier(value.at("apply_identifier").get<std::string>());
    changes.set_complete(true);
    for (const auto& item : value.at("sections")) {
      auto* section = changes.add_sections();
      section->set_name(item.at("name").get<std::string>());
      section->set_generation(item.at("generation").get<std::uint64_t>());
      section->set_json(item.at("json").get<std::string>());
    }
    return changes;
  });
}

wire::ConfigurationChanges ToChanges(const std::vector<ChangeRecord>& records) {
  wire::ConfigurationChanges changes;
  if (records.empty()) {
    return changes;
  }
  changes.set_base_generation(records.front().generation - 1);
  changes.set_generation(records.back().generation);
  changes.set_apply_identifier(records.back().apply_identifier);
  for (const auto& record : records) {
    for (const auto& change : record.changes) {
      auto* section = changes.add_sections();
      section->set_name(change.name);
      section->set_generation(record.generation);
      section->set_json(change.json);
      section->set_removed(change.kind == ChangeKind::kRemoved);
    }
  }
  return changes;
}

}  // namespace pomelospar::configuration
