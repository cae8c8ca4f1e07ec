#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_SECTIONS_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_SECTIONS_H_

#include <map>
#include <string>
#include <vector>

#include "libraries/configuration/configuration.h"
#include "libraries/core/result.h"

namespace pomelospar::configuration {

/// Section names ("workspace/NAME", "upstream/NAME", "route/NAME", "class/NAME", "limits") and
/// their canonical JSON: sorted keys, no white space.
using SectionMap = std::map<std::string, std::string>;

SectionMap ToSections(const Configuration& configuration);

/// The configuration of a whole set of sections, with generation 0. Unknown JSON keys are ignored,
/// so that a newer router may add some. Errors: `kMalformed` for invalid JSON, for a missing
/// "limits" and for sections that do not fit together.
core::Result<Configuration> FromSections(const SectionMap& sections);

enum class ChangeKind { kAdded, kChanged, kRemoved };

struct SectionChange {
  std::string name;
  ChangeKind kind = ChangeKind::kChanged;
  /// The new canonical JSON of the section; empty if it was removed.
  std::string json;

  bool operator==(const SectionChange&) const = default;
};

/// The changes that lead from `before` to `after`, in the order of the section names.
std::vector<SectionChange> Diff(const SectionMap& before, const SectionMap& after);

/// Applies changes to a set of sections.
SectionMap ApplyChanges(SectionMap sections, const std::vector<SectionChange>& changes);

/// Human-readable lines, such as "~ workspace/pine: /share 1.0 -> 2.0". Key hashes are not shown.
std::vector<std::string> Summarise(const SectionMap& before,
                                   const std::vector<SectionChange>& changes);

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_SECTIONS_H_
