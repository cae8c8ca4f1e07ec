#ifndef POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_PLAN_LOAD_PLAN_H_
#define POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_PLAN_LOAD_PLAN_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/core/result.h"

namespace pomelospar::load {

/// An option that is drawn with a probability proportional to its weight.
struct Choice {
  std::string name;
  double weight = 1.0;
};

struct WorkspaceChoice {
  std::string name;
  std::string api_key;
  double weight = 1.0;
};

enum class RequestKind { kChatStream, kChat, kPost };

/// Returns "chat_stream", "chat" or "post".
std::string_view NameOf(RequestKind kind);

/// Distribution of `max_tokens`, always within [low, high].
struct TokenDistribution {
  enum class Shape { kUniform, kExponential };
  Shape shape = Shape::kUniform;
  double mean = 64.0;
  std::uint32_t low = 64;
  std::uint32_t high = 64;
};

/// One source of requests: Poisson arrivals at `rate`, or, if `rate` is zero, a closed loop with
/// `concurrency` requests at a time.
struct Source {
  /// Requests per second.
  double rate = 0.0;
  std::uint32_t concurrency = 0;
  /// Seconds since the start of the run. If `stop` is zero, the source runs to the end of the run.
  double start = 0.0;
  double stop = 0.0;
  std::vector<WorkspaceChoice> workspaces;
  std::vector<Choice> classes;
  /// Names of request kinds.
  std::vector<Choice> kinds;
  std::uint32_t callers = 10;
  TokenDistribution maximum_tokens;
  std::uint32_t prompt_bytes = 200;
  /// Text at the start of every prompt, for example one that makes an emulated engine crash.
  std::string prompt_text;
  /// If not empty, all requests carry this nonce, so that requests of one caller have the same
  /// content.
  std::string fixed_nonce;
  /// JSON object whose fields are added to every body, for example to ask an emulator for a fault.
  std::string extra_fields = "{}";
  std::string model;
  std::string chat_path = "/v1/chat/completions";
  std::string post_path = "/orders";
};

struct LoadPlan {
  /// Addresses of the routers as "ip:port".
  std::vector<Choice> targets;
  std::vector<Source> sources;
  double duration_seconds = 10.0;
  /// How long requests in progress may take to end after the duration.
  double drain_seconds = 30.0;
  double timeout_seconds = 60.0;
  std::uint32_t maximum_in_flight = 4096;
  /// How often a post with an unknown outcome is sent again with its key through another router.
  std::uint32_t resend_unknown = 0;
  std::uint64_t seed = 1;
};

/// One request and the values that its response is checked against.
struct PlannedRequest {
  std::uint64_t id = 0;
  RequestKind kind = RequestKind::kChat;
  std::string workspace;
  std::string api_key;
  std::string request_class;
  std::string caller;
  std::string nonce;
  /// Idempotency key of posts.
  std::string key;
  std::size_t target = 0;
  std::uint32_t maximum_tokens = 0;
  std::string path;
  std::string body;
};

/// Parses "NAME=WEIGHT,NAME,..."; a missing weight is 1. Errors: `kInvalidArgument`.
core::Result<std::vector<Choice>> ParseChoices(std::string_view text);

/// Parses "NAME:API_KEY=WEIGHT,...". Errors: `kInvalidArgument`.
core::Result<std::vector<WorkspaceChoice>> ParseWorkspaces(std::string_view text);

/// Parses "fixed:N", "uniform:LOW:HIGH" or "exponential:MEAN:LOW:HIGH". Errors: `kInvalidArgument`.
core::Result<TokenDistribution> ParseTokens(std::string_view text);

/// Multiplies the weight of target number i by 1 / (i + 1)^skew.
void SkewTargets(std::vector<Choice>& targets, double skew);

/// Reads sources from TOML text with an array of tables `[[source]]`. The keys have the names of
/// the flags; `start`, `stop`, `prompt_text` and `fixed_nonce` have no flag. What a source does not
/// set is taken from `defaults`, but setting only one of `rate` and `concurrency` to a value above
/// zero sets the other to zero. Errors: `kInvalidArgument`, also for an unknown key.
core::Result<std::vector<Source>> ParseSources(const std::string& toml_text,
                                               const Source& defaults);

/// Checks that the plan can be run. Errors: `kInvalidArgument`; the message says how to correct it.
core::Result<void> Validate(const LoadPlan& plan);

/// Draws requests and arrival times at random. The same plan, seed and order of calls give the same
/// results.
class RequestGenerator {
 public:
  explicit RequestGenerator(const LoadPlan& plan);

  PlannedRequest Next(const Source& source);
  /// Returns the seconds until the next arrival of a source with a rate.
  double NextGap(const Source& source);
  /// Returns the index of a random target other than `target`, or `target` if it is the only one.
  std::size_t OtherTarget(std::size_t target);

 private:
  std::uint32_t DrawTokens(const TokenDistribution& distribution);

  const LoadPlan& plan;
  std::mt19937_64 random;
  std::uint64_t next_id = 1;
};

}  // namespace pomelospar::load

#endif  // POMELOSPAR_UTILITIES_POMELOSPAR_LOAD_PLAN_LOAD_PLAN_H_
