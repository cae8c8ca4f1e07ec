#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_TABLE_READER_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_TABLE_READER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/configuration/diagnostic.h"
#include "libraries/configuration/toml_document.h"
#include "libraries/configuration/units.h"

namespace pomelospar::configuration {

enum class Presence { kOptional, kRequired };

/// Reads the keys of one table and adds a diagnostic for each key that is missing, has a wrong type
/// or unit, or is unknown. For a key with an error the fallback is returned, so that one pass finds
/// all errors.
class TableReader {
 public:
  /// `table` and `diagnostics` must outlive the reader.
  TableReader(const Node& table, std::string path, DiagnosticList& diagnostics);

  std::string String(const std::string& key, Presence presence, std::string fallback = {});
  double Number(const std::string& key, double fallback, double minimum, double maximum);
  std::uint64_t Integer(const std::string& key, std::uint64_t fallback, std::uint64_t minimum,
                        std::uint64_t maximum);
  bool Boolean(const std::string& key, bool fallback);
  std::chrono::milliseconds Duration(const std::string& key, std::chrono::milliseconds fallback,
                                     std::chrono::milliseconds minimum);
  std::size_t Size(const std::string& key, std::size_t fallback, std::size_t minimum);
  /// "ip:port".
  std::string Address(const std::string& key, Presence presence, PortRule rule,
                      std::string fallback = {});
  /// An item of a wrong type becomes an empty string, so that the positions of the others are kept.
  std::vector<std::string> Strings(const std::string& key, Presence presence);
  /// One reader for each table of an array of tables.
  std::vector<TableReader> Tables(const std::string& key, Presence presence);
  /// A reader of the table, which is empty if the key is absent.
  TableReader Table(const std::string& key);

  /// Adds a diagnostic at a key of this table, or at the table if the key is absent.
  void Report(const std::string& key, std::string message, std::string remedy);
  /// Adds a diagnostic at an item of an array, or at a key of the table that this item is.
  void ReportItem(const std::string& key, std::size_t position, const std::string& inner_key,
                  std::string message, std::string remedy);
  /// Reports the keys that were not read.
  void Finish();

 private:
  const Node* Find(const std::string& key, Presence presence);
  const Node* Find(const std::string& key, Presence presence, NodeKind kind,
                   std::string_view expectation);
  std::string PathOf(const std::string& key) const;

  const Node* table;
  std::string path;
  DiagnosticList* diagnostics;
  std::set<std::string> known;
};

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_TABLE_READER_H_
