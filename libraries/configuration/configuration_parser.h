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

/// Parses and validates a fleet configuration in TOML. Reports every error of a document without
/// syntax errors in one pass. The items of the configuration are sorted by name, the runners by
/// address; the generation is 0. May be called on any thread.
std::variant<Configuration, std::vector<Diagnostic>> ParseConfiguration(
    std::string_view document, const std::string& file, const ParseOptions& options = {});

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_PARSER_H_
