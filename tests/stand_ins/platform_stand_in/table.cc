#include "tests/stand_ins/platform_stand_in/table.h"

#include <algorithm>

namespace pomelospar::stand_in {

platform::Row Table::RowOrAbsent(const std::string& key) const {
  const auto found = this->rows.find(key);
  if (found != this->rows.end()) return found->second;
  platform::Row absent;
  absent.key = key;
  return absent;
}

platform::TransactionResult Table::Commit(const platform::Transaction& transaction) {
  platform::TransactionResult result;
  result.committed =
      std::all_of(transaction.writes.begin(), transaction.writes.end(), [&](const auto& write) {
        return !write.expected_version ||
               *write.expected_version == this->RowOrAbsent(write.key).version;
      });
  if (result.committed) {
    for (const auto& write : transaction.writes) {
      auto& row = this->rows[write.key];
      row.key = write.key;
      row.value = write.value;
      ++row.version;
    }
  }
  for (const auto& write : transaction.writes) {
    result.rows.push_back(this->RowOrAbsent(write.key));
  }
  return result;
}

std::optional<platform::Row> Table::Read(const std::string& key) const {
  const auto found = this->rows.find(key);
  if (found == this->rows.end()) return std::nullopt;
  return found->second;
}

std::vector<platform::Row> Table::Scan(const std::string& prefix, const std::string& after,
                                       std::size_t limit) const {
  std::vector<platform::Row> found;
  auto row = after < prefix ? this->rows.lower_bound(prefix) : this->rows.upper_bound(after);
  for (; row != this->rows.end() && found.size() < limit; ++row) {
    if (row->first.compare(0, prefix.size(), prefix) != 0) break;
    found.push_back(row->second);
  }
  return found;
}

}  // namespace pomelospar::stand_in
