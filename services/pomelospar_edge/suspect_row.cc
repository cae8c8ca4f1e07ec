#include "services/pomelospar_edge/suspect_row.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>
#include <utility>

#include "libraries/core/milliseconds.h"

namespace pomelospar::edge {
namespace {

using core::WholeMilliseconds;
using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint64_t kFormat = 1;
// What a faulty writer can make a router keep.
constexpr std::size_t kMaxEntries = 16 * dispatch::CrashSuspects::kMaxRecordedSubjects;
constexpr std::int64_t kLongestAge = std::chrono::milliseconds(std::chrono::hours(24)).count();

std::optional<std::uint64_t> HexOf(const Json& entry, const char* name) {
  const auto found = entry.find(name);
  if (found == entry.end() || !found->is_string()) return std::nullopt;
  const auto& text = found->get_ref<const std::string&>();
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value, 16);
  if (error != std::errc() || last != end) return std::nullopt;
  return value;
}

std::optional<core::Duration> AgeOf(const Json& entry, const char* name) {
  const auto found = entry.find(name);
  if (found == entry.end() || !found->is_number_unsigned()) return std::nullopt;
  const auto value = found->get<std::uint64_t>();
  if (value > static_cast<std::uint64_t>(kLongestAge)) return std::nullopt;
  return milliseconds(static_cast<std::int64_t>(value));
}

std::optional<dispatch::Quarantine> DecodeQuarantine(const Json& entry) {
  if (!entry.is_object()) return std::nullopt;
  const auto subject = HexOf(entry, "subject");
  const auto age = AgeOf(entry, "age-ms");
  const auto spent = entry.find("trials");
  if (!subject || !age || spent == entry.end() || !spent->is_number_unsigned()) return std::nullopt;
  const auto trials = spent->get<std::uint64_t>();
  return dispatch::Quarantine{*subject, trials, *age, trials};
}

std::optional<dispatch::Suspicion> DecodeCrash(const Json& entry) {
  if (!entry.is_object()) return std::nullopt;
  const auto subject = HexOf(entry, "subject");
  const auto crash = HexOf(entry, "crash");
  const auto age = AgeOf(entry, "age-ms");
  if (!subject || !crash || !age) return std::nullopt;
  return dispatch::Suspicion{*subject, *crash, *age, AgeOf(entry, "in-progress-ms")};
}

// Appends what can be decoded; one damaged entry does not spoil the others.
template <typename Entry, typename Decode>
void DecodeAll(const Json& json, const char* name, Decode decode, std::vector<Entry>& entries) {
  const auto list = json.find(name);
  if (list == json.end() || !list->is_array()) return;
  for (const auto& element : *list) {
    if (entries.size() >= kMaxEntries) return;
    if (auto entry = decode(element)) entries.push_back(std::move(*entry));
  }
}

std::set<std::tuple<std::uint64_t, std::uint64_t, bool>> ContentOf(
    const dispatch::SuspectNews& record) {
  std::set<std::tuple<std::uint64_t, std::uint64_t, bool>> content;
  for (const auto& entry : record.quarantines) {
    content.emplace(entry.subject, entry.spent_trials, true);
  }
  for (const auto& entry : record.suspicions) content.emplace(entry.subject, entry.crash, false);
  return content;
}

}  // namespace

std::string EncodeSuspectRow(const SuspectRow& row) {
  Json json = {{"format", kFormat}, {"quarantines", Json::array()}, {"crashes", Json::array()}};
  if (row.epoch) json["epoch"] = *row.epoch;
  if (row.written_at) {
    json["at-ms"] = std::chrono::duration_cast<milliseconds>(*row.written_at).count();
  }
  for (const auto& entry : row.record.quarantines) {
    json["quarantines"].push_back({{"subject", fmt::format("{:x}", entry.subject)},
                                   {"trials", entry.spent_trials},
                                   {"age-ms", WholeMilliseconds(entry.age)}});
  }
  for (const auto& entry : row.record.suspicions) {
    Json crash = {{"subject", fmt::format("{:x}", entry.subject)},
                  {"crash", fmt::format("{:x}", entry.crash)},
                  {"age-ms", WholeMilliseconds(entry.age)}};
    if (entry.in_progress) {
      crash["in-progress-ms"] = WholeMilliseconds(*entry.in_progress);
    }
    json["crashes"].push_back(std::move(crash));
  }
  return json.dump();
}

core::Result<SuspectRow> DecodeSuspectRow(std::string_view value) {
  const auto json = Json::parse(value, nullptr, false);
  const auto malformed = [] {
    return core::MakeError(core::ErrorKind::kMalformed, "the row of suspects is malformed");
  };
  if (!json.is_object()) return malformed();
  const auto format = json.find("format");
  if (format == json.end() || !format->is_number_unsigned()) return malformed();
  if (format->get<std::uint64_t>() > kFormat) {
    return core::MakeError(core::ErrorKind::kInvalidArgument,
                           "the row of suspects was written by a later release");
  }
  SuspectRow row;
  if (const auto at = json.find("at-ms"); at != json.end() && at->is_number_integer()) {
    row.written_at = milliseconds(at->get<std::int64_t>());
  }
  if (const auto epoch = json.find("epoch"); epoch != json.end() && epoch->is_number_unsigned()) {
    row.epoch = epoch->get<std::uint64_t>();
  }
  DecodeAll(json, "quarantines", DecodeQuarantine, row.record.quarantines);
  DecodeAll(json, "crashes", DecodeCrash, row.record.suspicions);
  return row;
}

dispatch::SuspectNews RecordAt(const SuspectRow& row, std::optional<core::Duration> now,
                               dispatch::StoreEpoch epoch) {
  auto record = row.record;
  if (!now || !row.written_at || row.epoch != epoch || *now <= *row.written_at) return record;
  const auto passed = std::min<core::Duration>(*now - *row.written_at, milliseconds(kLongestAge));
  for (auto& entry : record.quarantines) entry.age += passed;
  for (auto& entry : record.suspicions) entry.age += passed;
  return record;
}

bool HaveSameContent(const dispatch::SuspectNews& one, const dispatch::SuspectNews& other) {
  return ContentOf(one) == ContentOf(other);
}

}  // namespace pomelospar::edge
