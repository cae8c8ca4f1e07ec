#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_TOML_DOCUMENT_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_TOML_DOCUMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/configuration/diagnostic.h"

namespace pomelospar::configuration {

enum class NodeKind { kTable, kArray, kString, kInteger, kFloat, kBoolean, kOther };

/// A value of a TOML document. This type keeps the TOML library, which compiles slowly, out of all
/// translation units but one.
struct Node {
  NodeKind kind = NodeKind::kOther;
  std::map<std::string, Node> members;
  std::vector<Node> items;
  std::string text;
  std::int64_t integer = 0;
  double number = 0.0;
  bool boolean = false;
  /// The line of the value, counted from 1. Computed on demand because the library scans the
  /// document from its start for each line number.
  std::function<std::uint32_t()> line;
};

/// Returns the root table, or nothing if the document is too large, too deeply nested or has a
/// syntax error. Exactly one diagnostic is added then, because parsing ends at the first error.
std::optional<Node> ParseToml(std::string_view document, const std::string& file,
                              DiagnosticList& diagnostics);

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_TOML_DOCUMENT_H_
