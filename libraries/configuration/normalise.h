#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_NORMALISE_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_NORMALISE_H_

#include "libraries/configuration/configuration.h"

namespace pomelospar::configuration {

/// Sets the identifiers from the names and sorts items by name and runners by address, so that
/// equal configurations compare and serialise equally, independent of the order in the document.
void Normalise(Configuration& configuration);

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_NORMALISE_H_
