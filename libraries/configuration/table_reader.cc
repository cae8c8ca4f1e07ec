#include "libraries/configuration/table_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <array>
#include <utility>

namespace pomelospar::configuration {
namespace {

const Node& EmptyTable() {
  static const Node empty = [] {
    Node node;
    node.kind = NodeKind::kTable;
    node.line = [] { return 1U; };
    return node;
  }();
  return empty;
}

/// True for keys under which operators of other systems store secrets.
bool NamesASecret(std::string_view key) {
  constexpr std::array<std::string_view, 8> kNames = {"key",    "keys",     "api_key", "api_keys",
                                                      "secret", "password", "token",   "key_hash"};
  for (const auto name : kNames) {
    if (key == name) {
      return true;
    }
  }
  return false;
}

}  // namespace

TableReader::TableReader(const Node& table, std::string path, DiagnosticList& diagnostics)
    : table(&table), path(std::move(path)), diagnostics(&diagnostics) {}

std::string TableReader::PathOf(const std::string& key) const {
  return this->path.empty() ? key : this->path + "." + key;
}

void TableReader::Report(const std::string& key, std::string message, std::string remedy) {
  const auto member = this->table->members.find(key);
  const auto line =
      member == this->table->members.end() ? this->table->line() : member->second.line();
  this->diagnostics->Add(line, this->PathOf(key), std::move(message), std::move(remedy));
}

void TableReader::ReportItem(const std::string& key, std::size_t position,
                             const std::string& inner_key, std::string message,
                             std::string remedy) {
  const auto& item = this->table->members.at(key).items.at(position);
  const auto item_path = fmt::format("{}[{}]", this->PathOf(key), position);
  if (inner_key.empty()) {
    this->diagnostics->Add(item.line(), item_path, std::move(message), std::move(remedy));
    return;
  }
  TableReader(item, item_path, *this->diagnostics)
      .Report(inner_key, std::move(message), std::move(remedy));
}

const Node* TableReader::Find(const std::string& key, Presence presence) {
  this->known.insert(key);
  const auto member = this->table->members.find(key);
  if (member != this->table->members.end()) {
    return &member->second;
  }
  if (presence == Presence::kRequired) {
    this->Report(key, "is missing", fmt::format("add `{}`", key));
  }
  return nullptr;
}

const Node* TableReader::Find(const std::string& key, Presence presence, NodeKind kind,
                              std::string_view expectation) {
  const auto* node = this->Find(key, presence);
  if (node != nullptr && node->kind != kind) {
    this->Report(key, "has the wrong type", fmt::format("write {}", expectation));
    return nullptr;
  }
  return node;
}

std::string TableReader::String(const std::string& key, Presence presence, std::string fallback) {
  const auto* node = this->Find(key, presence, NodeKind::kString, "a string in quotes");
  if (node == nullptr) {
    return fallback;
  }
  if (node->text.empty()) {
    this->Report(key, "is empty", "write a value or remove the key");
    return fallback;
  }
  return node->text;
}

double TableReader::Number(const std::string& key, double fallback, double minimum,
                           double maximum) {
  const auto* node = this->Find(key, Presence::kOptional);
  if (node == nullptr) {
    return fallback;
  }
  const auto remedy = fmt::format("write a number from {} to {}", minimum, maximum);
  if (node->kind != NodeKind::kInteger && node->kind != NodeKind::kFloat) {
    this->Report(key, "has the wrong type", remedy);
    return fallback;
  }
  const auto value =
      node->kind == NodeKind::kInteger ? static_cast<double>(node->integer) : node->number;
  // The negated form also refuses NaN.
  if (!(value >= minimum && value <= maximum)) {
    this->Report(key, "is out of range", remedy);
    return fallback;
  }
  return value;
}

std::uint64_t TableReader::Integer(const std::string& key, std::uint64_t fallback,
                                   std::uint64_t minimum, std::uint64_t maximum) {
  const auto expectation = fmt::format("a whole number from {} to {}", minimum, maximum);
  const auto* node = this->Find(key, Presence::kOptional, NodeKind::kInteger, expectation);
  if (node == nullptr) {
    return fallback;
  }
  if (node->integer < 0 || static_cast<std::uint64_t>(node->integer) < minimum ||
      static_cast<std::uint64_t>(node->integer) > maximum) {
    this->Report(key, "is out of range", "write " + expectation);
    return fallback;
  }
  return static_cast<std::uint64_t>(node->integer);
}

bool TableReader::Boolean(const std::string& key, bool fallback) {
  const auto* node =
      this->Find(key, Presence::kOptional, NodeKind::kBoolean, "`true` or `false` without quotes");
  return node == nullptr ? fallback : node->boolean;
}

std::chrono::milliseconds TableReader::Duration(const std::string& key,
                                                std::chrono::milliseconds fallback,
                                                std::chrono::milliseconds minimum) {
  constexpr std::string_view kExpectation =
      R"(a duration as a string with the unit ms, s, m or h, for example "30s")";
  const auto* node = this->Find(key, Presence::kOptional, NodeKind::kString, kExpectation);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = ParseDuration(node->text);
  if (!value) {
    this->Report(key, "is not a duration", fmt::format("write {}", kExpectation));
    return fallback;
  }
  if (*value < minimum) {
    this->Report(key, "is out of range", fmt::format("write at least \"{}ms\"", minimum.count()));
    return fallback;
  }
  return *value;
}

std::size_t TableReader::Size(const std::string& key, std::size_t fallback, std::size_t minimum) {
  constexpr std::string_view kExpectation =
      R"(a size as a string with the unit B, KiB, MiB or GiB, for example "4MiB")";
  const auto* node = this->Find(key, Presence::kOptional, NodeKind::kString, kExpectation);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = ParseSize(node->text);
  if (!value) {
    this->Report(key, "is not a size", fmt::format("write {}", kExpectation));
    return fallback;
  }
  if (*value < minimum) {
    this->Report(key, "is out of range", fmt::format("write at least \"{}B\"", minimum));
    return fallback;
  }
  return *value;
}

std::string TableReader::Address(const std::string& key, Presence presence, PortRule rule,
                                 std::string fallback) {
  auto text = this->String(key, presence);
  if (text.empty()) {
    return fallback;
  }
  if (!IsAddress(text, rule)) {
    this->Report(key, "is not an address",
                 R"(write "ip:port" with an IP address, for example "127.0.0.1:8080")");
    return fallback;
  }
  return text;
}

std::vector<std::string> TableReader::Strings(const std::string& key, Presence presence) {
  const auto* node =
      this->Find(key, presence, NodeKind::kArray, R"(an array of strings, for example ["a", "b"])");
  std::vector<std::string> strings;
  if (node == nullptr) {
    return strings;
  }
  if (node->items.empty() && presence == Presence::kRequired) {
    this->Report(key, "is empty", "name at least one");
  }
  for (std::size_t index = 0; index < node->items.size(); ++index) {
    const auto& item = node->items[index];
    if (item.kind != NodeKind::kString || item.text.empty()) {
      this->diagnostics->Add(item.line(), fmt::format("{}[{}]", this->PathOf(key), index),
                             "is not a non-empty string", "write a string in quotes");
    }
    strings.push_back(item.text);
  }
  return strings;
}

std::vector<TableReader> TableReader::Tables(const std::string& key, Presence presence) {
  const auto* node = this->Find(key, presence, NodeKind::kArray,
                                fmt::format("one `[[{}]]` table for each item", key));
  std::vector<TableReader> tables;
  if (node == nullptr) {
    return tables;
  }
  if (node->items.empty() && presence == Presence::kRequired) {
    this->Report(key, "is empty", "declare at least one");
  }
  for (std::size_t index = 0; index < node->items.size(); ++index) {
    const auto& item = node->items[index];
    const auto item_path = fmt::format("{}[{}]", this->PathOf(key), index);
    if (item.kind != NodeKind::kTable) {
      this->diagnostics->Add(item.line(), item_path, "is not a table",
                             "write a table, for example { name = \"value\" }");
    }
    tables.emplace_back(item, item_path, *this->diagnostics);
  }
  return tables;
}

TableReader TableReader::Table(const std::string& key) {
  const auto* node =
      this->Find(key, Presence::kOptional, NodeKind::kTable, fmt::format("a table `[{}]`", key));
  return {node == nullptr ? EmptyTable() : *node, this->PathOf(key), *this->diagnostics};
}

void TableReader::Finish() {
  for (const auto& [key, node] : this->table->members) {
    if (this->known.contains(key)) {
      continue;
    }
    if (NamesASecret(key)) {
      this->Report(key, "would store a secret in plain text",
                   "remove it, revoke that key, and list the output of `pomelosparctl hash-key` in "
                   "`key_hashes`");
      continue;
    }
    this->Report(key, "is unknown",
                 fmt::format("remove it or use one of: {}", fmt::join(this->known, ", ")));
  }
}

}  // namespace pomelospar::configuration
