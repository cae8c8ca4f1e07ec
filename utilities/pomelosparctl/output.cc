#include "utilities/pomelosparctl/output.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomelospar::pomelosparctl {
namespace {

using nlohmann::json;

std::string JoinRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t index = 0; index < cells.size(); ++index) {
    line += fmt::format("{:<{}}", cells[index], widths[index] + 2);
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

}  // namespace

std::string Dump(const json& value) {
  constexpr int kIndentation = 2;
  return value.dump(kIndentation, ' ', false, json::error_handler_t::replace);
}

std::string Cell(const json& value) {
  if (value.is_null()) {
    return "-";
  }
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_number_float()) {
    return fmt::format("{:.3f}", value.get<double>());
  }
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string FormatTable(const std::vector<Column>& columns, const json& rows) {
  std::vector<std::vector<std::string>> lines(1);
  for (const auto& column : columns) {
    lines[0].emplace_back(column.heading);
  }
  for (const auto& row : rows) {
    auto& line = lines.emplace_back();
    for (const auto& column : columns) {
      const std::string key(column.key);
      line.push_back(row.is_object() && row.contains(key) ? Cell(row.at(key)) : "-");
    }
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t index = 0; index < line.size(); ++index) {
      widths[index] = std::max(widths[index], line[index].size());
    }
  }
  std::string text;
  for (const auto& line : lines) {
    text += JoinRow(line, widths);
  }
  return text;
}

std::string FormatFields(const json& object) {
  const auto flat = object.flatten();
  json rows = json::array();
  for (const auto& [path, value] : flat.items()) {
    auto key = path.empty() ? path : path.substr(1);
    std::replace(key.begin(), key.end(), '/', '.');
    rows.push_back({{"key", key}, {"value", value}});
  }
  return FormatTable({{"FIELD", "key"}, {"VALUE", "value"}}, rows);
}

json ToJson(const std::vector<configuration::Diagnostic>& diagnostics) {
  json list = json::array();
  for (const auto& diagnostic : diagnostics) {
    list.push_back({{"file", diagnostic.file},
                    {"line", diagnostic.line},
                    {"key", diagnostic.key},
                    {"message", diagnostic.message},
                    {"remedy", diagnostic.remedy}});
  }
  return list;
}

}  // namespace pomelospar::pomelosparctl
