#ifndef POMELOSPAR_LIBRARIES_CORE_TEXT_FILE_H_
#define POMELOSPAR_LIBRARIES_CORE_TEXT_FILE_H_

#include <string>

#include "libraries/core/result.h"

namespace pomelospar::core {

/// Reads a whole file. Errors: `kNotFound`.
Result<std::string> ReadTextFile(const std::string& path);

/// Reads a secret from a file and removes the white space around it. Errors: `kNotFound`,
/// `kInvalidArgument` if the file is empty.
Result<std::string> ReadSecretFile(const std::string& path);

}  // namespace pomelospar::core

#endif  // POMELOSPAR_LIBRARIES_CORE_TEXT_FILE_H_
