#include "tests/stand_ins/service_stand_in/plain_service.h"

#include <fmt/format.h>

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <tuple>
#include <utility>

#include "libraries/core/identifiers.h"

namespace pomelospar::stand_in {
namespace {

namespace asio = boost::asio;

constexpr int kCrashStatus = 70;
constexpr auto kForever = std::chrono::hours(24);

std::string HeaderText(const http::HttpRequest& request, std::string_view name) {
  return std::string(request.FindHeader(name).value_or(""));
}

std::int64_t WallMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string Dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

PlainService::PlainService(const ServiceOptions& service_options)
    : options(service_options), incarnation(core::RandomNonZero()) {
  if (!this->options.history_file.empty()) {
    this->history.open(this->options.history_file, std::ios::app);
  }
}

asio::awaitable<void> PlainService::Handle(StandInPort& port, http::ServerExchange& exchange) {
  const auto& request = exchange.request();
  if (request.path() == "/control" && request.method == "POST") {
    const auto body = ParseObject(request.body);
    if (body.contains("fault")) this->faults.Set(body.at("fault"));
    if (body.contains("leaving")) this->leaving = body.at("leaving") == true;
    if (body.contains("crash")) this->Crash(port);
  } else if (request.path() == "/load") {
    const nlohmann::json load = {{"leaving", this->leaving},
                                 {"incarnation", std::to_string(this->incarnation)}};
    co_await RespondJson(exchange, 200, load);
    co_return;
  } else if (request.path() != "/control/statistics") {
    co_await this->Run(port, exchange);
    co_return;
  }
  const auto statistics = this->Statistics();
  co_await RespondJson(exchange, 200, statistics);
}

asio::awaitable<void> PlainService::Run(StandInPort& port, http::ServerExchange& exchange) {
  ++this->received;
  const auto& request = exchange.request();
  const auto fault = this->faults.Next(ParseObject(request.body));
  if (fault.kind == "crash") {
    this->Crash(port);
    co_return;
  }
  if (fault.kind == "close_before") {
    exchange.Abort();
    co_return;
  }
  // A run that has begun goes on when the caller leaves, as a booking does.
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           this->options.run_time + fault.delay);
  co_await timer.async_wait(asio::use_awaitable);
  const auto key = HeaderText(request, "Idempotency-Key");
  const auto run = this->Record(request, key);
  if (fault.kind == "crash_after_run") {
    this->Crash(port);
    co_return;
  }
  if (fault.kind == "lose_answer") {
    exchange.Abort();
    co_return;
  }
  if (fault.kind == "never_end") {
    co_await Sleep(exchange, kForever);
    exchange.Abort();
    co_return;
  }
  if (fault.kind == "garbage_head") {
    std::ignore = co_await exchange.WriteRaw("this is not an HTTP response\r\n\r\n");
    co_return;
  }
  const nlohmann::json body = {{"key", key},
                               {"method", request.method},
                               {"path", request.path()},
                               {"nonce", HeaderText(request, "X-Nonce")},
                               {"run", run}};
  if (fault.kind == "truncate" || fault.kind == "wrong_length") {
    const auto text = Dump(body);
    const auto error = fault.kind == "truncate" ? 1 : fault.length_error;
    const auto raw = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                                 static_cast<std::int64_t>(text.size()) + error, text);
    std::ignore = co_await exchange.WriteRaw(raw);
    co_return;
  }
  std::vector<http::HttpHeader> headers = {
      {"Pomelospar-Runner-Incarnation", std::to_string(this->incarnation)}};
  if (this->leaving) headers.push_back({"Pomelospar-Leaving", "1"});
  co_await RespondJson(exchange, 200, body, std::move(headers));
  if (fault.kind == "left_over") {
    std::ignore =
        co_await exchange.WriteRaw("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n\"left over\"");
  }
}

std::uint64_t PlainService::Record(const http::HttpRequest& request, const std::string& key) {
  ++this->total_runs;
  const auto run = key.empty() ? 1 : ++this->runs[key];
  if (this->history.is_open()) {
    const nlohmann::json line = {
        {"key", key},
        {"path", request.path()},
        {"body_hash", fmt::format("{:016x}", core::HashName(request.body))},
        {"time_ms", WallMilliseconds()},
        {"run", run}};
    // Flushed at once, because a crash must not lose the record of a run that took place.
    this->history << Dump(line) << std::endl;
  }
  return run;
}

void PlainService::Crash(StandInPort& port) {
  ++this->crashes;
  if (this->options.crash_ends_process) std::_Exit(kCrashStatus);
  port.Crash(this->options.restart_after);
}

nlohmann::json PlainService::Statistics() const {
  nlohmann::json repeated = nlohmann::json::object();
  for (const auto& [key, count] : this->runs) {
    if (count > 1) repeated[key] = count;
  }
  return {{"received", this->received},
          {"runs", this->total_runs},
          {"keys", this->runs.size()},
          {"keys_run_more_than_once", std::move(repeated)},
          {"crashes", this->crashes},
          {"leaving", this->leaving},
          {"incarnation", std::to_string(this->incarnation)}};
}

}  // namespace pomelospar::stand_in
