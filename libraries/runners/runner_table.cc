#include "libraries/runners/runner_table.h"

#include <algorithm>
#include <utility>

namespace pomelospar::runners {

void RunnerTable::SetConfiguration(const configuration::Configuration& configuration) {
  this->upstreams.clear();
  this->declared.clear();
  for (const auto& upstream : configuration.upstreams) {
    this->upstreams.emplace(upstream.name, upstream.id);
    for (const auto& runner : upstream.runners) {
      this->declared.push_back(RunnerEntry{
          .id = runner.id,
          .address = runner.address,
          .upstream = upstream.id,
          .domain = runner.domain_id,
          .slots = runner.slots,
          .incarnation = {},
      });
    }
  }
  this->Rebuild();
}

std::vector<LeavingRunner> RunnerTable::ApplyInstances(const platform::InstanceChanges& changes) {
  if (changes.complete) {
    this->instances.clear();
  }
  for (const auto& address : changes.removed_addresses) {
    this->instances.erase(address);
  }
  std::vector<LeavingRunner> leaving;
  for (const auto& instance : changes.changed) {
    this->instances.insert_or_assign(instance.address, instance);
    if (instance.status == platform::InstanceStatus::kLeaving) {
      leaving.push_back({instance.address, instance.incarnation});
    }
    if (!instance.incarnation.empty()) {
      this->incarnations.insert_or_assign(core::IdOf<core::RunnerId>(instance.address),
                                          instance.incarnation);
    }
  }
  this->Rebuild();
  return leaving;
}

bool RunnerTable::SetIncarnation(core::RunnerId id, std::string_view incarnation) {
  const auto found = this->runners.find(id);
  if (found == this->runners.end() || found->second.incarnation == incarnation) {
    return false;
  }
  found->second.incarnation = incarnation;
  this->incarnations.insert_or_assign(id, std::string(incarnation));
  return true;
}

const RunnerEntry* RunnerTable::Find(core::RunnerId id) const {
  const auto found = this->runners.find(id);
  return found == this->runners.end() ? nullptr : &found->second;
}

std::vector<const RunnerEntry*> RunnerTable::OfPool(core::UpstreamId upstream,
                                                    core::DomainId domain) const {
  std::vector<const RunnerEntry*> pool;
  for (const auto& [id, entry] : this->runners) {
    if (entry.upstream == upstream && entry.domain == domain) {
      pool.push_back(&entry);
    }
  }
  std::sort(pool.begin(), pool.end(),
            [](const RunnerEntry* a, const RunnerEntry* b) { return a->id < b->id; });
  return pool;
}

std::vector<core::DomainId> RunnerTable::DomainsOf(core::UpstreamId upstream) const {
  std::vector<core::DomainId> domains;
  for (const auto& [id, entry] : this->runners) {
    if (entry.upstream == upstream) {
      domains.push_back(entry.domain);
    }
  }
  std::sort(domains.begin(), domains.end());
  domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
  return domains;
}

void RunnerTable::Rebuild() {
  this->runners.clear();
  for (const auto& entry : this->declared) {
    this->Insert(entry);
  }
  for (const auto& [address, instance] : this->instances) {
    const auto upstream = this->upstreams.find(instance.role);
    if (upstream == this->upstreams.end()) {
      continue;
    }
    this->Insert(RunnerEntry{
        .id = core::IdOf<core::RunnerId>(address),
        .address = address,
        .upstream = upstream->second,
        .domain = core::IdOf<core::DomainId>(instance.domain),
        .slots = instance.slots,
        .incarnation = {},
    });
  }
  std::erase_if(this->incarnations,
                [this](const auto& item) { return !this->runners.contains(item.first); });
  this->table_version += 1;
}

void RunnerTable::Insert(RunnerEntry entry) {
  const auto incarnation = this->incarnations.find(entry.id);
  if (incarnation != this->incarnations.end()) {
    entry.incarnation = incarnation->second;
  }
  // Declared runners are inserted first, and `emplace` keeps them, so they take precedence over
  // entries of the instance list with the same address.
  this->runners.emplace(entry.id, std::move(entry));
}

}  // namespace pomelospar::runners
