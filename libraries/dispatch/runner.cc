#include "libraries/dispatch/runner.h"

#include "libraries/core/identifiers.h"

namespace pomelospar::dispatch {

std::uint64_t HashOf(const RunnerRecord& record) {
  std::uint64_t hash = core::HashName(record.id);
  for (const auto part :
       {core::HashName(record.upstream), core::HashName(record.address),
        core::HashName(record.domain), std::uint64_t{record.slots},
        std::uint64_t{record.draining ? 1U : 0U},
        static_cast<std::uint64_t>(record.started_unix_ms), record.cold_left_ms}) {
    hash = core::CombineHashes(hash, part);
  }
  return hash;
}

}  // namespace pomelospar::dispatch
