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

/// A section, or a tombstone of a removed section, with the generation that changed it last.
struct HeldSection {
  std::string json;
  std::uint64_t generation = 0;
  bool removed = false;
};

/// One generation of the configuration, and the data that is needed to send it to other routers.
/// Immutable once it is shared through a `HeldPointer`.
struct HeldConfiguration {
  std::uint64_t generation = 0;
  std::string apply_identifier;
  std::map<std::string, HeldSection> sections;
  /// All removals after this generation are known. Routers that hold an older generation are sent
  /// all sections.
  std::uint64_t oldest_known_base = 0;
  Configuration configuration;
};

using HeldPointer = std::shared_ptr<const HeldConfiguration>;

/// The sections that are not removed.
SectionMap LiveSections(const HeldConfiguration& held);

/// Applies `changes` to `base`, or to an empty configuration if `base` is null. May run on any
/// thread.
/// Errors: `kInvalidArgument` if the changes are not newer than `base`, `kConflict` if they start
/// from a generation after `base`, `kMalformed` if they give no valid configuration.
core::Result<HeldPointer> Advance(const HeldPointer& base,
                                  const wire::ConfigurationChanges& changes);

/// The changes from `generation` to `held`, split into parts of about `part_bytes`. Returns one
/// part without sections if `generation` is not older than `held`.
std::vector<wire::ConfigurationChanges> ChangesSince(const HeldConfiguration& held,
                                                     std::uint64_t generation,
                                                     std::size_t part_bytes);

/// The configuration that a router holds. It is replaced by higher generations only.
class ConfigurationStore {
 public:
  /// 0 before the first generation is adopted.
  std::uint64_t generation() const;
  /// Null before the first generation is adopted.
  HeldPointer held() const { return this->current; }
  std::shared_ptr<const Configuration> configuration() const;

  /// Replaces the held configuration if `next` has a higher generation; returns whether it did.
  bool Adopt(HeldPointer next);
  /// `Advance` and `Adopt` in one step. Returns whether the changes were newer; after an
  /// error the store is unchanged.
  core::Result<bool> Adopt(const wire::ConfigurationChanges& changes);

 private:
  HeldPointer current;
};

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_CONFIGURATION_STORE_H_
