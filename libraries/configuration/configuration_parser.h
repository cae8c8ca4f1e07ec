#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_PARSER_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_PARSER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/configuration/configuration.h"
#include "libraries/configuration/diagnostic.h"
#include "libraries/core/identifiers.h"

namespace pomelospar::configuration {

struct ParseOptions {
  /// Hash function that maps names to identifiers; only tests replace it.
  std::function<std::uint64_t(std::string_view)> hash_name = core::HashName;
};

/// Parses and validates a fleet configuration in TOML. If the document is not valid TOML, is larger
/// than 8 MiB or is nested too deeply, only the first such error is reported. Otherwise all errors
/// are reported at once. The classes, upstreams, workspaces and routes of the result are sorted by
/// name, the runners of each upstream by address; the generation is 0. `file` only labels the
/// diagnostics; no file is opened. May be called on any thread.
std::variant<Configuration, std::vector<Diagnostic>> ParseConfiguration(
    std::string_view document, const std::string& file, const ParseOptions& options = {});

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_PARSER_H_
