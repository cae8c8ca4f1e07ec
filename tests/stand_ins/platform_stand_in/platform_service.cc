#include "tests/stand_ins/platform_stand_in/platform_service.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <tuple>
#include <utility>

#include "tests/stand_ins/common/stand_in_host.h"

namespace pomelospar::stand_in {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kObjectPrefix = "/v1/objects/";
constexpr std::uint64_t kDefaultScanLimit = 1000;
constexpr auto kForever = std::chrono::hours(24);

std::uint64_t NumberParameter(const http::HttpRequest& request, std::string_view name,
                              std::uint64_t otherwise) {
  const auto text = request.QueryParameter(name);
  if (!text) return otherwise;
  std::uint64_t number = otherwise;
  std::from_chars(text->data(), text->data() + text->size(), number);
  return number;
}

nlohmann::json RowToJson(const platform::Row& row) {
  return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

std::string Dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Nothing if the transaction is malformed or writes a row twice, for which no expected version
/// would have a clear meaning.
std::optional<platform::Transaction> ParseTransaction(const nlohmann::json& description) {
  if (!description.is_object() || !description.contains("writes")) return std::nullopt;
  const auto& writes = description.at("writes");
  if (!writes.is_array() || writes.empty()) return std::nullopt;
  platform::Transaction transaction;
  std::set<std::string> keys;
  for (const auto& item : writes) {
    if (!item.is_object() || !item.contains("key") || !item.contains("value")) return std::nullopt;
    if (!item.at("key").is_string() || !item.at("value").is_string()) return std::nullopt;
    platform::Write write;
    write.key = item.at("key").get<std::string>();
    write.value = item.at("value").get<std::string>();
    if (item.contains("expected_version")) {
      if (!item.at("expected_version").is_number_unsigned()) return std::nullopt;
      write.expected_version = item.at("expected_version").get<std::uint64_t>();
    }
    if (!keys.insert(write.key).second) return std::nullopt;
    transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

bool IsWrite(const http::HttpRequest& request) {
  return request.method == "POST" || request.method == "PUT";
}

}  // namespace

bool RateLimit::Take(std::chrono::steady_clock::time_point now) {
  const double elapsed = std::chrono::duration<double>(now - this->last).count();
  this->last = now;
  this->tokens = std::min(this->rate, this->tokens + (elapsed * this->rate));
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

PlatformService::PlatformService(const PlatformOptions& platform_options)
    : options(platform_options),
      writes(platform_options.writes_per_second),
      reads(platform_options.reads_per_second),
      instances(platform_options.instance_list_lag) {}

asio::awaitable<void> PlatformService::Handle(http::ServerExchange& exchange) {
  const auto& request = exchange.request();
  Reply reply;
  if (request.path().substr(0, 8) == "/control") {
    reply = this->HandleControl(request);
  } else {
    const bool is_write = IsWrite(request);
    const bool proceed = co_await this->PassFaults(exchange, is_write);
    if (!proceed) co_return;
    if (is_write && this->lose_before_write > 0) {
      --this->lose_before_write;
      ++this->counters["lost_before_write"];
      exchange.Abort();
      co_return;
    }
    reply = this->HandleService(request);
    bool lose_any = false;
    const bool lose_commit =
        this->lose_commit_responses > 0 && request.path() == "/v1/table/commit";
    if (lose_commit) {
      --this->lose_commit_responses;
    } else if (is_write && this->lose_responses > 0) {
      --this->lose_responses;
      lose_any = true;
    }
    if (lose_commit || lose_any) {
      ++this->counters["lost_responses"];
      exchange.Abort();
      co_return;
    }
  }
  http::HttpResponse response;
  response.status = reply.status;
  response.headers = {{"Content-Type", reply.content_type}};
  response.body = std::move(reply.body);
  std::ignore = co_await exchange.Respond(std::move(response));
}

asio::awaitable<bool> PlatformService::PassFaults(http::ServerExchange& exchange, bool is_write) {
  const auto domain = exchange.request().FindHeader("X-Failure-Domain");
  nlohmann::json error = nlohmann::json::object();
  if (!domain) {
    error["error"] = "send the header X-Failure-Domain";
    co_await RespondJson(exchange, 400, error);
    co_return false;
  }
  const bool cut_off = this->cut_off_domains.count(std::string(*domain)) > 0;
  if (cut_off || this->outage == "hang") {
    ++this->counters[cut_off ? "cut_off" : "outage_requests"];
    co_await Sleep(exchange, kForever);
    exchange.Abort();
    co_return false;
  }
  if (this->outage == "close") {
    ++this->counters["outage_requests"];
    exchange.Abort();
    co_return false;
  }
  const bool present = co_await Sleep(exchange, this->options.delay);
  if (!present) co_return false;
  const bool rejected = this->outage == "reject";
  const bool over_rate =
      !rejected && !(is_write ? this->writes : this->reads).Take(std::chrono::steady_clock::now());
  if (rejected || over_rate) {
    ++this->counters[rejected ? "outage_requests" : "over_rate"];
    error["error"] = rejected ? "the service is down" : "the service is over its rate";
    co_await RespondJson(exchange, 503, error);
    co_return false;
  }
  co_return true;
}

PlatformService::Reply PlatformService::HandleService(const http::HttpRequest& request) {
  const auto path = request.path();
  ++this->counters[IsWrite(request) ? "writes" : "reads"];
  const auto domain = std::string(request.FindHeader("X-Failure-Domain").value_or(""));
  ++this->counters["requests/" + domain];
  if (path == "/v1/table/commit" && request.method == "POST") return this->Commit(request);
  if (path == "/v1/table/row" && request.method == "GET") return this->ReadRow(request);
  if (path == "/v1/table/scan" && request.method == "GET") return this->Scan(request);
  if (path == "/v1/instances" && request.method == "GET") return this->ListInstances(request);
  if (path.substr(0, kObjectPrefix.size()) == kObjectPrefix) return this->HandleObject(request);
  return {404, R"({"error":"no such resource"})"};
}

PlatformService::Reply PlatformService::Commit(const http::HttpRequest& request) {
  const auto body = ParseObject(request.body);
  const auto found = body.find("transactions");
  if (found == body.end() || !found->is_array()) return {400, R"({"error":"no transactions"})"};
  if (found->size() > this->options.transactions_per_commit) {
    return {400, R"({"error":"too many transactions in one commit"})"};
  }
  std::vector<platform::Transaction> transactions;
  for (const auto& description : *found) {
    auto transaction = ParseTransaction(description);
    if (!transaction) return {400, R"({"error":"a transaction is malformed"})"};
    transactions.push_back(std::move(*transaction));
  }
  nlohmann::json results = nlohmann::json::array();
  for (const auto& transaction : transactions) {
    const auto result = this->table.Commit(transaction);
    ++this->counters[result.committed ? "committed" : "conflicts"];
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& row : result.rows) rows.push_back(RowToJson(row));
    results.push_back({{"committed", result.committed}, {"rows", std::move(rows)}});
  }
  const nlohmann::json reply = {{"results", std::move(results)}};
  return {200, Dump(reply)};
}

PlatformService::Reply PlatformService::ReadRow(const http::HttpRequest& request) {
  const auto row = this->table.Read(request.QueryParameter("key").value_or(""));
  if (!row) return {404, R"({"error":"no such row"})"};
  return {200, Dump(RowToJson(*row))};
}

PlatformService::Reply PlatformService::Scan(const http::HttpRequest& request) {
  const auto limit =
      std::min(kDefaultScanLimit, NumberParameter(request, "limit", kDefaultScanLimit));
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& row : this->table.Scan(request.QueryParameter("prefix").value_or(""),
                                          request.QueryParameter("after").value_or(""), limit)) {
    rows.push_back(RowToJson(row));
  }
  const nlohmann::json reply = {{"rows", std::move(rows)}};
  return {200, Dump(reply)};
}

PlatformService::Reply PlatformService::HandleObject(const http::HttpRequest& request) {
  const auto name = http::PercentDecode(request.path().substr(kObjectPrefix.size()));
  if (request.method == "PUT") {
    this->objects[name] = request.body;
    return {204, ""};
  }
  const auto found = this->objects.find(name);
  if (found == this->objects.end()) return {404, R"({"error":"no such object"})"};
  return {200, found->second, "application/octet-stream"};
}

PlatformService::Reply PlatformService::ListInstances(const http::HttpRequest& request) {
  const auto since = NumberParameter(request, "since", 0);
  return {200, Dump(this->instances.Since(since, std::chrono::steady_clock::now()))};
}

PlatformService::Reply PlatformService::HandleControl(const http::HttpRequest& request) {
  const auto path = request.path();
  if (path == "/control/statistics") return {200, Dump(this->Statistics())};
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (path == "/control/instances" && request.method == "POST") {
    if (this->instances.Change(body, std::chrono::steady_clock::now())) return {200, "{}"};
    return {400, R"({"error":"send {\"set\":[instances],\"remove\":[addresses]}"})"};
  }
  if (path == "/control" && request.method == "POST" && this->Control(body)) return {200, "{}"};
  return {400, R"({"error":"no such control request"})"};
}

bool PlatformService::Control(const nlohmann::json& body) {
  if (!body.is_object()) return false;
  try {
    this->outage = body.value("outage", this->outage);
    this->lose_responses = body.value("lose_responses", this->lose_responses);
    this->lose_commit_responses = body.value("lose_commit_responses", this->lose_commit_responses);
    this->lose_before_write = body.value("lose_before_write", this->lose_before_write);
    this->options.delay =
        std::chrono::milliseconds(body.value("delay_ms", this->options.delay.count()));
    if (body.contains("cut_off_domains")) {
      this->cut_off_domains = body.at("cut_off_domains").get<std::set<std::string>>();
    }
    if (body.contains("instance_list_lag_ms")) {
      this->instances.set_lag(
          std::chrono::milliseconds(body.at("instance_list_lag_ms").get<std::int64_t>()));
    }
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  return true;
}

nlohmann::json PlatformService::Statistics() const {
  nlohmann::json statistics = this->counters;
  if (statistics.is_null()) statistics = nlohmann::json::object();
  statistics["rows"] = this->table.size();
  statistics["objects"] = this->objects.size();
  statistics["outage"] = this->outage;
  return statistics;
}

}  // namespace pomelospar::stand_in
