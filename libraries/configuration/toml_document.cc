#include "libraries/configuration/toml_document.h"

#include <algorithm>
#include <exception>
#include <memory>
#include <sstream>
#include <toml.hpp>
#include <utility>

namespace pomelospar::configuration {
namespace {

// toml11 parses and destroys nested values recursively; deeper documents could exhaust the stack.
constexpr std::size_t kMaximumNesting = 32;
// A fleet of the target size (670 workspaces, 1,800 runners) takes about 400 KB.
constexpr std::size_t kMaximumDocumentBytes = 8 * 1024 * 1024;

/// Follows the lexical structure of TOML just far enough to measure nesting outside of strings and
/// comments. Lines count from 1.
class NestingScanner {
 public:
  explicit NestingScanner(std::string_view document) : rest(document) {}

  /// The line where the nesting limit is exceeded, or 0.
  std::uint32_t Scan() {
    while (!this->rest.empty()) {
      this->Step();
      if (this->depth > kMaximumNesting || this->dots > kMaximumNesting) {
        return this->line;
      }
    }
    return 0;
  }

 private:
  void Advance(std::size_t count) {
    const auto skipped = this->rest.substr(0, count);
    this->line += static_cast<std::uint32_t>(std::count(skipped.begin(), skipped.end(), '\n'));
    this->rest.remove_prefix(skipped.size());
  }

  void Step() {
    const char first = this->rest.front();
    switch (first) {
      case '#':
        return this->Advance(std::min(this->rest.find('\n'), this->rest.size()));
      case '"':
      case '\'':
        return this->SkipString(first);
      case '[':
      case '{':
        ++this->depth;
        this->dots = 0;
        break;
      case ']':
      case '}':
        this->depth -= this->depth > 0 ? 1 : 0;
        break;
      case '.':
        ++this->dots;
        break;
      case '=':
      case ',':
      case '\n':
        this->dots = 0;
        break;
      default:
        break;
    }
    this->Advance(1);
  }

  void SkipString(char quote) {
    const std::string triple(3, quote);
    const bool multiline = this->rest.starts_with(triple);
    const std::string_view delimiter =
        multiline ? std::string_view(triple) : std::string_view(triple).substr(0, 1);
    this->Advance(delimiter.size());
    while (!this->rest.empty() && !this->rest.starts_with(delimiter)) {
      if (!multiline && this->rest.front() == '\n') {
        return;
      }
      this->Advance(quote == '"' && this->rest.front() == '\\' ? 2 : 1);
    }
    this->Advance(delimiter.size());
  }

  std::string_view rest;
  std::size_t depth = 0;
  std::size_t dots = 0;
  std::uint32_t line = 1;
};

using Value = toml::basic_value<toml::discard_comments, std::map, std::vector>;

Node Convert(const std::shared_ptr<const Value>& owner, const Value& value) {
  Node node;
  node.line = [owner, &value] { return static_cast<std::uint32_t>(value.location().line()); };
  switch (value.type()) {
    case toml::value_t::table:
      node.kind = NodeKind::kTable;
      for (const auto& [key, member] : value.as_table()) {
        node.members.emplace(key, Convert(owner, member));
      }
      break;
    case toml::value_t::array:
      node.kind = NodeKind::kArray;
      for (const auto& item : value.as_array()) {
        node.items.push_back(Convert(owner, item));
      }
      break;
    case toml::value_t::string:
      node.kind = NodeKind::kString;
      node.text = value.as_string().str;
      break;
    case toml::value_t::integer:
      node.kind = NodeKind::kInteger;
      node.integer = value.as_integer();
      break;
    case toml::value_t::floating:
      node.kind = NodeKind::kFloat;
      node.number = value.as_floating();
      break;
    case toml::value_t::boolean:
      node.kind = NodeKind::kBoolean;
      node.boolean = value.as_boolean();
      break;
    default:
      break;
  }
  return node;
}

/// The first line of the library's message without its "[error]" prefix. The rest quotes the
/// document, which may contain a secret.
std::string Summary(std::string_view what) {
  auto line = what.substr(0, what.find('\n'));
  const auto prefix = line.find("] ");
  if (line.starts_with("[") && prefix != std::string_view::npos) {
    line.remove_prefix(prefix + 2);
  }
  return std::string(line);
}

}  // namespace

std::optional<Node> ParseToml(std::string_view document, const std::string& file,
                              DiagnosticList& diagnostics) {
  if (document.size() > kMaximumDocumentBytes) {
    diagnostics.Add(1, "", "the document is larger than 8 MiB", "remove what is not configuration");
    return std::nullopt;
  }
  if (const auto line = NestingScanner(document).Scan(); line != 0) {
    diagnostics.Add(line, "", "values or dotted keys are nested more than 32 levels deep",
                    "no table of this document needs more than 4 levels; check the brackets");
    return std::nullopt;
  }
  try {
    std::istringstream stream{std::string(document)};
    const auto root = std::make_shared<const Value>(
        toml::parse<toml::discard_comments, std::map, std::vector>(stream, file));
    auto node = Convert(root, *root);
    // The library gives the root table no position.
    node.line = [] { return 1U; };
    return node;
  } catch (const toml::exception& error) {
    diagnostics.Add(static_cast<std::uint32_t>(error.location().line()), "",
                    "TOML syntax error: " + Summary(error.what()), "correct the syntax");
  } catch (const std::exception& error) {
    diagnostics.Add(1, "", "TOML syntax error: " + Summary(error.what()), "correct the syntax");
  }
  return std::nullopt;
}

}  // namespace pomelospar::configuration
