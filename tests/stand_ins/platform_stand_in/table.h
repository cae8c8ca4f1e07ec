#ifndef POMELOSPAR_TESTS_STAND_INS_PLATFORM_STAND_IN_TABLE_H_
#define POMELOSPAR_TESTS_STAND_INS_PLATFORM_STAND_IN_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/platform/platform_client.h"

namespace pomelospar::stand_in {

/// The rows of the emulated table service, in memory.
class Table {
 public:
  /// Takes effect all or not at all.
  platform::TransactionResult Commit(const platform::Transaction& transaction);
  std::optional<platform::Row> Read(const std::string& key) const;
  std::vector<platform::Row> Scan(const std::string& prefix, const std::string& after,
                                  std::size_t limit) const;
  std::size_t size() const { return this->rows.size(); }

 private:
  platform::Row RowOrAbsent(const std::string& key) const;

  std::map<std::string, platform::Row> rows;
};

}  // namespace pomelospar::stand_in

#endif  // POMELOSPAR_TESTS_STAND_INS_PLATFORM_STAND_IN_TABLE_H_
