#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_VALIDATOR_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_VALIDATOR_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "libraries/configuration/configuration.h"

namespace pomelospar::configuration {

/// Location of an error: item `index` of the section kind ("class", "upstream", "workspace",
/// "route"), its key, and for arrays the position in the key's array (-1 for the key itself).
struct ErrorLocation {
  std::string_view section;
  std::size_t index = 0;
  std::string_view key;
  std::ptrdiff_t position = -1;
  /// A key inside the table at `position`; empty if the array holds no tables.
  std::string_view inner_key;
};

using ReportError =
    std::function<void(const ErrorLocation& location, std::string message, std::string remedy)>;

/// Checks names, references between sections, and values that must be unique. Empty strings stand
/// for values whose errors the parser has already reported; they are skipped, except for the model
/// of a model engine, which is required here.
void ValidateConfiguration(const Configuration& configuration,
                           const std::function<std::uint64_t(std::string_view)>& hash_name,
                           const ReportError& report);

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_VALIDATOR_H_
