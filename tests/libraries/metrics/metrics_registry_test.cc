#include "libraries/metrics/metrics_registry.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <malloc.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <sstream>

namespace pomelospar::metrics {
namespace {

std::size_t CountOf(const std::string& text, std::string_view part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    count += 1;
  }
  return count;
}

// Buckets, sums and maxima must agree with the recorded values.
RC_GTEST_PROP(DistributionProperty, AgreesWithNaiveCounts,
              (const std::vector<std::uint16_t>& samples)) {
  Distribution distribution({0.005, 20.0});
  double sum = 0.0;
  double maximum = 0.0;
  std::vector<double> values;
  for (const auto sample : samples) {
    values.push_back(sample / 1000.0);
    distribution.Record(values.back());
    sum += values.back();
    maximum = std::max(maximum, values.back());
  }
  RC_ASSERT(distribution.count() == values.size());
  RC_ASSERT(std::abs(distribution.sum() - sum) < 1e-6);
  RC_ASSERT(distribution.maximum() == maximum);
  std::uint64_t cumulative = 0;
  for (std::size_t index = 0; index < kBucketBoundCount; ++index) {
    cumulative += distribution.CountIn(index);
    const auto bound = distribution.UpperBoundOf(index);
    const auto below =
        std::ranges::count_if(values, [&](double value) { return value < bound - 1e-9; });
    const auto not_above =
        std::ranges::count_if(values, [&](double value) { return value <= bound + 1e-9; });
    RC_ASSERT(cumulative >= static_cast<std::uint64_t>(below));
    RC_ASSERT(cumulative <= static_cast<std::uint64_t>(not_above));
  }
}

// An unescaped label value could close its quotes and inject samples or labels. A scraper rejects
// families whose lines are not contiguous.
TEST(MetricsRegistryTest, EscapesLabelsAndGroupsFamilies) {
  MetricsRegistry registry;
  registry.FindSeries("a\"b\\c\nd", "chat").Record(Quantity::kCost, 3.0);
  registry.FindCounter("pomelospar_requests_total", "Requests.", {{"status", "200"}}).Add();
  registry.FindGauge("pomelospar_ready", "Ready\nor not.").Set(1.0);
  registry.FindCounter("pomelospar_requests_total", "Requests.", {{"status", "503"}}).Add(2.0);
  const auto text = registry.Render();
  EXPECT_NE(text.find(R"(_sum{workspace="a\"b\\c\nd",class="chat"} 3)"), std::string::npos) << text;
  EXPECT_NE(text.find("# HELP pomelospar_ready Ready\\nor not.\n# TYPE pomelospar_ready gauge\n"
                      "pomelospar_ready 1\n"),
            std::string::npos);
  EXPECT_NE(text.find("pomelospar_requests_total{status=\"200\"} 1\n"
                      "pomelospar_requests_total{status=\"503\"} 2\n"),
            std::string::npos);
  EXPECT_EQ(CountOf(text, "# TYPE pomelospar_requests_total counter"), 1U);
  EXPECT_EQ(CountOf(text, "pomelospar_cost_units_bucket"), kBucketBoundCount + 1);
  EXPECT_NE(text.find("le=\"+Inf\"} 1\n"), std::string::npos);
}

// Rendering in parts must neither repeat nor lose lines.
TEST(MetricsRegistryTest, PartsMakeTheWholeText) {
  MetricsRegistry registry;
  for (int index = 0; index < 50; ++index) {
    registry.FindSeries(fmt::format("w{}", index), "chat").Record(Quantity::kWholeTime, index);
    registry.FindCounter("c_total", "C.", {{"w", fmt::format("{}", index)}}).Add(index);
  }
  std::string parts;
  RenderCursor cursor;
  while (!cursor.finished) {
    registry.RenderPart(cursor, 300, parts);
  }
  EXPECT_EQ(parts, registry.Render());
}

// Callers and operators choose names, so the number of names must not make memory grow without
// limit.
TEST(MetricsRegistryTest, BoundsSeriesAndValues) {
  MetricsRegistry registry(100, 50);
  for (int index = 0; index < 1000; ++index) {
    registry.FindSeries(fmt::format("w{}", index), index % 2 == 0 ? "chat" : "other")
        .Record(Quantity::kCost, 1.0);
    registry.FindSeries("w", fmt::format("c{}", index)).Record(Quantity::kCost, 1.0);
    registry.FindCounter("c_total", "C.", {{"w", fmt::format("{}", index)}}).Add();
  }
  EXPECT_LE(registry.series_count(), 101U);
  const auto text = registry.Render();
  EXPECT_NE(text.find("c_total{overflow=\"other\"} 950\n"), std::string::npos);
  EXPECT_EQ(CountOf(text, "c_total{"), 51U);
}

// The daemon has a memory limit of 32 MB, of which 670 workspaces and 3 classes may take 3 MB.
TEST(MetricsRegistryTest, SeriesOfTheTargetAreSmall) {
  MetricsRegistry registry;
  const auto before = mallinfo2().uordblks;
  for (int workspace = 0; workspace < 670; ++workspace) {
    for (const auto* request_class : {"interactive", "standard", "batch"}) {
      registry.FindSeries(fmt::format("workspace-{}", workspace), request_class)
          .Record(Quantity::kCost, 1.0);
    }
  }
  const auto bytes = mallinfo2().uordblks - before;
  RecordProperty("bytes_per_series", static_cast<int>(bytes / registry.series_count()));
  fmt::print("bytes per series: {}\n", bytes / registry.series_count());
  EXPECT_EQ(registry.series_count(), 2010U);
  EXPECT_LT(bytes, 3U * 1024 * 1024);
}

}  // namespace
}  // namespace pomelospar::metrics
