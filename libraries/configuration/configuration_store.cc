#include "libraries/configuration/configuration_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelospar::configuration {
namespace {

using core::ErrorKind;
using core::MakeError;

// With 8,400 changes a day, this keeps the removals of several days.
constexpr std::size_t kMaximumRemovals = 1000;

void ForgetOldRemovals(HeldConfiguration& held) {
  std::vector<std::uint64_t> generations;
  for (const auto& [name, section] : held.sections) {
    if (section.removed) {
      generations.push_back(section.generation);
    }
  }
  if (generations.size() <= kMaximumRemovals) {
    return;
  }
  std::sort(generations.begin(), generations.end());
  const auto newest_forgotten = generations[generations.size() - kMaximumRemovals - 1];
  std::erase_if(held.sections, [&](const auto& entry) {
    return entry.second.removed && entry.second.generation <= newest_forgotten;
  });
  held.oldest_known_base = std::max(held.oldest_known_base, newest_forgotten);
}

void MergeSections(const wire::ConfigurationChanges& changes, HeldConfiguration& held) {
  for (const auto& section : changes.sections()) {
    auto& entry = held.sections[section.name()];
    entry.generation = section.generation() == 0 ? changes.generation() : section.generation();
    entry.removed = section.removed();
    entry.json = section.removed() ? std::string() : section.json();
  }
}

wire::ConfigurationChanges Header(const HeldConfiguration& held, std::uint64_t base,
                                  bool complete) {
  wire::ConfigurationChanges header;
  header.set_base_generation(base);
  header.set_generation(held.generation);
  header.set_apply_identifier(held.apply_identifier);
  header.set_complete(complete);
  return header;
}

}  // namespace

SectionMap LiveSections(const HeldConfiguration& held) {
  SectionMap sections;
  for (const auto& [name, section] : held.sections) {
    if (!section.removed) {
      sections.emplace(name, section.json);
    }
  }
  return sections;
}

core::Result<HeldPointer> Advance(const HeldPointer& base,
                                  const wire::ConfigurationChanges& changes) {
  const auto base_generation = base == nullptr ? 0 : base->generation;
  if (changes.generation() <= base_generation) {
    return MakeError(ErrorKind::kInvalidArgument,
                     fmt::format("generation {} is not newer than generation {}; nothing to adopt",
                                 changes.generation(), base_generation));
  }
  // Changes that start from an older generation contain all later ones as well.
  if (!changes.complete() && changes.base_generation() > base_generation) {
    return MakeError(ErrorKind::kConflict,
                     fmt::format("the changes start from generation {}, held is {}; request them "
                                 "from the held generation",
                                 changes.base_generation(), base_generation));
  }
  auto next = std::make_shared<HeldConfiguration>();
  if (base != nullptr && !changes.complete()) {
    next->sections = base->sections;
    next->oldest_known_base = base->oldest_known_base;
  }
  if (changes.complete()) {
    next->oldest_known_base = changes.generation();
  }
  next->generation = changes.generation();
  next->apply_identifier = changes.apply_identifier();
  MergeSections(changes, *next);
  ForgetOldRemovals(*next);
  BOOST_OUTCOME_TRY(next->configuration, FromSections(LiveSections(*next)));
  next->configuration.generation = next->generation;
  return HeldPointer(std::move(next));
}

std::vector<wire::ConfigurationChanges> ChangesSince(const HeldConfiguration& held,
                                                     std::uint64_t generation,
                                                     std::size_t part_bytes) {
  const bool newer = held.generation > generation;
  const bool complete = newer && generation < held.oldest_known_base;
  std::vector<wire::ConfigurationChanges> parts = {Header(held, generation, complete)};
  std::size_t bytes = 0;
  for (const auto& [name, section] : held.sections) {
    const bool wanted = complete ? !section.removed : section.generation > generation;
    if (!newer || !wanted) {
      continue;
    }
    const auto size = name.size() + section.json.size();
    if (bytes > 0 && bytes + size > part_bytes) {
      parts.push_back(Header(held, generation, complete));
      bytes = 0;
    }
    bytes += size;
    auto* message = parts.back().add_sections();
    message->set_name(name);
    message->set_generation(section.generation);
    message->set_json(section.json);
    message->set_removed(section.removed);
  }
  for (std::size_t index = 0; index < parts.size(); ++index) {
    parts[index].set_part(static_cast<std::uint32_t>(index));
    parts[index].set_parts(static_cast<std::uint32_t>(parts.size()));
  }
  return parts;
}

std::uint64_t ConfigurationStore::generation() const {
  return this->current == nullptr ? 0 : this->current->generation;
}

std::shared_ptr<const Configuration> ConfigurationStore::configuration() const {
  if (this->current == nullptr) {
    return nullptr;
  }
  return {this->current, &this->current->configuration};
}

bool ConfigurationStore::Adopt(HeldPointer next) {
  if (next == nullptr || next->generation <= this->generation()) {
    return false;
  }
  this->current = std::move(next);
  return true;
}

core::Result<bool> ConfigurationStore::Adopt(const wire::ConfigurationChanges& changes) {
  if (changes.generation() <= this->generation()) {
    return false;
  }
  BOOST_OUTCOME_TRY(auto next, Advance(this->current, changes));
  return this->Adopt(std::move(next));
}

}  // namespace pomelospar::configuration
