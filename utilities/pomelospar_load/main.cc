// Load generator: sends requests to routers on behalf of many callers, checks that each response is
// complete and belongs to its request, writes a history of all attempts and prints a summary.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>

#include "utilities/pomelospar_load/client/load_client.h"

DEFINE_string(targets, "", "routers, IP:PORT=WEIGHT,...");
DEFINE_double(target_skew, 0.0, "divides the weight of target i by (i + 1)^skew");
DEFINE_string(workspaces, "", "workspaces, NAME:API_KEY=WEIGHT,...");
DEFINE_string(classes, "", "classes, NAME=WEIGHT,...; empty: the workspace's default");
DEFINE_string(kinds, "chat_stream", "kinds of request: chat_stream, chat, post, with =WEIGHT");
DEFINE_double(rate, 0.0, "requests a second, Poisson arrivals that do not wait for answers");
DEFINE_uint32(concurrency, 0, "closed loop with so many requests at once, instead of --rate");
DEFINE_uint32(callers, 10, "callers in each workspace");
DEFINE_string(max_tokens, "fixed:64", "fixed:N, uniform:LOW:HIGH or exponential:MEAN:LOW:HIGH");
DEFINE_uint32(prompt_bytes, 200, "length of a prompt or of a post's content");
DEFINE_string(extra_fields, "{}", "JSON object whose fields are added to every body");
DEFINE_string(model, "", "model that chat requests name");
DEFINE_string(chat_path, "/v1/chat/completions", "path of chat requests");
DEFINE_string(post_path, "/orders", "path of posts");
DEFINE_string(plan, "", "TOML file with [[source]] tables; the flags above are their defaults");
DEFINE_double(duration, 10.0, "seconds in which requests are sent");
DEFINE_double(drain, 30.0, "seconds that requests in progress have to end after that");
DEFINE_double(timeout, 60.0, "seconds for one request");
DEFINE_uint32(max_in_flight, 4096, "requests beyond it are not sent and counted as not_sent");
DEFINE_uint32(resend_unknown, 0,
              "times that a post with unknown outcome is sent again with its key through another "
              "router");
DEFINE_uint64(seed, 1, "seed of all random draws");
DEFINE_string(history, "", "file for one JSON line for each attempt");
DEFINE_bool(json, false, "print the summary as JSON");

namespace pomelospar::load {
namespace {

constexpr int kInvalidUse = 1;
constexpr int kWrongAnswers = 2;

core::Result<Source> SourceFromFlags() {
  Source source;
  source.rate = FLAGS_rate;
  source.concurrency = FLAGS_concurrency;
  source.callers = FLAGS_callers;
  source.prompt_bytes = FLAGS_prompt_bytes;
  source.extra_fields = FLAGS_extra_fields;
  source.model = FLAGS_model;
  source.chat_path = FLAGS_chat_path;
  source.post_path = FLAGS_post_path;
  BOOST_OUTCOME_TRY(source.workspaces, ParseWorkspaces(FLAGS_workspaces));
  BOOST_OUTCOME_TRY(source.classes, ParseChoices(FLAGS_classes));
  BOOST_OUTCOME_TRY(source.kinds, ParseChoices(FLAGS_kinds));
  BOOST_OUTCOME_TRY(source.maximum_tokens, ParseTokens(FLAGS_max_tokens));
  return source;
}

core::Result<std::vector<Source>> SourcesFromFlags() {
  BOOST_OUTCOME_TRY(auto source, SourceFromFlags());
  if (FLAGS_plan.empty()) {
    return std::vector<Source>{std::move(source)};
  }
  std::ifstream file(FLAGS_plan);
  if (!file) {
    return core::MakeError(core::ErrorKind::kNotFound,
                           fmt::format("cannot read {}; check --plan", FLAGS_plan));
  }
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  return ParseSources(text, source);
}

core::Result<LoadPlan> PlanFromFlags() {
  LoadPlan plan;
  BOOST_OUTCOME_TRY(plan.targets, ParseChoices(FLAGS_targets));
  SkewTargets(plan.targets, FLAGS_target_skew);
  BOOST_OUTCOME_TRY(plan.sources, SourcesFromFlags());
  plan.duration_seconds = FLAGS_duration;
  plan.drain_seconds = FLAGS_drain;
  plan.timeout_seconds = FLAGS_timeout;
  plan.maximum_in_flight = FLAGS_max_in_flight;
  plan.resend_unknown = FLAGS_resend_unknown;
  plan.seed = FLAGS_seed;
  BOOST_OUTCOME_TRY(Validate(plan));
  return plan;
}

int Run() {
  const auto plan = PlanFromFlags();
  if (plan.has_error()) {
    fmt::print(stderr, "pomelospar_load: {}\n", plan.error().message);
    return kInvalidUse;
  }
  std::ofstream history;
  if (!FLAGS_history.empty()) {
    history.open(FLAGS_history);
    if (!history) {
      fmt::print(stderr, "pomelospar_load: cannot write {}; check --history\n", FLAGS_history);
      return kInvalidUse;
    }
  }
  LoadReport report;
  RunLoad(plan.value(), [&](const Observation& observation) {
    report.Add(observation);
    if (history.is_open()) {
      history << HistoryLine(observation) << '\n';
    }
  });
  const double seconds = plan.value().duration_seconds;
  const auto summary = FLAGS_json ? report.Json(seconds) + "\n" : report.Table(seconds);
  fmt::print("{}", summary);
  return report.CountOf(RequestResult::kWrong) > 0 ? kWrongAnswers : 0;
}

}  // namespace
}  // namespace pomelospar::load

int main(int argc, char** argv) {
  gflags::SetUsageMessage("sends load to routers and checks every answer");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return pomelospar::load::Run();
}
