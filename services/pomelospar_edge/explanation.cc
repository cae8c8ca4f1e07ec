#include "services/pomelospar_edge/explanation.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/core/identifiers.h"
#include "libraries/core/milliseconds.h"
#include "platform/request_headers.h"
#include "services/pomelospar_edge/placement_decision.h"
#include "services/pomelospar_edge/request_admission.h"

namespace pomelospar::edge {
namespace {

using core::ToMilliseconds;
using nlohmann::json;

constexpr std::array<std::string_view, 5> kOtherFields = {"workspace", "method", "path", "body",
                                                          "body-bytes"};
// Larger bodies are refused before they are placed.
constexpr std::uint64_t kLargestBodyBytes = std::uint64_t{1} << 32U;

struct BadField {
  std::string field;
  std::string_view problem;
};

struct Question {
  /// The request as a caller would send it, without its key.
  http::HttpRequest request;
  adapter::RequestFacts facts;
  std::string workspace;
  std::size_t body_bytes = 0;
  /// False if only the length of the body is known.
  bool is_body_known = true;
};

std::optional<BadField> CheckNames(std::string_view target) {
  std::set<std::string> seen;
  const auto header_fields = adapter::HeaderFields();
  auto rest = target.substr(std::min(target.find('?'), target.size()));
  while (!rest.empty()) {
    rest.remove_prefix(1);
    const auto pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(pair.size());
    if (pair.empty()) continue;
    auto name = http::PercentDecode(pair.substr(0, pair.find('=')));
    const bool is_known =
        std::find(kOtherFields.begin(), kOtherFields.end(), name) != kOtherFields.end() ||
        std::any_of(header_fields.begin(), header_fields.end(),
                    [&](const adapter::HeaderField& header) { return header.field == name; });
    if (!is_known) return BadField{std::move(name), "is not a field"};
    if (!seen.insert(name).second) return BadField{std::move(name), "is given twice"};
  }
  return std::nullopt;
}

bool IsVisible(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
    return letter > ' ' && letter < '\x7f';
  });
}

std::variant<Question, BadField> DecodeQuestion(const http::HttpRequest& request) {
  if (auto bad = CheckNames(request.target)) return *std::move(bad);
  Question question;
  auto& described = question.request;
  described.method = request.QueryParameter("method").value_or("GET");
  if (!IsVisible(described.method)) return BadField{"method", "is not a method"};
  described.target = request.QueryParameter("path").value_or("");
  if (!described.target.starts_with('/') || !IsVisible(described.target)) {
    return BadField{"path", "must begin with a slash, without spaces"};
  }
  if (!IsVisible(request.QueryParameter("host").value_or(""))) {
    return BadField{"host", "must be given, without spaces"};
  }
  for (const auto& [field, header] : adapter::HeaderFields()) {
    if (auto value = request.QueryParameter(field)) {
      described.headers.push_back({std::string(header), *std::move(value)});
    }
  }
  std::string malformed;
  question.facts = adapter::DecodeRequest(described, malformed);
  for (const auto& [field, header] : adapter::HeaderFields()) {
    if (header == malformed) return BadField{std::string(field), "is malformed"};
  }
  question.workspace = request.QueryParameter("workspace").value_or("");
  described.body = request.QueryParameter("body").value_or("");
  question.body_bytes = described.body.size();
  if (const auto text = request.QueryParameter("body-bytes")) {
    const auto* end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, question.body_bytes);
    if (error != std::errc() || stop != end || question.body_bytes > kLargestBodyBytes) {
      return BadField{"body-bytes", "must be a number of bytes"};
    }
    question.is_body_known = question.body_bytes == described.body.size();
  }
  return question;
}

const dispatch::Workspace* FindByName(const dispatch::Policy& policy, std::string_view name) {
  const auto found =
      std::find_if(policy.workspaces.begin(), policy.workspaces.end(),
                   [&](const dispatch::Workspace& workspace) { return workspace.name == name; });
  return found == policy.workspaces.end() ? nullptr : &*found;
}

/// Returns a copy of the entry, or `otherwise`.
template <typename Value>
Value CopyOf(const std::unordered_map<std::string, Value>& map, const std::string& key,
             Value otherwise) {
  const auto found = map.find(key);
  return found == map.end() ? otherwise : found->second;
}

json Refused(const Refusal& refusal) {
  json decision = {{"outcome", "refusal"}, {"status", refusal.status}, {"reason", refusal.reason}};
  if (refusal.retry_after > core::Duration::zero()) {
    decision["retry_after_ms"] = ToMilliseconds(refusal.retry_after);
  }
  return decision;
}

std::string_view NameOf(Exclusion exclusion) {
  switch (exclusion) {
    case Exclusion::kEvacuated:
      return "evacuated";
    case Exclusion::kDraining:
      return "draining";
    case Exclusion::kLeaving:
      return "leaving";
    case Exclusion::kResting:
      return "resting";
    case Exclusion::kMisdirected:
    case Exclusion::kUnhealthy:
      return "unhealthy";
    case Exclusion::kColdPause:
      return "cold";
    case Exclusion::kTried:
      return "tried";
    case Exclusion::kNone:
      break;
  }
  return {};
}

std::string_view NameOf(dispatch::Rejection rejection) {
  switch (rejection) {
    case dispatch::Rejection::kSlots:
      return "no_slot";
    case dispatch::Rejection::kMemory:
      return "no_memory";
    case dispatch::Rejection::kQueue:
      return "long_queue";
    case dispatch::Rejection::kRepeatedPrefill:
      return "would_repeat";
    case dispatch::Rejection::kNone:
      break;
  }
  return {};
}

std::string_view WhyChosen(const dispatch::DomainChoice& choice,
                           std::span<const dispatch::Assessment> assessments) {
  if (choice.leaves) return "leaves_domain";
  if (choice.reason != dispatch::LeavingReason::kNone) return "stays_in_domain";
  const auto with_room = std::count_if(assessments.begin(), assessments.end(),
                                       [](const dispatch::Assessment& assessment) {
                                         return assessment.rejection == dispatch::Rejection::kNone;
                                       });
  return with_room == 1 ? "only_one_with_room" : "lowest_cost";
}

/// What a request would find at the runners of its upstream.
struct Survey {
  std::vector<Runner*> candidates;
  /// In the order of the candidates, as all others.
  std::vector<dispatch::Assessment> assessments;
  /// Empty for services.
  std::vector<double> cached_tokens;
  std::optional<dispatch::DomainChoice> choice;
  /// The fields of the decision about an engine.
  json engine = json::object();
};

Survey SurveyEngines(const RouterState& state, const PlacementQuery& query,
                     const PlacementRecords& records) {
  Survey survey = {.candidates = FindCandidates(state, query)};
  const auto choice = ChooseEngine(state, query, survey.candidates, records);
  survey.assessments = dispatch::AssessEngines(state.engine_speed, choice.options, choice.request);
  for (const auto& option : choice.options) survey.cached_tokens.push_back(option.cached_tokens);
  survey.engine["queue_limit_ms"] = choice.request.queue_limit_ms;
  if (!choice.placement) return survey;
  survey.choice = choice.placement->domain;
  survey.engine["predicted_ms"] = choice.placement->first_event_ms;
  survey.engine["prefill_tokens"] = choice.placement->prefill_tokens;
  if (choice.copy) {
    survey.engine["cache_source"] = survey.candidates[choice.copy->source]->record.id;
  }
  return survey;
}

Survey SurveyServices(const RouterState& state, const PlacementQuery& query,
                      const PlacementRecords& records) {
  Survey survey = {.candidates = FindCandidates(state, query)};
  const auto choice = ChooseService(state, query, survey.candidates, records);
  for (const auto& option : choice.options) {
    survey.assessments.push_back(
        dispatch::AssessService(option, kServiceQueueFactor, choice.leaving));
  }
  survey.choice = choice.chosen;
  return survey;
}

json DescribeRunner(const RouterState& state, const Runner& runner, const Survey& survey) {
  const auto now = state.clock.now();
  json entry = {{"id", runner.record.id}, {"domain", runner.record.domain}};
  std::string_view reason = NameOf(ExclusionOf(state, runner, {}, now));
  if (IsCold(state, runner)) {
    entry["cold_left_ms"] = ToMilliseconds(dispatch::ColdUntil(runner.cold) - now);
  }
  const auto found = std::find(survey.candidates.begin(), survey.candidates.end(), &runner);
  const auto index = static_cast<std::size_t>(found - survey.candidates.begin());
  if (index < survey.assessments.size()) {
    const auto& assessment = survey.assessments[index];
    reason = NameOf(assessment.rejection);
    entry["forecast_ms"] = assessment.forecast_ms;
    entry["cost"] = assessment.cost;
    if (assessment.fails_most_requests) entry["fails_most_requests"] = true;
  }
  if (index < survey.cached_tokens.size()) entry["cached_tokens"] = survey.cached_tokens[index];
  entry["candidate"] = reason.empty();
  if (!reason.empty()) entry["reason"] = reason;
  return entry;
}

/// Lists the runners in the order of their cost, those that are no candidates last.
void ListRunners(const RouterState& state, const dispatch::UpstreamPolicy& upstream,
                 const Survey& survey, json& answer) {
  std::vector<json> entries;
  for (const auto& runner : RunnersOf(state, upstream)) {
    entries.push_back(DescribeRunner(state, *runner, survey));
  }
  const auto order = [](const json& entry) {
    return std::pair(!entry.at("candidate").get<bool>(), entry.value("cost", 0.0));
  };
  std::stable_sort(entries.begin(), entries.end(),
                   [&](const json& left, const json& right) { return order(left) < order(right); });
  const auto listed = std::min(entries.size(), kMaxExplainedRunners);
  answer["omitted_runners"] = entries.size() - listed;
  entries.resize(listed);
  answer["runners"] = std::move(entries);
}

json Chosen(const RouterState& state, const PlacementQuery& query, const Survey& survey,
            std::span<const std::uint64_t> subjects) {
  const auto& choice = *survey.choice;
  const auto& runner = *survey.candidates[choice.option];
  json decision = survey.engine;
  decision["outcome"] = "runner";
  decision["runner"] = runner.record.id;
  decision["domain"] = runner.record.domain;
  decision["reason"] = WhyChosen(choice, survey.assessments);
  if (choice.reason != dispatch::LeavingReason::kNone) {
    decision["leaving_reason"] = dispatch::NameOf(choice.reason);
  }
  // Other routers may still object; they are asked for real requests only.
  json grants = json::array();
  if (IsCold(state, runner)) {
    grants.push_back("cold_start");
  } else if (query.upstream->engine && state.confirm_placement && state.is_large_fleet) {
    grants.push_back("placement");
  }
  const auto now = state.clock.now();
  if (std::any_of(subjects.begin(), subjects.end(), [&](std::uint64_t subject) {
        return state.suspects.VerdictFor(now, subject) == dispatch::SuspectVerdict::kTrial;
      })) {
    grants.push_back("crash_trial");
  }
  decision["needs_grants"] = std::move(grants);
  return decision;
}

json WaitOrRefuse(const RouterState& state, const PlacementQuery& query, const WaitTerms& wait,
                  const Survey& survey, core::Duration time_left) {
  const auto hold = wait.until - query.received;
  if (hold <= core::Duration::zero()) {
    return Refused(RefusalAfterWait(state, query, wait, time_left));
  }
  const std::string_view reason = survey.candidates.empty() ? "no_candidate"
                                  : wait.until_within_share > core::Duration::zero() ? "share"
                                                                                     : "no_room";
  return {{"outcome", "wait"},
          {"reason", reason},
          {"longest_wait_ms", ToMilliseconds(hold)},
          {"then", Refused(RefusalAfterWait(state, query, wait, time_left - hold))}};
}

/// Decides about a request that its route and its key admit, in the order of `RequestSession`.
void ExplainUpstream(const RouterState& state, const Question& question,
                     const dispatch::Route& route, const dispatch::UpstreamPolicy& upstream,
                     const std::string& workspace, json& answer) {
  const auto& facts = question.facts;
  const auto now = state.clock.now();
  const auto caller_timeout = facts.caller_timeout.value_or(route.timeout);
  const auto time_left = std::min(caller_timeout, route.timeout);
  const auto longest =
      std::max(CopyOf(state.longest_caller_timeout, route.name, caller_timeout), caller_timeout);
  const auto hashes = dispatch::PrefixHashes(facts.prompt.parts);
  PlacementQuery query = {.route = &route,
                          .upstream = &upstream,
                          .prompt = &facts.prompt,
                          .prefix_hashes = hashes,
                          .attempt_hash = core::HashName(facts.attempt_id),
                          .body_bytes = question.body_bytes,
                          .received = now,
                          .admission = {.is_caller_retry = IsCallerRetry(caller_timeout, longest)}};
  // Copies, which the decision may change.
  auto recent_work = CopyOf(state.recent_work, upstream.name, dispatch::RecentWork());
  auto leaving = CopyOf(state.leaving, upstream.name, DomainLeaving());
  auto window = CopyOf(state.workspaces, workspace, WorkspaceWindow(ShareWindow(state)));
  const PlacementRecords records = {.recent_work = &recent_work, .leaving_share = &leaving.share};

  const auto use = UseOf(upstream, workspace, facts.prompt);
  window.asked.Add(now, use.all_tokens());
  const auto until_within_share = use.uncounted_tokens() > 0.0
                                      ? TimeUntilAllowed(state, workspace, window)
                                      : core::Duration::zero();
  const auto wait = DescribeWait(state, query, until_within_share, time_left);
  query.admission.until_within_share = wait.until_within_share;
  auto subjects = dispatch::SubjectsOf(workspace, question.request.method, question.request.target,
                                       question.request.body, facts.prompt.parts);
  // Without the body the request as a whole cannot be recognized.
  if (!question.is_body_known) subjects.erase(subjects.begin());

  auto surveyed = query;
  if (upstream.engine) {
    surveyed.admission.share_use = ShareUse(state, workspace, window, use.uncounted_tokens());
  }
  const auto survey = upstream.engine ? SurveyEngines(state, surveyed, records)
                                      : SurveyServices(state, surveyed, records);
  answer["share_use"] = surveyed.admission.share_use;
  ListRunners(state, upstream, survey, answer);
  auto& decision = answer["decision"];
  if (IsRefusedAsSuspect(state, subjects)) {
    decision = Refused(QuarantineRefusal());
  } else if (!MaySendDuringStop(state, now, now + time_left)) {
    decision = Refused(StoppingRefusal());
  } else if (!MayFindRunner(state, query, wait)) {
    decision = Refused(RefusalAfterWait(state, query, wait, time_left));
  } else if (survey.choice && until_within_share <= core::Duration::zero()) {
    decision = Chosen(state, query, survey, subjects);
  } else {
    decision = WaitOrRefuse(state, surveyed, wait, survey, time_left);
  }
}

void Explain(const RouterState& state, const Question& question, json& answer) {
  const auto& policy = state.policy;
  const auto* route =
      policy ? dispatch::FindRoute(*policy, question.facts.host, question.request.path()) : nullptr;
  auto& decision = answer["decision"];
  if (const auto refusal = CheckRoute(state, route)) {
    decision = Refused(*refusal);
    return;
  }
  answer["policy"] = policy->version;
  answer["route"] = route->name;
  std::string workspace;
  if (NeedsKey(*policy, *route)) {
    const auto* holder = FindByName(*policy, question.workspace);
    if (const auto refusal = CheckHolder(state, holder)) {
      decision = Refused(*refusal);
      return;
    }
    workspace = holder->name;
  }
  answer["workspace"] = workspace;
  if (IsRefusedForStop(state, *route)) {
    decision = Refused(StoppingRefusal());
    return;
  }
  const auto* upstream = FindUpstream(*policy, *route, core::HashName(question.facts.attempt_id));
  if (upstream == nullptr) {
    decision = Refused(UndeclaredUpstreamRefusal());
    return;
  }
  answer["upstream"] = upstream->name;
  answer["kind"] = upstream->engine ? "engine" : "service";
  ExplainUpstream(state, question, *route, *upstream, workspace, answer);
}

http::HttpResponse Respond(unsigned status, const json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(2, ' ', false, json::error_handler_t::replace) + "\n"};
}

http::HttpResponse RespondBadField(const BadField& bad) {
  return Respond(400,
                 {{"field", bad.field}, {"message", bad.field + " " + std::string(bad.problem)}});
}

}  // namespace

http::HttpResponse ExplainPlacement(const RouterState& state, const http::HttpRequest& request) {
  const auto decoded = DecodeQuestion(request);
  if (const auto* bad = std::get_if<BadField>(&decoded)) return RespondBadField(*bad);
  const auto& question = std::get<Question>(decoded);
  if (!question.workspace.empty() && state.policy &&
      FindByName(*state.policy, question.workspace) == nullptr) {
    return RespondBadField({"workspace", "is not in the configuration"});
  }
  json answer = {{"router", state.settings.name},
                 {"domain", state.settings.domain},
                 {"whole_request_checked", question.is_body_known}};
  Explain(state, question, answer);
  return Respond(200, answer);
}

}  // namespace pomelospar::edge
