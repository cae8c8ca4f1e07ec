#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_CHANGES_ASSEMBLER_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_CHANGES_ASSEMBLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libraries/wire/control.pb.h"

namespace pomelospar::configuration {

/// Joins the parts of `ConfigurationChanges`, which may be lost, repeated or out of order. Holds at
/// most one unfinished set for each of a few peers.
class ChangesAssembler {
 public:
  /// The joined changes once all parts of one set from this peer are there.
  std::optional<wire::ConfigurationChanges> Add(const std::string& peer,
                                                const wire::ConfigurationChanges& part);

 private:
  using Parts = std::map<std::uint32_t, wire::ConfigurationChanges>;

  std::map<std::string, Parts> unfinished;
};

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CHANGES_ASSEMBLER_H_
