#include "utilities/pomelospar_load/client/load_client.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/lexical_cast.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <utility>

#include "utilities/pomelospar_load/plan/answer_check.h"

namespace pomelospar::load {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kMaximumResponseBytes = 256ULL * 1024 * 1024;
// Keeps a closed loop from using the whole CPU when a router refuses every request immediately.
constexpr auto kPauseAfterFailure = std::chrono::milliseconds(10);
// Leaves time for a failed router to be replaced before the same idempotency key is sent again.
constexpr auto kPauseBeforeResend = std::chrono::milliseconds(200);

struct Connection {
  explicit Connection(asio::io_context& io) : stream(io) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};
using ConnectionPointer = std::unique_ptr<Connection>;
using Response = http::response_parser<http::buffer_body>;

SteadyClock::duration Seconds(double seconds) {
  return std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(seconds));
}

/// Returns whether an idle connection is open and has no unread data. A request sent on a
/// connection that the router has closed after its idle timeout would be counted as an unknown
/// outcome.
bool IsUsable(Connection& connection) {
  error_code error;
  auto& socket = connection.stream.socket();
  socket.non_blocking(true, error);
  std::array<char, 1> byte{};
  socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

http::request<http::string_body> MakeRequest(const PlannedRequest& planned,
                                             const std::string& target) {
  http::request<http::string_body> request(http::verb::post, planned.path, 11);
  request.set(http::field::host, target);
  request.set(http::field::content_type, "application/json");
  request.set(http::field::authorization, "Bearer " + planned.api_key);
  request.set("Pomelospar-Caller", planned.caller);
  if (!planned.request_class.empty()) {
    request.set("Pomelospar-Class", planned.request_class);
  }
  if (planned.kind == RequestKind::kPost) {
    request.set("Idempotency-Key", planned.key);
    request.set("X-Nonce", planned.nonce);
  }
  request.body() = planned.body;
  request.prepare_payload();
  return request;
}

class LoadRunner {
 public:
  LoadRunner(const LoadPlan& plan, const Observer& observer)
      : plan(plan),
        observer(observer),
        generator(plan),
        begin(SteadyClock::now()),
        idle(plan.targets.size()) {}

  void Run() {
    for (const auto& source : this->plan.sources) {
      if (source.rate > 0.0) {
        asio::co_spawn(this->io, this->RunOpenLoop(source), asio::detached);
      }
      for (std::uint32_t index = 0; index < source.concurrency; ++index) {
        asio::co_spawn(this->io, this->RunClosedLoop(source), asio::detached);
      }
    }
    this->io.run_until(this->begin +
                       Seconds(this->plan.duration_seconds + this->plan.drain_seconds));
    for (auto* observation : this->active) {
      observation->done = this->Elapsed();
      this->observer(*observation);
    }
  }

 private:
  double Elapsed() const {
    return std::chrono::duration<double>(SteadyClock::now() - this->begin).count();
  }

  double StopOf(const Source& source) const {
    const double end = this->plan.duration_seconds;
    return source.stop > 0.0 ? std::min(source.stop, end) : end;
  }

  asio::awaitable<void> SleepUntil(double time) {
    asio::steady_timer timer(this->io, this->begin + Seconds(time));
    std::ignore = co_await timer.async_wait(kNoThrow);
  }

  asio::awaitable<void> RunOpenLoop(const Source& source) {
    double planned = source.start + this->generator.NextGap(source);
    while (planned < this->StopOf(source)) {
      co_await this->SleepUntil(planned);
      auto request = this->generator.Next(source);
      if (this->active.size() < this->plan.maximum_in_flight) {
        asio::co_spawn(this->io, this->RunRequest(std::move(request), planned), asio::detached);
      } else {
        Observation not_sent;
        not_sent.request = std::move(request);
        not_sent.planned = planned;
        this->observer(not_sent);
      }
      planned += this->generator.NextGap(source);
    }
  }

  asio::awaitable<void> RunClosedLoop(const Source& source) {
    co_await this->SleepUntil(source.start);
    while (this->Elapsed() < this->StopOf(source)) {
      auto request = this->generator.Next(source);
      const double planned = this->Elapsed();
      const auto result = co_await this->RunRequest(std::move(request), planned);
      if (result != RequestResult::kAnswered) {
        const double pause = std::chrono::duration<double>(kPauseAfterFailure).count();
        co_await this->SleepUntil(this->Elapsed() + pause);
      }
    }
  }

  asio::awaitable<RequestResult> RunRequest(PlannedRequest request, double planned) {
    Observation observation;
    observation.request = std::move(request);
    observation.planned = planned;
    while (true) {
      this->active.insert(&observation);
      co_await this->RunAttempt(observation);
      this->active.erase(&observation);
      observation.done = this->Elapsed();
      this->observer(observation);
      const auto result = ResultOf(observation);
      const bool repeats = result == RequestResult::kUnknown &&
                           observation.request.kind == RequestKind::kPost &&
                           observation.attempt <= this->plan.resend_unknown;
      if (!repeats) {
        co_return result;
      }
      const double pause = std::chrono::duration<double>(kPauseBeforeResend).count();
      co_await this->SleepUntil(this->Elapsed() + pause);
      Observation next;
      next.request = std::move(observation.request);
      next.request.target = this->generator.OtherTarget(next.request.target);
      next.planned = planned;
      next.attempt = observation.attempt + 1;
      observation = std::move(next);
    }
  }

  asio::awaitable<void> RunAttempt(Observation& observation) {
    const auto index = observation.request.target;
    observation.target = this->plan.targets.at(index).name;
    auto connection = co_await this->Connect(index);
    observation.sent = this->Elapsed();
    if (connection == nullptr) {
      observation.problem = "no connection to the router";
      co_return;
    }
    const auto request = MakeRequest(observation.request, observation.target);
    observation.was_sent = true;
    const auto [write_error, written] =
        co_await http::async_write(connection->stream, request, kNoThrow);
    if (write_error) {
      observation.problem = write_error.message();
      co_return;
    }
    Response response;
    response.body_limit(kMaximumResponseBytes);
    const bool complete = co_await this->Read(*connection, response, observation);
    connection->stream.expires_never();
    if (complete && response.keep_alive()) {
      this->idle.at(index).push_back(std::move(connection));
    }
  }

  asio::awaitable<ConnectionPointer> Connect(std::size_t index) {
    auto& kept = this->idle.at(index);
    while (!kept.empty()) {
      auto connection = std::move(kept.back());
      kept.pop_back();
      if (IsUsable(*connection)) {
        connection->stream.expires_after(Seconds(this->plan.timeout_seconds));
        co_return connection;
      }
    }
    const auto& name = this->plan.targets.at(index).name;
    const auto colon = name.rfind(':');
    error_code error;
    const auto address = asio::ip::make_address(name.substr(0, colon), error);
    std::uint16_t port = 0;
    const bool valid = colon != std::string::npos && !error &&
                       boost::conversion::try_lexical_convert(name.substr(colon + 1), port);
    if (!valid) {
      co_return nullptr;
    }
    auto connection = std::make_unique<Connection>(this->io);
    connection->stream.expires_after(Seconds(this->plan.timeout_seconds));
    const asio::ip::tcp::endpoint endpoint(address, port);
    const auto [connect_error] = co_await connection->stream.async_connect(endpoint, kNoThrow);
    if (connect_error) {
      co_return nullptr;
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return connection;
  }

  /// Reads the response. Returns true if it was received completely and no problem was found in it,
  /// so that the connection may be used again.
  asio::awaitable<bool> Read(Connection& connection, Response& response, Observation& observation) {
    const auto [head_error, head_bytes] =
        co_await http::async_read_header(connection.stream, connection.buffer, response, kNoThrow);
    if (head_error) {
      observation.problem = head_error.message();
      co_return false;
    }
    observation.status = response.get().result_int();
    observation.outcome_header = std::string(response.get()["Pomelospar-Outcome"]);
    AnswerCheck check(observation.request);
    double last_event = 0.0;
    std::array<char, 16 * 1024> piece{};
    while (!response.is_done()) {
      response.get().body().data = piece.data();
      response.get().body().size = piece.size();
      const auto [error, bytes] =
          co_await http::async_read_some(connection.stream, connection.buffer, response, kNoThrow);
      const auto size = piece.size() - response.get().body().size;
      const auto events = check.Feed({piece.data(), size});
      this->Record(observation, events, last_event);
      observation.tokens = check.tokens();
      if (error && error != http::error::need_buffer) {
        observation.problem = error.message();
        co_return false;
      }
    }
    observation.complete = true;
    const bool success = observation.status >= 200 && observation.status < 300;
    observation.problem = success ? check.Finish() : "";
    observation.tokens = success ? check.tokens() : 0;
    if (connection.buffer.size() > 0) {
      observation.problem = "bytes after the end of the response";
    }
    co_return observation.problem.empty();
  }

  void Record(Observation& observation, std::uint32_t events, double& last_event) const {
    const double now = this->Elapsed();
    for (std::uint32_t event = 0; event < events; ++event) {
      if (!observation.first_event.has_value()) {
        observation.first_event = now;
      } else {
        // Events that complete in the same read have a gap of zero.
        observation.gaps.push_back(static_cast<float>(now - last_event));
      }
      last_event = now;
    }
  }

  const LoadPlan& plan;
  const Observer& observer;
  RequestGenerator generator;
  SteadyClock::time_point begin;
  std::set<Observation*> active;
  // Destroying the context destroys suspended coroutines, which use the members above. It is
  // therefore declared after them.
  asio::io_context io{1};
  std::vector<std::vector<ConnectionPointer>> idle;
};

}  // namespace

void RunLoad(const LoadPlan& plan, const Observer& observer) {
  LoadRunner runner(plan, observer);
  runner.Run();
}

}  // namespace pomelospar::load
