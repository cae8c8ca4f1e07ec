#ifndef POMELOSPAR_LIBRARIES_ADMISSION_AUTHENTICATOR_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_AUTHENTICATOR_H_

#include <string_view>
#include <vector>

#include "libraries/admission/digest.h"
#include "libraries/configuration/configuration.h"
#include "libraries/core/result.h"

namespace pomelospar::admission {

/// Finds the workspace of an API key. Built anew for each generation of the configuration.
class Authenticator {
 public:
  /// Fails with `kInvalidArgument` if a key hash is not 64 hexadecimal digits or is declared by two
  /// workspaces.
  static core::Result<Authenticator> Create(const configuration::Configuration& configuration);

  /// The workspace of the key in the header `Authorization: Bearer KEY`, or else in `X-Api-Key`.
  /// An absent header is an empty view. Every declared key is compared in full, so the time taken
  /// does not depend on which key matches or how far.
  /// Errors: `kUnauthorized`, to be answered with status 401.
  core::Result<core::WorkspaceId> Authenticate(std::string_view authorization_header,
                                               std::string_view api_key_header) const;

 private:
  struct Key {
    Digest digest{};
    core::WorkspaceId workspace{};
  };
  std::vector<Key> keys;
};

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_AUTHENTICATOR_H_
