#ifndef POMELOSPAR_LIBRARIES_CONFIGURATION_DIAGNOSTIC_H_
#define POMELOSPAR_LIBRARIES_CONFIGURATION_DIAGNOSTIC_H_

#include <cstdint>
#include <string>
#include <vector>

namespace pomelospar::configuration {

/// One error in a document. Values that may be an API key are never quoted.
struct Diagnostic {
  std::string file;
  /// Counted from 1.
  std::uint32_t line = 0;
  /// Path of the key, for example "workspace[2].share"; indices count from 0.
  std::string key;
  std::string message;
  /// What the operator should change.
  std::string remedy;

  bool operator==(const Diagnostic&) const = default;
};

/// "FILE:LINE: KEY: MESSAGE; REMEDY".
std::string FormatDiagnostic(const Diagnostic& diagnostic);

/// The errors of one document in the order of their lines.
class DiagnosticList {
 public:
  explicit DiagnosticList(std::string file) : file(std::move(file)) {}

  void Add(std::uint32_t line, std::string key, std::string message, std::string remedy);
  bool empty() const { return this->items.empty(); }
  /// All errors, sorted by line.
  std::vector<Diagnostic> Take();

 private:
  std::string file;
  std::vector<Diagnostic> items;
};

}  // namespace pomelospar::configuration

#endif  // POMELOSPAR_LIBRARIES_CONFIGURATION_DIAGNOSTIC_H_
