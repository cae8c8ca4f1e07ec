#include "libraries/configuration/changes_assembler.h"

#include <utility>

namespace pomelospar::configuration {
namespace {

constexpr std::size_t kMaximumPeers = 8;
// 4,096 parts of 32 KiB are far more than the 400 KB of a configuration of the target size.
constexpr std::uint32_t kMaximumParts = 4096;

bool SameSet(const wire::ConfigurationChanges& left, const wire::ConfigurationChanges& right) {
  return left.generation() == right.generation() &&
         left.base_generation() == right.base_generation() &&
         left.apply_identifier() == right.apply_identifier() &&
         left.complete() == right.complete() && left.parts() == right.parts();
}

}  // namespace

std::optional<wire::ConfigurationChanges> ChangesAssembler::Add(
    const std::string& peer, const wire::ConfigurationChanges& part) {
  if (part.parts() <= 1) {
    return part;
  }
  if (part.parts() > kMaximumParts || part.part() >= part.parts()) {
    return std::nullopt;
  }
  if (!this->unfinished.contains(peer) && this->unfinished.size() >= kMaximumPeers) {
    this->unfinished.erase(this->unfinished.begin());
  }
  auto& parts = this->unfinished[peer];
  if (!parts.empty() && !SameSet(parts.begin()->second, part)) {
    parts.clear();
  }
  parts.emplace(part.part(), part);
  if (parts.size() < part.parts()) {
    return std::nullopt;
  }
  auto whole = std::move(parts.begin()->second);
  for (auto entry = std::next(parts.begin()); entry != parts.end(); ++entry) {
    whole.mutable_sections()->MergeFrom(entry->second.sections());
  }
  this->unfinished.erase(peer);
  whole.set_part(0);
  whole.set_parts(1);
  return whole;
}

}  // namespace pomelospar::configuration
