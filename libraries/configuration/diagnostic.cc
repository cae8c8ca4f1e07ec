#include "libraries/configuration/diagnostic.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelospar::configuration {

std::string FormatDiagnostic(const Diagnostic& diagnostic) {
  const auto key = diagnostic.key.empty() ? std::string() : diagnostic.key + ": ";
  return fmt::format("{}:{}: {}{}; {}", diagnostic.file, diagnostic.line, key, diagnostic.message,
                     diagnostic.remedy);
}

void DiagnosticList::Add(std::uint32_t line, std::string key, std::string message,
                         std::string remedy) {
  this->items.push_back({this->file, line, std::move(key), std::move(message), std::move(remedy)});
}

std::vector<Diagnostic> DiagnosticList::Take() {
  std::stable_sort(this->items.begin(), this->items.end(),
                   [](const auto& left, const auto& right) { return left.line < right.line; });
  return std::move(this->items);
}

}  // namespace pomelospar::configuration
