// Reads of the store across its returns from older copies, in virtual time.

#include "libraries/dispatch/store_epochs.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pomelospar::dispatch {
namespace {

// Guards against an answer from before a return that is used after it.
TEST(StoreEpochsTest, AnAnswerOfAnEarlierEpochIsLate) {
  StoreEpochs epochs;
  EXPECT_EQ(RecordEpoch(epochs, 0, 4), EpochEffect::kSame);
  EXPECT_EQ(RecordEpoch(epochs, 0, 4), EpochEffect::kSame);
  const auto sent_before = epochs.changes;
  EXPECT_EQ(RecordEpoch(epochs, epochs.changes, 5), EpochEffect::kChanged);
  EXPECT_EQ(RecordEpoch(epochs, sent_before, 4), EpochEffect::kLate);
  EXPECT_EQ(RecordEpoch(epochs, sent_before, std::nullopt), EpochEffect::kLate);
  EXPECT_EQ(epochs.current, 5U);
  // The second return may be seen by a call that was sent before the first one was known.
  EXPECT_EQ(RecordEpoch(epochs, sent_before, 6), EpochEffect::kChanged);
}

// Guards against a router that ignores the store for ever after one odd value.
TEST(StoreEpochsTest, FollowsWhatTheStoreSaysNow) {
  StoreEpochs epochs;
  RecordEpoch(epochs, 0, 4);
  EXPECT_EQ(RecordEpoch(epochs, epochs.changes, ~0ULL), EpochEffect::kChanged);
  EXPECT_EQ(RecordEpoch(epochs, epochs.changes, 4), EpochEffect::kChanged);
  EXPECT_EQ(RecordEpoch(epochs, epochs.changes, std::nullopt), EpochEffect::kChanged);
  EXPECT_EQ(ReadingPosition(StorePosition{4, 10}, epochs), std::nullopt);
  EXPECT_EQ(RecordEpoch(epochs, epochs.changes, 4), EpochEffect::kChanged);
  EXPECT_EQ(ReadingPosition(StorePosition{4, 10}, epochs), (StorePosition{4, 10}));
}

using Table = std::map<std::string, std::uint64_t>;

/// Rows of some tables with their versions, and the copies from which the store may come back.
struct ModelStore {
  struct Row {
    std::uint64_t value = 0;
    std::uint64_t version = 0;
  };
  struct Content {
    std::array<std::map<std::string, Row>, 2> tables;
    std::uint64_t version = 0;
  };
  Content content;
  std::vector<Content> copies;
  std::uint64_t epoch = 1;
};

void Put(ModelStore& store, std::size_t table, const std::string& key, std::uint64_t value) {
  store.content.tables.at(table)[key] = {value, ++store.content.version};
}

struct ModelAnswer {
  std::size_t table = 0;
  std::optional<StorePosition> from;
  std::uint64_t changes_when_sent = 0;
  bool is_refused = false;
  StoreEpoch epoch;
  std::uint64_t version = 0;
  Table rows;
};

ModelAnswer Ask(const ModelStore& store, const StoreEpochs& epochs, std::size_t table,
                const std::optional<StorePosition>& from) {
  ModelAnswer answer = {.table = table,
                        .from = from,
                        .changes_when_sent = epochs.changes,
                        .is_refused = from && from->version > store.content.version,
                        .epoch = store.epoch,
                        .version = store.content.version};
  for (const auto& [key, row] : store.content.tables.at(table)) {
    if (!from || row.version > from->version) answer.rows[key] = row.value;
  }
  return answer;
}

struct ModelReader {
  StoreEpochs epochs;
  std::array<std::optional<StorePosition>, 2> positions;
  std::array<Table, 2> tables;
};

void Deliver(ModelReader& reader, const ModelAnswer& answer) {
  const auto effect = RecordEpoch(reader.epochs, answer.changes_when_sent, answer.epoch);
  if (effect == EpochEffect::kLate) return;
  auto& position = reader.positions.at(answer.table);
  if (answer.is_refused || !HoldsAllChangesSince(answer.from, answer.epoch)) {
    position.reset();
    return;
  }
  auto& table = reader.tables.at(answer.table);
  if (!answer.from) table.clear();
  for (const auto& [key, value] : answer.rows) table[key] = value;
  position = {answer.epoch, answer.version};
}

Table Values(const ModelStore& store, std::size_t table) {
  Table values;
  for (const auto& [key, row] : store.content.tables.at(table)) values[key] = row.value;
  return values;
}

/// Writes, copies and returns at random, while each table has at most one call in progress whose
/// answer arrives at a random time. Returns the number of answers that were checked.
std::size_t PlaySchedule(std::uint32_t seed) {
  std::mt19937 random(seed);
  const auto draw = [&](std::uint32_t bound) { return random() % bound; };
  ModelStore store;
  ModelReader reader;
  std::array<std::optional<ModelAnswer>, 2> in_progress;
  std::size_t checked = 0;
  for (std::uint64_t step = 1; step < 400; ++step) {
    const std::size_t table = draw(2);
    const auto event = draw(10);
    if (event < 4) {
      Put(store, table, "row-" + std::to_string(draw(5)), step);
    } else if (event == 4) {
      store.copies.push_back(store.content);
    } else if (event == 5 && draw(4) == 0 && !store.copies.empty()) {
      store.content = store.copies.at(draw(static_cast<std::uint32_t>(store.copies.size())));
      ++store.epoch;
      // The versions that were lost are given out again before anybody asks.
      for (auto writes = draw(12); writes > 0; --writes) {
        Put(store, draw(2), "row-" + std::to_string(draw(5)), step);
      }
    } else if (auto& call = in_progress.at(table); call) {
      const auto known = reader.epochs.current;
      Deliver(reader, *call);
      call.reset();
      EXPECT_GE(reader.epochs.current, known) << "a late answer was used, seed " << seed;
    } else {
      const auto from = ReadingPosition(reader.positions.at(table), reader.epochs);
      call = Ask(store, reader.epochs, table, from);
      if (draw(2) == 0) continue;
      Deliver(reader, *call);
      // The answer is up to date, so the table must be too if the answer was used.
      const bool is_used = reader.positions.at(table) == StorePosition{store.epoch, call->version};
      if (is_used) {
        EXPECT_EQ(reader.tables.at(table), Values(store, table)) << "seed " << seed;
        ++checked;
      }
      call.reset();
    }
  }
  for (std::size_t table = 0; table < 2; ++table) {
    // A refused or late answer costs one more query, and so does another epoch.
    for (int query = 0; query < 2; ++query) {
      const auto from = ReadingPosition(reader.positions.at(table), reader.epochs);
      Deliver(reader, Ask(store, reader.epochs, table, from));
    }
    EXPECT_EQ(reader.tables.at(table), Values(store, table)) << "seed " << seed;
  }
  return checked;
}

// Guards against changes that are never read because the store has given out their versions again.
TEST(StoreEpochsTest, ReadsAllChangesInRandomSchedules) {
  std::size_t checked = 0;
  for (std::uint32_t seed = 1; seed <= 400; ++seed) checked += PlaySchedule(seed);
  EXPECT_GT(checked, 10'000U);
}

}  // namespace
}  // namespace pomelospar::dispatch
