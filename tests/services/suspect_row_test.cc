#include "services/pomelospar_edge/suspect_row.h"

#include <gtest/gtest.h>

#include <string>

namespace pomelospar::edge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SuspectRow SampleRow() {
  SuspectRow row = {.written_at = seconds(100), .epoch = 2};
  row.record.quarantines = {{0xabcdef0123456789U, 1, seconds(3), 1}};
  row.record.suspicions = {{7, 8, seconds(4), milliseconds(20)}, {7, 9, seconds(2), std::nullopt}};
  return row;
}

TEST(SuspectRowTest, RoundTrips) {
  const auto decoded = DecodeSuspectRow(EncodeSuspectRow(SampleRow()));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_TRUE(HaveSameContent(decoded.value().record, SampleRow().record));
  EXPECT_EQ(decoded.value().written_at, SampleRow().written_at);
  EXPECT_EQ(decoded.value().epoch, SampleRow().epoch);
  EXPECT_EQ(decoded.value().record.quarantines[0].age, seconds(3));
  EXPECT_EQ(decoded.value().record.suspicions[0].in_progress, milliseconds(20));
  EXPECT_FALSE(decoded.value().record.suspicions[1].in_progress);
}

// Guards against a trial that comes too early or never, because the store's clock starts anew on
// its return from an older copy.
TEST(SuspectRowTest, AddsTimeOfTheSameEpochOnly) {
  EXPECT_EQ(RecordAt(SampleRow(), seconds(130), 2).quarantines[0].age, seconds(33));
  EXPECT_EQ(RecordAt(SampleRow(), seconds(130), 2).suspicions[0].age, seconds(34));
  EXPECT_EQ(RecordAt(SampleRow(), seconds(130), 3).quarantines[0].age, seconds(3));
  EXPECT_EQ(RecordAt(SampleRow(), seconds(90), 2).quarantines[0].age, seconds(3));
  EXPECT_EQ(RecordAt(SampleRow(), std::nullopt, 2).quarantines[0].age, seconds(3));
}

// Guards against a router that is stopped or misled by a damaged row.
TEST(SuspectRowTest, LeavesOutWhatIsDamaged) {
  for (const std::string value : {"", "x", "[]", "{}", R"({"format":"1"})", R"({"format":-1})"}) {
    const auto decoded = DecodeSuspectRow(value);
    ASSERT_FALSE(decoded.has_value()) << value;
    EXPECT_TRUE(core::Is(decoded.error(), core::ErrorKind::kMalformed)) << value;
  }
  const auto decoded = DecodeSuspectRow(R"({"format":1,"epoch":"x","at-ms":[],"crashes":{},
      "quarantines":[1,{},{"subject":"zz","age-ms":1,"trials":0},{"subject":"7","age-ms":-1,"trials":0},
      {"subject":"7","age-ms":1},{"subject":"7","age-ms":1,"trials":0}]})");
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded.value().record.quarantines.size(), 1U);
  EXPECT_FALSE(decoded.value().epoch);
  EXPECT_FALSE(decoded.value().written_at);
}

// Guards against a row that a later release has written and this one replaces.
TEST(SuspectRowTest, RecognizesLaterFormats) {
  const auto decoded = DecodeSuspectRow(R"({"format":2})");
  ASSERT_FALSE(decoded.has_value());
  EXPECT_TRUE(core::Is(decoded.error(), core::ErrorKind::kInvalidArgument));
}

}  // namespace
}  // namespace pomelospar::edge
