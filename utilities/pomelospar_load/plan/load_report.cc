#include "utilities/pomelospar_load/plan/load_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>

namespace pomelospar::load {
namespace {

using nlohmann::ordered_json;

constexpr std::array<std::pair<RequestResult, std::string_view>, 7> kResultNames = {{
    {RequestResult::kAnswered, "answered"},
    {RequestResult::kFailed, "failed"},
    {RequestResult::kRefused, "refused"},
    {RequestResult::kNotRun, "not_run"},
    {RequestResult::kUnknown, "unknown"},
    {RequestResult::kWrong, "wrong"},
    {RequestResult::kNotSent, "not_sent"},
}};

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

std::string_view Shorten(std::string_view name) { return name.substr(0, 16); }

/// Returns the smallest sample, in milliseconds, that at least `fraction` of the samples do not
/// exceed. `sorted` is in seconds.
double Quantile(const std::vector<float>& sorted, double fraction) {
  if (sorted.empty()) {
    return 0.0;
  }
  const auto rank = std::ceil(fraction * static_cast<double>(sorted.size()));
  const auto index = std::max<std::size_t>(1, static_cast<std::size_t>(rank)) - 1;
  return 1000.0 * sorted[std::min(index, sorted.size() - 1)];
}

std::array<double, 3> QuantilesOf(std::vector<float> samples) {
  std::ranges::sort(samples);
  std::array<double, 3> result{};
  std::ranges::transform(kQuantiles, result.begin(),
                         [&](double fraction) { return Quantile(samples, fraction); });
  return result;
}

ordered_json QuantilesJson(const std::vector<float>& samples) {
  const auto values = QuantilesOf(samples);
  return {{"p50", values[0]}, {"p95", values[1]}, {"p99", values[2]}, {"count", samples.size()}};
}

}  // namespace

std::string_view NameOf(RequestResult result) {
  return std::ranges::find(kResultNames, result, &std::pair<RequestResult, std::string_view>::first)
      ->second;
}

RequestResult ResultOf(const Observation& observation) {
  if (observation.target.empty()) {
    return RequestResult::kNotSent;
  }
  if (!observation.was_sent) {
    return RequestResult::kNotRun;
  }
  if (!observation.complete || observation.outcome_header == "unknown") {
    return RequestResult::kUnknown;
  }
  const auto status = observation.status;
  if (observation.outcome_header == "not_run") {
    return status < 500 ? RequestResult::kRefused : RequestResult::kNotRun;
  }
  if (status < 200 || status >= 300) {
    return RequestResult::kFailed;
  }
  return observation.problem.empty() ? RequestResult::kAnswered : RequestResult::kWrong;
}

std::string HistoryLine(const Observation& observation) {
  const auto& request = observation.request;
  const auto result = ResultOf(observation);
  ordered_json line = {{"id", request.id},
                       {"attempt", observation.attempt},
                       {"workspace", request.workspace},
                       {"class", request.request_class},
                       {"kind", NameOf(request.kind)},
                       {"caller", request.caller},
                       {"nonce", request.nonce},
                       {"key", request.key},
                       {"target", observation.target},
                       {"planned", observation.planned},
                       {"sent", observation.sent},
                       {"done", observation.done},
                       {"tokens", observation.tokens},
                       {"status", observation.status},
                       {"outcome", observation.outcome_header},
                       {"result", NameOf(result)},
                       {"checked", result == RequestResult::kAnswered}};
  if (observation.first_event.has_value()) {
    line["first"] = *observation.first_event;
  }
  if (!observation.problem.empty()) {
    line["problem"] = observation.problem;
  }
  return line.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

void LoadReport::Add(const Observation& observation) {
  const auto& request = observation.request;
  auto& group = this->groups[{request.workspace, request.request_class}];
  const auto result = ResultOf(observation);
  group.results[result] += 1;
  group.sent += observation.was_sent ? 1 : 0;
  group.tokens += observation.tokens;
  if (result != RequestResult::kAnswered) {
    return;
  }
  group.whole.push_back(static_cast<float>(observation.done - observation.planned));
  // A response that is not streamed arrives with its whole text and has no first token.
  const bool is_stream = request.kind == RequestKind::kChatStream;
  if (is_stream && observation.first_event.has_value()) {
    group.first_token.push_back(static_cast<float>(*observation.first_event - observation.planned));
  }
  group.between_tokens.insert(group.between_tokens.end(), observation.gaps.begin(),
                              observation.gaps.end());
}

std::uint64_t LoadReport::CountOf(RequestResult result) const {
  std::uint64_t count = 0;
  for (const auto& [name, group] : this->groups) {
    const auto found = group.results.find(result);
    count += found == group.results.end() ? 0 : found->second;
  }
  return count;
}

std::uint64_t LoadReport::TotalTokens() const {
  std::uint64_t total = 0;
  for (const auto& [name, group] : this->groups) {
    total += group.tokens;
  }
  return total;
}

std::string LoadReport::Table(double seconds) const {
  std::string text;
  auto out = std::back_inserter(text);
  fmt::format_to(
      out,
      "{:16} {:16} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>8} {:>23} {:>20} {:>19} {:>10} "
      "{:>6}\n",
      "workspace", "class", "sent", "answered", "failed", "refused", "not_run", "unknown", "wrong",
      "not_sent", "first token ms 50/95/99", "between ms 50/95/99", "whole ms 50/95/99", "tokens/s",
      "share");
  const auto total = std::max<double>(1.0, static_cast<double>(this->TotalTokens()));
  for (const auto& [name, group] : this->groups) {
    const auto count = [&results = group.results](RequestResult result) {
      const auto found = results.find(result);
      return found == results.end() ? 0 : found->second;
    };
    const auto first = QuantilesOf(group.first_token);
    const auto between = QuantilesOf(group.between_tokens);
    const auto whole = QuantilesOf(group.whole);
    const auto tokens = static_cast<double>(group.tokens);
    fmt::format_to(out,
                   "{:16} {:16} {:8} {:8} {:7} {:7} {:7} {:7} {:6} {:8} {:>23} {:>20} {:>19} "
                   "{:10.1f} {:6.3f}\n",
                   Shorten(name.first), Shorten(name.second), group.sent,
                   count(RequestResult::kAnswered), count(RequestResult::kFailed),
                   count(RequestResult::kRefused), count(RequestResult::kNotRun),
                   count(RequestResult::kUnknown), count(RequestResult::kWrong),
                   count(RequestResult::kNotSent),
                   fmt::format("{:.0f}/{:.0f}/{:.0f}", first[0], first[1], first[2]),
                   fmt::format("{:.1f}/{:.1f}/{:.1f}", between[0], between[1], between[2]),
                   fmt::format("{:.0f}/{:.0f}/{:.0f}", whole[0], whole[1], whole[2]),
                   tokens / seconds, tokens / total);
  }
  return text;
}

std::string LoadReport::Json(double seconds) const {
  const auto total = std::max<double>(1.0, static_cast<double>(this->TotalTokens()));
  ordered_json rows = ordered_json::array();
  for (const auto& [name, group] : this->groups) {
    ordered_json row = {{"workspace", name.first}, {"class", name.second}, {"sent", group.sent}};
    for (const auto& [result, result_name] : kResultNames) {
      const auto found = group.results.find(result);
      row[std::string(result_name)] = found == group.results.end() ? 0 : found->second;
    }
    row["first_token_ms"] = QuantilesJson(group.first_token);
    row["between_tokens_ms"] = QuantilesJson(group.between_tokens);
    row["whole_ms"] = QuantilesJson(group.whole);
    row["tokens"] = group.tokens;
    row["service_share"] = static_cast<double>(group.tokens) / total;
    rows.push_back(std::move(row));
  }
  return ordered_json{{"seconds", seconds}, {"groups", std::move(rows)}}.dump();
}

}  // namespace pomelospar::load
