#include "tests/stand_ins/engine_stand_in/engine_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cstdlib>
#include <tuple>
#include <utility>

#include "libraries/core/identifiers.h"
#include "tests/stand_ins/engine_stand_in/engine_text.h"

namespace pomelospar::stand_in {
namespace {

namespace asio = boost::asio;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kDefaultTokens = 16;
constexpr int kCrashStatus = 70;
constexpr auto kForever = std::chrono::hours(24);
/// A valid response that no request asked for.
constexpr std::string_view kLeftOverResponse =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n"
    "\"left over\"";

std::uint64_t NumberField(const nlohmann::json& body, const char* name, std::uint64_t otherwise) {
  const auto found = body.find(name);
  if (found == body.end() || !found->is_number_unsigned()) return otherwise;
  return found->get<std::uint64_t>();
}

std::uint64_t ResumeFrom(const http::HttpRequest& request) {
  const auto header = request.FindHeader("Resume-From").value_or("0");
  std::uint64_t first = 0;
  std::from_chars(header.data(), header.data() + header.size(), first);
  return first;
}

}  // namespace

EngineRunner::EngineRunner(asio::io_context& io_context, StandInPort& listener,
                           const EngineOptions& engine_options)
    : io(io_context), port(listener), options(engine_options), incarnation(core::RandomNonZero()) {
  this->port.handler = [this](http::ServerExchange& exchange) { return this->Handle(exchange); };
  this->port.on_restart = [this] {
    this->incarnation = core::RandomNonZero();
    this->leaving = false;
    this->samples.clear();
    this->Sample();
  };
  this->Sample();
}

asio::awaitable<void> EngineRunner::Handle(http::ServerExchange& exchange) {
  const auto path = exchange.request().path();
  const bool completion = path == "/v1/chat/completions" || path == "/v1/completions";
  if (completion && exchange.request().method == "POST") {
    co_await this->Complete(exchange);
    co_return;
  }
  nlohmann::json body;
  unsigned status = 200;
  if (path == "/load") {
    body = this->LoadReport();
  } else if (path == "/control/statistics") {
    body = this->Statistics();
  } else if (path == "/control") {
    this->Control(ParseObject(exchange.request().body));
    body = this->Statistics();
  } else {
    status = 404;
    body["error"] = "no such resource";
  }
  auto headers = this->RunnerHeaders();
  co_await RespondJson(exchange, status, body, std::move(headers));
}

EngineRunner::Generation EngineRunner::Parse(const http::HttpRequest& request,
                                             const nlohmann::json& body) {
  Generation generation;
  generation.source = AnswerSourceOf(body);
  generation.seed = AnswerSeed(generation.source);
  generation.tokens = NumberField(body, "max_tokens", kDefaultTokens);
  generation.first = ResumeFrom(request);
  generation.chat = request.path() == "/v1/chat/completions";
  const auto stream = body.find("stream");
  generation.stream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
  const auto model = body.find("model");
  if (model != body.end() && model->is_string()) generation.model = model->get<std::string>();
  generation.id = fmt::format("run-{:016x}-{}", this->incarnation, this->received);
  generation.fault = this->faults.Next(body);
  const auto& marker = this->options.crash_marker;
  if (!marker.empty() && generation.source.prompt.find(marker) != std::string::npos) {
    generation.fault.kind = "crash";
  }
  return generation;
}

asio::awaitable<void> EngineRunner::Complete(http::ServerExchange& exchange) {
  ++this->received;
  const auto body = nlohmann::json::parse(exchange.request().body, nullptr, false);
  if (!body.is_object()) {
    nlohmann::json error = {{"error", "the body is not a JSON object"}};
    co_await RespondJson(exchange, 400, error);
    co_return;
  }
  const auto generation = this->Parse(exchange.request(), body);
  const auto incarnation_at_start = this->incarnation;
  const bool entered = co_await this->Enter(exchange);
  if (!entered) {
    ++this->cancelled;
    co_return;
  }
  ++this->started;
  if (this->leaving) ++this->started_while_leaving;
  co_await this->Run(exchange, generation);
  this->Leave();
  // A run that was cut off by a crash belongs to no later incarnation.
  if (incarnation_at_start != this->incarnation) exchange.Abort();
}

asio::awaitable<bool> EngineRunner::Enter(http::ServerExchange& exchange) {
  if (this->running < this->options.slots && this->waiters.empty()) {
    ++this->running;
    this->peak_running = std::max(this->peak_running, this->running);
    this->Sample();
    co_return true;
  }
  Waiter waiter(this->io);
  const auto position = this->waiters.insert(this->waiters.end(), &waiter);
  this->peak_waiting = std::max<std::uint64_t>(this->peak_waiting, this->waiters.size());
  this->Sample();
  exchange.SetDisconnectHandler([&waiter] { waiter.timer.cancel(); });
  if (!exchange.disconnected()) {
    co_await waiter.timer.async_wait(kTuple);
  }
  exchange.SetDisconnectHandler(nullptr);
  if (!waiter.admitted) {
    this->waiters.erase(position);
    this->Sample();
  }
  co_return waiter.admitted;
}

void EngineRunner::Leave() {
  --this->running;
  while (!this->waiters.empty() && this->running < this->options.slots) {
    auto* next = this->waiters.front();
    this->waiters.pop_front();
    next->admitted = true;
    next->timer.cancel();
    ++this->running;
  }
  this->Sample();
}

std::chrono::nanoseconds EngineRunner::TokenTime() const {
  const double others = this->running > 0 ? static_cast<double>(this->running - 1) : 0.0;
  const double factor = 1.0 + (this->options.slowdown_per_running * others);
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(static_cast<double>(this->options.token_time.count()) * factor));
}

asio::awaitable<void> EngineRunner::Run(http::ServerExchange& exchange,
                                        const Generation& generation) {
  if (generation.fault.delay.count() > 0) {
    const bool present = co_await Sleep(exchange, generation.fault.delay);
    if (!present) {
      this->AfterResponse(false);
      co_return;
    }
  }
  const bool proceed = co_await this->BeforeResponse(exchange, generation);
  if (!proceed) {
    this->AfterResponse(false);
    co_return;
  }
  const bool present = co_await Sleep(exchange, this->options.first_token_time);
  if (!present) {
    this->AfterResponse(false);
    co_return;
  }
  if (generation.stream) {
    co_await this->RunStream(exchange, generation);
  } else {
    co_await this->RunWhole(exchange, generation);
  }
}

asio::awaitable<bool> EngineRunner::BeforeResponse(http::ServerExchange& exchange,
                                                   const Generation& generation) {
  const auto& kind = generation.fault.kind;
  if (kind == "close_before") {
    exchange.Abort();
    co_return false;
  }
  if (kind == "garbage_head") {
    std::ignore = co_await exchange.WriteRaw("this is not an HTTP response\r\n\r\n");
    co_return false;
  }
  if (kind == "crash" && (generation.fault.after == 0 || !generation.stream)) {
    this->Crash();
    co_return false;
  }
  co_return true;
}

asio::awaitable<void> EngineRunner::BreakOff(http::ServerExchange& exchange, const Fault& fault) {
  if (fault.kind == "crash") {
    this->Crash();
  } else if (fault.kind == "truncate") {
    exchange.Abort();
  } else {
    co_await Sleep(exchange, kForever);
  }
}

asio::awaitable<void> EngineRunner::RunStream(http::ServerExchange& exchange,
                                              const Generation& generation) {
  const ResponseFormat format{generation.id, generation.model, generation.chat};
  const auto& fault = generation.fault;
  const bool breaks =
      fault.kind == "crash" || fault.kind == "truncate" || fault.kind == "never_end";
  http::ResponseHead head;
  head.headers = this->RunnerHeaders();
  head.headers.push_back({"Content-Type", "text/event-stream"});
  head.chunked = true;
  bool present = !(co_await exchange.StartStream(std::move(head))).has_error();
  std::uint64_t next = generation.first;
  while (present && next < generation.tokens) {
    if (breaks && fault.after > 0 && next >= generation.first + fault.after) break;
    std::string piece;
    const auto end =
        std::min<std::uint64_t>(next + this->options.tokens_per_event, generation.tokens);
    const auto duration = this->TokenTime() * static_cast<std::int64_t>(end - next);
    this->generated_tokens += end - next;
    for (; next < end; ++next) piece += AnswerToken(generation.source, generation.seed, next);
    const auto event = PieceEvent(format, piece);
    present = !(co_await exchange.Write(event)).has_error();
    if (!present || next >= generation.tokens) break;
    present = co_await Sleep(exchange, duration);
  }
  if (!present || breaks) {
    if (present) {
      co_await this->BreakOff(exchange, fault);
    }
    this->AfterResponse(false);
    co_return;
  }
  const auto usage = Usage(PromptTokens(generation.source), generation.tokens);
  const auto final_events = FinalEvents(format, usage);
  std::ignore = co_await exchange.Write(final_events);
  const auto finished = co_await exchange.FinishStream();
  if (fault.kind == "left_over") {
    std::ignore = co_await exchange.WriteRaw(kLeftOverResponse);
  }
  this->AfterResponse(finished.has_value());
}

asio::awaitable<void> EngineRunner::RunWhole(http::ServerExchange& exchange,
                                             const Generation& generation) {
  const auto& fault = generation.fault;
  for (auto next = generation.first; next < generation.tokens;) {
    const auto end =
        std::min<std::uint64_t>(next + this->options.tokens_per_event, generation.tokens);
    const auto duration = this->TokenTime() * static_cast<std::int64_t>(end - next);
    const bool present = co_await Sleep(exchange, duration);
    if (!present) {
      this->AfterResponse(false);
      co_return;
    }
    this->generated_tokens += end - next;
    next = end;
  }
  if (fault.kind == "never_end" || fault.kind == "lose_answer") {
    if (fault.kind == "never_end") {
      co_await Sleep(exchange, kForever);
    }
    exchange.Abort();
    this->AfterResponse(false);
    co_return;
  }
  const ResponseFormat format{generation.id, generation.model, generation.chat};
  std::string text;
  for (auto i = generation.first; i < generation.tokens; ++i) {
    text += AnswerToken(generation.source, generation.seed, i);
  }
  const auto usage = Usage(PromptTokens(generation.source), generation.tokens);
  auto body = WholeBody(format, text, usage);
  if (fault.kind == "truncate" || fault.kind == "wrong_length") {
    const auto error = fault.kind == "truncate" ? 1 : fault.length_error;
    const auto length = std::max<std::int64_t>(0, static_cast<std::int64_t>(body.size()) + error);
    const auto raw = fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}", length,
        body);
    std::ignore = co_await exchange.WriteRaw(raw);
    this->AfterResponse(false);
    co_return;
  }
  http::HttpResponse response;
  response.headers = this->RunnerHeaders();
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(body);
  const auto sent = co_await exchange.Respond(std::move(response));
  if (fault.kind == "left_over") {
    std::ignore = co_await exchange.WriteRaw(kLeftOverResponse);
  }
  this->AfterResponse(sent.has_value());
}

void EngineRunner::AfterResponse(bool complete) {
  if (complete) {
    ++this->completed;
  } else {
    ++this->cancelled;
  }
}

std::vector<http::HttpHeader> EngineRunner::RunnerHeaders() const {
  std::vector<http::HttpHeader> headers = {
      {"Pomelospar-Runner-Incarnation", std::to_string(this->incarnation)}};
  if (this->leaving) headers.push_back({"Pomelospar-Leaving", "1"});
  return headers;
}

void EngineRunner::Crash() {
  ++this->crashes;
  if (this->options.crash_ends_process) std::_Exit(kCrashStatus);
  this->incarnation = core::RandomNonZero();
  this->port.Crash(this->options.restart_after);
}

void EngineRunner::Sample() {
  const auto now = std::chrono::steady_clock::now();
  this->samples.push_back({now, this->running, this->waiters.size(), this->leaving});
  while (this->samples.size() > 1 && this->samples[1].time + this->options.load_lag <= now) {
    this->samples.pop_front();
  }
}

nlohmann::json EngineRunner::LoadReport() {
  const auto visible = std::chrono::steady_clock::now() - this->options.load_lag;
  while (this->samples.size() > 1 && this->samples[1].time <= visible) this->samples.pop_front();
  const auto& sample = this->samples.front();
  return {{"running", sample.running},
          {"waiting", sample.waiting},
          {"slots", this->options.slots},
          {"leaving", sample.leaving},
          {"incarnation", std::to_string(this->incarnation)}};
}

nlohmann::json EngineRunner::Statistics() const {
  return {{"received", this->received},
          {"started", this->started},
          {"completed", this->completed},
          {"cancelled", this->cancelled},
          {"crashes", this->crashes},
          {"running", this->running},
          {"waiting", this->waiters.size()},
          {"peak_running", this->peak_running},
          {"peak_waiting", this->peak_waiting},
          {"generated_tokens", this->generated_tokens},
          {"started_while_leaving", this->started_while_leaving},
          {"leaving", this->leaving},
          {"incarnation", std::to_string(this->incarnation)}};
}

void EngineRunner::Control(const nlohmann::json& body) {
  if (body.contains("fault")) this->faults.Set(body.at("fault"));
  if (body.contains("leaving")) this->leaving = body.at("leaving") == true;
  this->options.slots = static_cast<std::uint32_t>(NumberField(body, "slots", this->options.slots));
  const auto milliseconds = [&](const char* name, std::chrono::nanoseconds& value) {
    const auto found = body.find(name);
    if (found == body.end() || !found->is_number()) return;
    value = std::chrono::nanoseconds(static_cast<std::int64_t>(found->get<double>() * 1e6));
  };
  milliseconds("first_token_ms", this->options.first_token_time);
  milliseconds("token_ms", this->options.token_time);
  this->Sample();
  if (body.contains("crash")) this->Crash();
}

}  // namespace pomelospar::stand_in
