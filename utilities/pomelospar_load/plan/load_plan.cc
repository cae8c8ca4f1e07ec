#include "utilities/pomelospar_load/plan/load_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/split.hpp>
#include <boost/lexical_cast.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace pomelospar::load {
namespace {

constexpr std::array<std::pair<RequestKind, std::string_view>, 3> kKindNames = {{
    {RequestKind::kChatStream, "chat_stream"},
    {RequestKind::kChat, "chat"},
    {RequestKind::kPost, "post"},
}};

core::Error Invalid(std::string message) {
  return core::MakeError(core::ErrorKind::kInvalidArgument, std::move(message));
}

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  if (!text.empty()) {
    boost::algorithm::split(parts, text, [&](char character) { return character == separator; });
  }
  return parts;
}

std::optional<RequestKind> KindOf(std::string_view name) {
  for (const auto& [kind, kind_name] : kKindNames) {
    if (kind_name == name) {
      return kind;
    }
  }
  return std::nullopt;
}

template <typename Item>
const Item& Draw(const std::vector<Item>& items, std::mt19937_64& random) {
  double total = 0.0;
  for (const auto& item : items) {
    total += item.weight;
  }
  double left = std::uniform_real_distribution<double>(0.0, total)(random);
  for (const auto& item : items) {
    left -= item.weight;
    if (left < 0.0) {
      return item;
    }
  }
  return items.back();
}

template <typename Item>
bool HasWeight(const std::vector<Item>& items) {
  const bool valid = std::ranges::all_of(
      items, [](const Item& item) { return std::isfinite(item.weight) && item.weight >= 0.0; });
  return valid && std::ranges::any_of(items, [](const Item& item) { return item.weight > 0.0; });
}

std::string BodyOf(const PlannedRequest& request, const Source& source) {
  nlohmann::ordered_json body = {{"user", request.caller}, {"nonce", request.nonce}};
  body.update(nlohmann::ordered_json::parse(source.extra_fields));
  if (request.kind == RequestKind::kPost) {
    body["items"] = std::string(source.prompt_bytes, 'x');
    return body.dump();
  }
  const auto prompt = fmt::format("{} {} {}", source.prompt_text, request.nonce,
                                  std::string(source.prompt_bytes, 'x'));
  body["model"] = source.model;
  body["max_tokens"] = request.maximum_tokens;
  body["stream"] = request.kind == RequestKind::kChatStream;
  body["messages"] = {{{"role", "user"}, {"content", prompt}}};
  return body.dump();
}

}  // namespace

std::string_view NameOf(RequestKind kind) {
  return std::ranges::find(kKindNames, kind, &std::pair<RequestKind, std::string_view>::first)
      ->second;
}

core::Result<std::vector<Choice>> ParseChoices(std::string_view text) {
  std::vector<Choice> choices;
  for (const auto& part : Split(text, ',')) {
    const auto equals = part.rfind('=');
    Choice choice{part.substr(0, equals), 1.0};
    const bool valid = equals == std::string::npos || boost::conversion::try_lexical_convert(
                                                          part.substr(equals + 1), choice.weight);
    if (!valid || choice.name.empty()) {
      return Invalid(fmt::format("\"{}\" is not a choice; write NAME=WEIGHT", part));
    }
    choices.push_back(std::move(choice));
  }
  return choices;
}

core::Result<std::vector<WorkspaceChoice>> ParseWorkspaces(std::string_view text) {
  std::vector<WorkspaceChoice> workspaces;
  BOOST_OUTCOME_TRY(const auto choices, ParseChoices(text));
  for (const auto& choice : choices) {
    const auto colon = choice.name.find(':');
    if (colon == std::string::npos) {
      return Invalid(
          fmt::format("workspace \"{}\" has no API key; write NAME:API_KEY=WEIGHT", choice.name));
    }
    workspaces.push_back(
        {choice.name.substr(0, colon), choice.name.substr(colon + 1), choice.weight});
  }
  return workspaces;
}

core::Result<TokenDistribution> ParseTokens(std::string_view text) {
  const auto parts = Split(text, ':');
  std::vector<std::uint32_t> numbers;
  for (std::size_t index = 1; index < parts.size(); ++index) {
    std::uint32_t number = 0;
    if (boost::conversion::try_lexical_convert(parts[index], number) && number > 0) {
      numbers.push_back(number);
    }
  }
  const auto shape = parts.empty() ? std::string() : parts.front();
  const bool all_numbers = numbers.size() + 1 == parts.size();
  TokenDistribution result;
  if (all_numbers && shape == "fixed" && numbers.size() == 1) {
    result.low = result.high = numbers[0];
  } else if (all_numbers && shape == "uniform" && numbers.size() == 2) {
    result.low = numbers[0];
    result.high = numbers[1];
  } else if (all_numbers && shape == "exponential" && numbers.size() == 3) {
    result = {TokenDistribution::Shape::kExponential, static_cast<double>(numbers[0]), numbers[1],
              numbers[2]};
  } else {
    return Invalid(
        fmt::format("\"{}\" is no token distribution; write fixed:N, uniform:LOW:HIGH or "
                    "exponential:MEAN:LOW:HIGH",
                    text));
  }
  if (result.low > result.high) {
    return Invalid(fmt::format("\"{}\" has LOW above HIGH; exchange them", text));
  }
  return result;
}

void SkewTargets(std::vector<Choice>& targets, double skew) {
  for (std::size_t index = 0; index < targets.size(); ++index) {
    targets[index].weight /= std::pow(static_cast<double>(index + 1), skew);
  }
}

core::Result<void> Validate(const LoadPlan& plan) {
  if (!HasWeight(plan.targets)) {
    return Invalid("no target; set --targets to the routers' ip:port");
  }
  if (plan.sources.empty()) {
    return Invalid("no source of requests; set --workspaces or --plan");
  }
  for (const auto& source : plan.sources) {
    if (!HasWeight(source.workspaces)) {
      return Invalid("no workspace; set --workspaces to NAME:API_KEY=WEIGHT");
    }
    if ((source.rate > 0.0) == (source.concurrency > 0)) {
      return Invalid("a source needs either a rate or a concurrency; set one of them");
    }
    const bool known = std::ranges::all_of(
        source.kinds, [](const Choice& kind) { return KindOf(kind.name).has_value(); });
    if (!known || !HasWeight(source.kinds)) {
      return Invalid("unknown kind of request; use chat_stream, chat or post");
    }
    if (!source.classes.empty() && !HasWeight(source.classes)) {
      return Invalid("no class has a weight above zero; give one a weight");
    }
    if (!nlohmann::json::parse(source.extra_fields, nullptr, false).is_object()) {
      return Invalid("extra_fields is not a JSON object; write {\"name\":value}");
    }
    if (source.callers == 0) {
      return Invalid("a source needs callers; set --callers to 1 or more");
    }
  }
  return core::Success();
}

RequestGenerator::RequestGenerator(const LoadPlan& plan) : plan(plan), random(plan.seed) {}

double RequestGenerator::NextGap(const Source& source) {
  return std::exponential_distribution<double>(source.rate)(this->random);
}

std::uint32_t RequestGenerator::DrawTokens(const TokenDistribution& distribution) {
  if (distribution.shape == TokenDistribution::Shape::kUniform) {
    return std::uniform_int_distribution<std::uint32_t>(distribution.low,
                                                        distribution.high)(this->random);
  }
  const double drawn = std::exponential_distribution<double>(1.0 / distribution.mean)(this->random);
  return static_cast<std::uint32_t>(std::clamp<double>(drawn, distribution.low, distribution.high));
}

PlannedRequest RequestGenerator::Next(const Source& source) {
  PlannedRequest request;
  request.id = this->next_id++;
  const auto& workspace = Draw(source.workspaces, this->random);
  request.workspace = workspace.name;
  request.api_key = workspace.api_key;
  if (!source.classes.empty()) {
    request.request_class = Draw(source.classes, this->random).name;
  }
  request.kind = *KindOf(Draw(source.kinds, this->random).name);
  const auto caller =
      std::uniform_int_distribution<std::uint32_t>(0, source.callers - 1)(this->random);
  request.caller = fmt::format("{}-caller-{}", request.workspace, caller);
  const auto drawn_nonce = fmt::format("n{:016x}", this->random());
  request.nonce = source.fixed_nonce.empty() ? drawn_nonce : source.fixed_nonce;
  const auto& target = Draw(this->plan.targets, this->random);
  request.target = static_cast<std::size_t>(&target - this->plan.targets.data());
  request.maximum_tokens = this->DrawTokens(source.maximum_tokens);
  const bool is_post = request.kind == RequestKind::kPost;
  request.key = is_post ? fmt::format("load-{}", drawn_nonce) : "";
  request.path = is_post ? source.post_path : source.chat_path;
  request.body = BodyOf(request, source);
  return request;
}

std::size_t RequestGenerator::OtherTarget(std::size_t target) {
  const auto count = this->plan.targets.size();
  if (count < 2) {
    return target;
  }
  const auto step = std::uniform_int_distribution<std::size_t>(1, count - 1)(this->random);
  return (target + step) % count;
}

}  // namespace pomelospar::load
