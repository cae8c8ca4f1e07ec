#ifndef POMELOSPAR_LIBRARIES_HTTP_BUFFER_H_
#define POMELOSPAR_LIBRARIES_HTTP_BUFFER_H_

#include <string>

namespace pomelospar::http {

/// Empties the buffer and frees its memory. Assigning an empty string would keep the memory.
inline void ReleaseBuffer(std::string& buffer) { std::string().swap(buffer); }

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_BUFFER_H_
