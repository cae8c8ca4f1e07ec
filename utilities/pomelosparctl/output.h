#ifndef POMELOSPAR_UTILITIES_POMELOSPARCTL_OUTPUT_H_
#define POMELOSPAR_UTILITIES_POMELOSPARCTL_OUTPUT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/configuration/diagnostic.h"

namespace pomelospar::pomelosparctl {

/// A table column: its heading and the JSON key of its values.
struct Column {
  std::string_view heading;
  std::string_view key;
};

/// Returns the text of a value, "-" for null.
std::string Cell(const nlohmann::json& value);

/// Formats a heading line and one line for each object in `rows`, with aligned columns.
std::string FormatTable(const std::vector<Column>& columns, const nlohmann::json& rows);

/// Formats a table with the columns FIELD and VALUE and one line for each member. Nested keys are
/// joined with dots.
std::string FormatFields(const nlohmann::json& object);

nlohmann::json ToJson(const std::vector<configuration::Diagnostic>& diagnostics);

/// Returns indented JSON text in which invalid UTF-8 is replaced.
std::string Dump(const nlohmann::json& value);

}  // namespace pomelospar::pomelosparctl

#endif  // POMELOSPAR_UTILITIES_POMELOSPARCTL_OUTPUT_H_
