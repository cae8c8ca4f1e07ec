#include "libraries/dispatch/evacuations.h"

#include "libraries/core/identifiers.h"

namespace pomelospar::dispatch {
namespace {

bool HasRoomFor(const Evacuations& evacuations, std::string_view domain) {
  auto bytes = domain.size();
  for (const auto& known : evacuations.domains) bytes += known.size();
  return evacuations.domains.size() < kMaxEvacuatedDomains && bytes <= kMaxDomainNamesBytes;
}

}  // namespace

bool IsValidDomainName(std::string_view domain) {
  return !domain.empty() && domain.size() <= kMaxDomainNameBytes;
}

Evacuations AfterRows(const Evacuations& known, std::span<const EvacuationRow> rows, bool whole,
                      StorePosition position) {
  Evacuations result;
  result.position = position;
  if (!whole) result.domains = known.domains;
  for (const auto& row : rows) {
    if (row.removed) {
      result.domains.erase(row.domain);
    } else if (IsValidDomainName(row.domain) && HasRoomFor(result, row.domain)) {
      result.domains.insert(row.domain);
    }
  }
  return result;
}

bool IsNewer(const Evacuations& other, const Evacuations& known) {
  return other.position > known.position;
}

std::uint64_t HashOf(const Evacuations& evacuations) {
  std::uint64_t hash = 0;
  for (const auto& domain : evacuations.domains) {
    hash = core::CombineHashes(hash, core::HashName(domain));
  }
  return hash;
}

}  // namespace pomelospar::dispatch
