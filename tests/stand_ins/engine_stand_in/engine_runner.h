#ifndef POMELOSPAR_TESTS_STAND_INS_ENGINE_STAND_IN_ENGINE_RUNNER_H_
#define POMELOSPAR_TESTS_STAND_INS_ENGINE_STAND_IN_ENGINE_RUNNER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <nlohmann/json.hpp>
#include <string>

#include "libraries/http/server_exchange.h"
#include "tests/stand_ins/common/answer.h"
#include "tests/stand_ins/common/fault.h"
#include "tests/stand_ins/common/stand_in_host.h"

namespace pomelospar::stand_in {

struct EngineOptions {
  /// Requests that run at once; further ones wait in order of arrival without limit.
  std::uint32_t slots = 8;
  std::chrono::nanoseconds first_token_time = std::chrono::milliseconds(20);
  std::chrono::nanoseconds token_time = std::chrono::milliseconds(5);
  /// Each further running request makes a token take longer by this part of `token_time`.
  double slowdown_per_running = 0.02;
  std::uint32_t tokens_per_event = 1;
  /// Age of the figures in the load report.
  std::chrono::milliseconds load_lag{0};
  /// A prompt that contains this text crashes the runner. Empty: none does.
  std::string crash_marker;
  /// Whether a crash ends the process; else the port closes and comes back.
  bool crash_ends_process = true;
  std::chrono::milliseconds restart_after{1000};
};

/// One emulated model engine with continuous batching.
class EngineRunner {
 public:
  EngineRunner(boost::asio::io_context& io_context, StandInPort& listener,
               const EngineOptions& engine_options);

  boost::asio::awaitable<void> Handle(http::ServerExchange& exchange);

 private:
  struct Generation {
    AnswerSource source;
    std::uint64_t seed = 0;
    std::uint64_t tokens = 0;
    /// Tokens that the caller already has from a broken stream.
    std::uint64_t first = 0;
    bool chat = true;
    bool stream = false;
    std::string model;
    std::string id;
    Fault fault;
  };
  struct Waiter {
    explicit Waiter(boost::asio::io_context& io)
        : timer(io, std::chrono::steady_clock::time_point::max()) {}
    boost::asio::steady_timer timer;
    bool admitted = false;
  };
  struct LoadSample {
    std::chrono::steady_clock::time_point time;
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    bool leaving = false;
  };

  boost::asio::awaitable<void> Complete(http::ServerExchange& exchange);
  boost::asio::awaitable<bool> Enter(http::ServerExchange& exchange);
  void Leave();
  boost::asio::awaitable<void> Run(http::ServerExchange& exchange, const Generation& generation);
  boost::asio::awaitable<void> RunStream(http::ServerExchange& exchange,
                                         const Generation& generation);
  boost::asio::awaitable<void> RunWhole(http::ServerExchange& exchange,
                                        const Generation& generation);
  /// False if the fault took the place of the rest of the response.
  boost::asio::awaitable<bool> BeforeResponse(http::ServerExchange& exchange,
                                              const Generation& generation);
  /// Carries out a fault that takes place in the middle of the tokens.
  boost::asio::awaitable<void> BreakOff(http::ServerExchange& exchange, const Fault& fault);
  void AfterResponse(bool complete);
  Generation Parse(const http::HttpRequest& request, const nlohmann::json& body);
  std::chrono::nanoseconds TokenTime() const;
  std::vector<http::HttpHeader> RunnerHeaders() const;
  void Crash();
  void Sample();
  nlohmann::json LoadReport();
  nlohmann::json Statistics() const;
  void Control(const nlohmann::json& body);

  boost::asio::io_context& io;
  StandInPort& port;
  EngineOptions options;
  PlannedFaults faults;
  std::uint64_t incarnation;
  bool leaving = false;
  std::uint64_t running = 0;
  std::list<Waiter*> waiters;
  std::deque<LoadSample> samples;

  std::uint64_t received = 0;
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t crashes = 0;
  std::uint64_t peak_running = 0;
  std::uint64_t peak_waiting = 0;
  std::uint64_t generated_tokens = 0;
  /// Requests that were started while the runner was leaving.
  std::uint64_t started_while_leaving = 0;
};

}  // namespace pomelospar::stand_in

#endif  // POMELOSPAR_TESTS_STAND_INS_ENGINE_STAND_IN_ENGINE_RUNNER_H_
