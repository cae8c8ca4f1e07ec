#include <fmt/format.h>

#include <sstream>
#include <toml.hpp>

#include "utilities/pomelospar_load/plan/load_plan.h"

namespace pomelospar::load {
namespace {

// Thrown for an unknown key in a source. `ParseSources` catches it and returns an error.
struct UnknownKey {
  std::string name;
};

template <typename T>
T Take(toml::table& table, const char* name, T value) {
  const auto found = table.find(name);
  if (found == table.end()) {
    return value;
  }
  auto read = toml::get<T>(found->second);
  table.erase(found);
  return read;
}

double TakeNumber(toml::table& table, const char* name, double value) {
  const auto found = table.find(name);
  if (found != table.end() && found->second.is_integer()) {
    return static_cast<double>(Take<std::int64_t>(table, name, 0));
  }
  return Take<double>(table, name, value);
}

core::Result<Source> ReadSource(toml::table table, const Source& defaults) {
  Source source = defaults;
  source.rate = TakeNumber(table, "rate", table.contains("concurrency") ? 0.0 : defaults.rate);
  source.concurrency =
      Take<std::uint32_t>(table, "concurrency", source.rate > 0.0 ? 0 : defaults.concurrency);
  source.start = TakeNumber(table, "start", defaults.start);
  source.stop = TakeNumber(table, "stop", defaults.stop);
  source.callers = Take(table, "callers", defaults.callers);
  source.prompt_bytes = Take(table, "prompt_bytes", defaults.prompt_bytes);
  source.prompt_text = Take(table, "prompt_text", defaults.prompt_text);
  source.fixed_nonce = Take(table, "fixed_nonce", defaults.fixed_nonce);
  source.extra_fields = Take(table, "extra_fields", defaults.extra_fields);
  source.model = Take(table, "model", defaults.model);
  source.chat_path = Take(table, "chat_path", defaults.chat_path);
  source.post_path = Take(table, "post_path", defaults.post_path);
  if (table.contains("workspaces")) {
    BOOST_OUTCOME_TRY(source.workspaces,
                      ParseWorkspaces(Take<std::string>(table, "workspaces", "")));
  }
  if (table.contains("classes")) {
    BOOST_OUTCOME_TRY(source.classes, ParseChoices(Take<std::string>(table, "classes", "")));
  }
  if (table.contains("kinds")) {
    BOOST_OUTCOME_TRY(source.kinds, ParseChoices(Take<std::string>(table, "kinds", "")));
  }
  if (table.contains("max_tokens")) {
    BOOST_OUTCOME_TRY(source.maximum_tokens,
                      ParseTokens(Take<std::string>(table, "max_tokens", "")));
  }
  if (!table.empty()) {
    throw UnknownKey{table.begin()->first};
  }
  return source;
}

}  // namespace

core::Result<std::vector<Source>> ParseSources(const std::string& toml_text,
                                               const Source& defaults) {
  std::istringstream stream(toml_text);
  try {
    const auto root = toml::parse(stream, "plan");
    std::vector<Source> sources;
    for (const auto& table : toml::find<std::vector<toml::table>>(root, "source")) {
      BOOST_OUTCOME_TRY(auto source, ReadSource(table, defaults));
      sources.push_back(std::move(source));
    }
    return sources;
  } catch (const UnknownKey& unknown) {
    return core::MakeError(
        core::ErrorKind::kInvalidArgument,
        fmt::format("unknown key \"{}\" in [[source]]; remove it", unknown.name));
  } catch (const std::exception& exception) {
    return core::MakeError(core::ErrorKind::kInvalidArgument,
                           fmt::format("the plan is not valid; correct it: {}", exception.what()));
  }
}

}  // namespace pomelospar::load
