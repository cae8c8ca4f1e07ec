#ifndef POMELOSPAR_LIBRARIES_ADMISSION_AUTHENTICATOR_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_AUTHENTICATOR_H_

#include <string_view>
#include <vector>

#include "libraries/admission/digest.h"
#include "libraries/configuration/configuration.h"
#include "libraries/core/result.h"

namespace pomelospar::admission {

/// Maps API keys to workspaces. Immutable; a new one is created for each configuration generation.
class Authenticator {
 public:
  /// Errors: `kInvalidArgument` if a key hash is not 64 hexadecimal digits or if two workspaces
  /// declare the same hash.
  static core::Result<Authenticator> Create(const configuration::Configuration& configuration);

  /// Returns the workspace whose key the caller sent. The key is taken from `Authorization: Bearer
  /// KEY`, or from `X-Api-Key` if `authorization_header` is empty. Pass an empty view for an absent
  /// header. Every declared hash is compared in constant time, so the duration does not reveal
  /// which key matches or how many bytes of it do.
  /// Errors: `kUnauthorized` if the key is absent or unknown or the scheme is not Bearer; the
  /// caller answers it with status 401.
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
