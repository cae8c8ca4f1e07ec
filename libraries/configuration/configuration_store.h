#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_STORE_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libraries/configuration/configuration.h"
#include "libraries/configuration/sections.h"
#include "libraries/core/result.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::configuration {

/// A section, or the memory that it was removed, with the generation that changed it last.
struct HeldSection {
  std::string json;
  std::uint64_t generation = 0;
  bool removed = false;
};

/// One generation of the configuration with what is needed to send it on; immutable.
struct HeldConfiguration {
  std::uint64_t generation = 0;
  std::string apply_identifier;
  std::map<std::string, HeldSection> sections;
  /// Removals are known for changes since this generation; older routers get everything.
  std::uint64_t oldest_known_base = 0;
  Configuration configuration;
};

using HeldPointer = std::shared_ptr<const HeldConfiguration>;

/// The sections that exist.
SectionMap LiveSections(const HeldConfiguration& held);

/// The generation that `changes` lead to from `base` (null: from nothing). May run on any thread.
/// Errors: `kInvalidArgument` if the changes are not newer than `base`, `kConflict` if they start
/// from a generation after `base`, `kMalformed` if they give no valid configuration.
core::Result<HeldPointer> Advance(const HeldPointer& base,
                                  const wire::ConfigurationChanges& changes);

/// What leads from `generation` to `held`, in parts of about `part_bytes`; one part without
/// sections if `generation` is not older.
std::vector<wire::ConfigurationChanges> ChangesSince(const HeldConfiguration& held,
                                                     std::uint64_t generation,
                                                     std::size_t part_bytes);

/// What a router holds. Only ever moves to higher generations.
class ConfigurationStore {
 public:
  /// 0 before the first generation is adopted.
  std::uint64_t generation() const;
  /// Null before the first generation is adopted.
  HeldPointer held() const { return this->current; }
  std::shared_ptr<const Configuration> configuration() const;

  /// True if the generation was higher and is now in force.
  bool Adopt(HeldPointer next);
  /// `Advance` and `Adopt` in one step. Returns whether the changes were newer; on errors nothing
  /// changes.
  core::Result<bool> Adopt(const wire::ConfigurationChanges& changes);

 private:
  HeldPointer current;
};

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_STORE_H_
