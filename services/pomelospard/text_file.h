#ifndef POMELOSPAR_SERVICES_POMELOSPARD_TEXT_FILE_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_TEXT_FILE_H_

#include <string>

#include "libraries/core/result.h"

namespace pomelospar::daemon {

/// The content of a file. Errors: `kNotFound`.
core::Result<std::string> ReadTextFile(const std::string& path);

/// A secret from a file, without white space around it. Errors: `kNotFound`, `kInvalidArgument` if
/// the file is empty.
core::Result<std::string> ReadSecretFile(const std::string& path);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_TEXT_FILE_H_
