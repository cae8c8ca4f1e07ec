#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_CHANGES_ASSEMBLER_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_CHANGES_ASSEMBLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "libraries/wire/control.pb.h"

namespace pomelospar::configuration {

/// Joins the parts of a `ConfigurationChanges` message, which may be lost, repeated or out of
/// order. Keeps at most one incomplete set of parts per peer, for at most 8 peers.
class ChangesAssembler {
 public:
  /// Adds a part. Returns the joined changes if it completes a set of this peer.
  std::optional<wire::ConfigurationChanges> Add(const std::string& peer,
                                                const wire::ConfigurationChanges& part);

 private:
  using Parts = std::map<std::uint32_t, wire::ConfigurationChanges>;

  std::map<std::string, Parts> unfinished;
};

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CHANGES_ASSEMBLER_H_
