#ifndef POMELOSPAR_TESTS_STAND_INS_PLATFORM_STAND_IN_PLATFORM_SERVICE_H_
#define POMELOSPAR_TESTS_STAND_INS_PLATFORM_STAND_IN_PLATFORM_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "libraries/http/server_exchange.h"
#include "tests/stand_ins/platform_stand_in/instance_list.h"
#include "tests/stand_ins/platform_stand_in/table.h"

namespace pomelospar::stand_in {

struct PlatformOptions {
  /// Requests a second; a commit counts as one, whatever the number of its transactions.
  double writes_per_second = 400;
  double reads_per_second = 2000;
  std::size_t transactions_per_commit = 100;
  std::chrono::milliseconds delay{1};
  std::chrono::milliseconds instance_list_lag{0};
};

/// A token bucket that holds at most the tokens of one second.
class RateLimit {
 public:
  explicit RateLimit(double requests_per_second)
      : rate(requests_per_second), tokens(requests_per_second) {}
  bool Take(std::chrono::steady_clock::time_point now);

 private:
  double rate;
  double tokens;
  std::chrono::steady_clock::time_point last = std::chrono::steady_clock::now();
};

/// The platform of docs/platform.md, in memory. `POST /control` takes
/// `{"outage":"none"|"reject"|"hang"|"close", "delay_ms":N, "lose_responses":N,
///   "lose_commit_responses":N, "lose_before_write":N, "cut_off_domains":["d"],
///   "instance_list_lag_ms":N}`; fields that are
/// absent stay as they are. `lose_responses` closes the connection of the next N commits and object
/// writes after they took effect, `lose_before_write` before.
class PlatformService {
 public:
  explicit PlatformService(const PlatformOptions& platform_options);

  boost::asio::awaitable<void> Handle(http::ServerExchange& exchange);

 private:
  struct Reply {
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
  };

  Reply HandleControl(const http::HttpRequest& request);
  bool Control(const nlohmann::json& body);
  nlohmann::json Statistics() const;
  /// False if an outage, a cut-off domain or a rate limit took the place of the response.
  boost::asio::awaitable<bool> PassFaults(http::ServerExchange& exchange, bool is_write);
  Reply HandleService(const http::HttpRequest& request);
  Reply Commit(const http::HttpRequest& request);
  Reply ReadRow(const http::HttpRequest& request);
  Reply Scan(const http::HttpRequest& request);
  Reply HandleObject(const http::HttpRequest& request);
  Reply ListInstances(const http::HttpRequest& request);

  PlatformOptions options;
  RateLimit writes;
  RateLimit reads;
  Table table;
  std::map<std::string, std::string> objects;
  InstanceList instances;

  std::string outage = "none";
  std::uint64_t lose_responses = 0;
  /// Like `lose_responses`, for commits alone.
  std::uint64_t lose_commit_responses = 0;
  std::uint64_t lose_before_write = 0;
  std::set<std::string> cut_off_domains;

  std::map<std::string, std::uint64_t> counters;
};

}  // namespace pomelospar::stand_in

#endif  // POMELOSPAR_TESTS_STAND_INS_PLATFORM_STAND_IN_PLATFORM_SERVICE_H_
