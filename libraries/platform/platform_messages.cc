#include "libraries/platform/platform_messages.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace pomelospar::platform {
namespace {

using Json = nlohmann::json;

/// Parses the text and runs the decoder. Invalid JSON and fields that are missing or of a wrong
/// type, for which the JSON library throws, become `kMalformed`.
template <typename Decoder>
auto Decode(std::string_view text, const Decoder& decoder)
    -> core::Result<decltype(decoder(Json()))> {
  try {
    return decoder(Json::parse(text));
  } catch (const Json::exception& failure) {
    return core::MakeError(
        core::ErrorKind::kMalformed,
        fmt::format("the platform sent a response that does not follow its interface: {}",
                    failure.what()));
  }
}

Row RowOf(const Json& json) {
  Row row;
  row.key = json.at("key").get<std::string>();
  row.value = json.at("value").get<std::string>();
  row.version = json.at("version").get<std::uint64_t>();
  return row;
}

std::vector<Row> RowsOf(const Json& json) {
  std::vector<Row> rows;
  for (const auto& item : json) rows.push_back(RowOf(item));
  return rows;
}

std::vector<TransactionResult> ResultsOf(const Json& json) {
  std::vector<TransactionResult> results;
  for (const auto& item : json.at("results")) {
    results.push_back({item.at("committed").get<bool>(), RowsOf(item.at("rows"))});
  }
  return results;
}

Instance InstanceOf(const Json& json) {
  Instance instance;
  instance.address = json.at("address").get<std::string>();
  instance.domain = json.at("domain").get<std::string>();
  instance.role = json.at("role").get<std::string>();
  const auto status = json.at("status").get<std::string>();
  // An instance with a status that this version does not know is assumed to take no new work.
  instance.status = status == "live" ? InstanceStatus::kLive : InstanceStatus::kLeaving;
  instance.incarnation = json.at("incarnation").get<std::string>();
  instance.slots = json.value("slots", instance.slots);
  return instance;
}

InstanceChanges ChangesOf(const Json& json) {
  InstanceChanges changes;
  changes.version = json.at("version").get<std::uint64_t>();
  changes.complete = json.at("complete").get<bool>();
  for (const auto& item : json.at("changed")) changes.changed.push_back(InstanceOf(item));
  changes.removed_addresses = json.at("removed").get<std::vector<std::string>>();
  return changes;
}

/// Returns true if each result contains exactly the rows of its transaction, in the same order.
bool Correspond(const std::vector<TransactionResult>& results,
                const std::vector<Transaction>& transactions) {
  if (results.size() != transactions.size()) return false;
  for (std::size_t i = 0; i < results.size(); ++i) {
    const auto& writes = transactions[i].writes;
    if (results[i].rows.size() != writes.size()) return false;
    for (std::size_t j = 0; j < writes.size(); ++j) {
      if (results[i].rows[j].key != writes[j].key) return false;
    }
  }
  return true;
}

}  // namespace

core::Result<std::string> EncodeTransactions(const std::vector<Transaction>& transactions) {
  Json list = Json::array();
  for (const auto& transaction : transactions) {
    Json writes = Json::array();
    for (const auto& write : transaction.writes) {
      Json item = {{"key", write.key}, {"value", write.value}};
      if (write.expected_version) item["expected_version"] = *write.expected_version;
      writes.push_back(std::move(item));
    }
    list.push_back({{"writes", std::move(writes)}});
  }
  const Json body = {{"transactions", std::move(list)}};
  try {
    return body.dump();
  } catch (const Json::exception&) {
    return core::MakeError(
        core::ErrorKind::kInvalidArgument,
        "keys and values of rows must be UTF-8; encode binary content as base64");
  }
}

core::Result<std::vector<TransactionResult>> DecodeTransactionResults(
    std::string_view text, const std::vector<Transaction>& transactions) {
  BOOST_OUTCOME_TRY(auto results, Decode(text, ResultsOf));
  if (Correspond(results, transactions)) return results;
  return core::MakeError(core::ErrorKind::kMalformed,
                         "the platform's results do not correspond to the transactions sent");
}

core::Result<Row> DecodeRow(std::string_view text) { return Decode(text, RowOf); }

core::Result<std::vector<Row>> DecodeRows(std::string_view text) {
  return Decode(text, [](const Json& json) { return RowsOf(json.at("rows")); });
}

core::Result<InstanceChanges> DecodeInstanceChanges(std::string_view text) {
  return Decode(text, ChangesOf);
}

}  // namespace pomelospar::platform
