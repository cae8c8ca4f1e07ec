#include "libraries/metrics/metrics_registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/assert.hpp>
#include <iterator>
#include <limits>

namespace pomelospar::metrics {
namespace {

struct QuantityDescription {
  std::string_view name;
  std::string_view help;
  BucketRange range;
};

// The ranges include the latency targets (first token 1.1 s, between tokens 57 ms). Adjacent bounds
// differ by a factor of about two.
constexpr std::array<QuantityDescription, kQuantities> kDescriptions = {{
    {"pomelospar_queue_wait_seconds", "Time from acceptance to dispatch.", {0.005, 20.0}},
    {"pomelospar_first_token_seconds",
     "Time from acceptance to the first response byte.",
     {0.02, 40.0}},
    {"pomelospar_between_tokens_seconds", "Time between two events of a response.", {0.002, 4.0}},
    {"pomelospar_whole_time_seconds",
     "Time from acceptance to the last response byte.",
     {0.05, 100.0}},
    {"pomelospar_cost_units", "Cost of a request in cost units.", {1.0, 100000.0}},
}};

const QuantityDescription& Describe(Quantity quantity) {
  return kDescriptions.at(static_cast<std::size_t>(quantity));
}

void AppendEscaped(std::string& text, std::string_view value) {
  for (const char character : value) {
    if (character == '\n') {
      text += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') {
      text += '\\';
    }
    text += character;
  }
}

std::string EscapeHelp(std::string_view help) {
  std::string text;
  for (const char character : help) {
    text += character == '\n' ? "\\n" : character == '\\' ? "\\\\" : std::string(1, character);
  }
  return text;
}

template <typename Labels>
std::string RenderLabels(const Labels& labels) {
  std::string text;
  for (const auto& label : labels) {
    text += text.empty() ? "" : ",";
    text += label.name;
    text += "=\"";
    AppendEscaped(text, label.value);
    text += '"';
  }
  return text;
}

void AppendHead(std::string& text, std::string_view name, std::string_view help,
                std::string_view type) {
  fmt::format_to(std::back_inserter(text), "# HELP {} {}\n# TYPE {} {}\n", name, EscapeHelp(help),
                 name, type);
}

void AppendDistribution(std::string& text, std::string_view name, std::string_view labels,
                        const Distribution& distribution) {
  auto out = std::back_inserter(text);
  std::uint64_t cumulative = 0;
  for (std::size_t index = 0; index < kBucketBoundCount; ++index) {
    cumulative += distribution.CountIn(index);
    fmt::format_to(out, "{}_bucket{{{},le=\"{:.6g}\"}} {}\n", name, labels,
                   distribution.UpperBoundOf(index), cumulative);
  }
  fmt::format_to(out, "{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, distribution.count());
  fmt::format_to(out, "{}_sum{{{}}} {}\n", name, labels, distribution.sum());
  fmt::format_to(out, "{}_count{{{}}} {}\n", name, labels, distribution.count());
}

}  // namespace

Series::Series()
    : distributions{Distribution(kDescriptions[0].range), Distribution(kDescriptions[1].range),
                    Distribution(kDescriptions[2].range), Distribution(kDescriptions[3].range),
                    Distribution(kDescriptions[4].range)} {}

void Series::Record(Quantity quantity, double value) {
  this->distributions.at(static_cast<std::size_t>(quantity)).Record(value);
}

const Distribution& Series::distribution(Quantity quantity) const {
  return this->distributions.at(static_cast<std::size_t>(quantity));
}

MetricsRegistry::MetricsRegistry(std::size_t maximum_series, std::size_t maximum_values)
    : maximum_series(std::max<std::size_t>(4, maximum_series)), maximum_values(maximum_values) {}

Series& MetricsRegistry::FindSeries(std::string_view workspace, std::string_view request_class) {
  const std::array<Label, 2> names = {{{"workspace", workspace}, {"class", request_class}}};
  auto labels = RenderLabels(names);
  const auto found = this->series_by_labels.find(labels);
  if (found != this->series_by_labels.end()) {
    return found->second->series;
  }
  // The last entries are reserved for the series "other" of each class and of all classes together.
  const bool is_other = workspace == kOther;
  const bool is_last_resort = is_other && request_class == kOther;
  const std::size_t reserved = is_other ? 1 : std::min<std::size_t>(16, this->maximum_series / 4);
  if (this->series.size() + reserved >= this->maximum_series && !is_last_resort) {
    return this->FindSeries(kOther, is_other ? kOther : request_class);
  }
  this->series.push_back(NamedSeries{labels, Series()});
  this->series_by_labels[std::move(labels)] = &this->series.back();
  return this->series.back().series;
}

double& MetricsRegistry::FindValue(bool counter, std::string_view name, std::string_view help,
                                   std::initializer_list<Label> labels) {
  auto family = std::ranges::find(this->families, name, &Family::name);
  if (family == this->families.end()) {
    this->families.push_back(Family{std::string(name), std::string(help), counter, {}});
    family = std::prev(this->families.end());
  }
  BOOST_ASSERT_MSG(family->counter == counter, "a name is either a counter or a gauge");
  auto rendered = RenderLabels(labels);
  auto value = std::ranges::find(family->values, rendered, &Value::labels);
  const bool full = this->value_count >= this->maximum_values;
  if (value == family->values.end() && full) {
    rendered = fmt::format("overflow=\"{}\"", kOther);
    value = std::ranges::find(family->values, rendered, &Value::labels);
  }
  if (value != family->values.end()) {
    return value->value;
  }
  family->values.push_back(Value{std::move(rendered), 0.0});
  this->value_count += 1;
  return family->values.back().value;
}

Counter MetricsRegistry::FindCounter(std::string_view name, std::string_view help,
                                     std::initializer_list<Label> labels) {
  return Counter(this->FindValue(true, name, help, labels));
}

Gauge MetricsRegistry::FindGauge(std::string_view name, std::string_view help,
                                 std::initializer_list<Label> labels) {
  return Gauge(this->FindValue(false, name, help, labels));
}

void MetricsRegistry::RenderValue(const Family& family, std::size_t index, std::string& text) {
  if (index == 0) {
    AppendHead(text, family.name, family.help, family.counter ? "counter" : "gauge");
  }
  const auto& value = family.values.at(index);
  const auto labels = value.labels.empty() ? "" : fmt::format("{{{}}}", value.labels);
  fmt::format_to(std::back_inserter(text), "{}{} {}\n", family.name, labels, value.value);
}

void MetricsRegistry::RenderSeries(Quantity quantity, std::size_t index, std::string& text) const {
  const auto& named = this->series.at(index);
  const auto& distribution = named.series.distribution(quantity);
  // Empty distributions are omitted: classes without model work have no token times, and their
  // empty distributions would make up most of the text.
  if (distribution.count() > 0) {
    AppendDistribution(text, Describe(quantity).name, named.labels, distribution);
  }
}

void MetricsRegistry::RenderPart(RenderCursor& cursor, std::size_t maximum_bytes,
                                 std::string& text) const {
  const std::size_t limit = text.size() + maximum_bytes;
  while (text.size() < limit) {
    const bool is_quantity = cursor.family < kQuantities;
    const std::size_t family = is_quantity ? 0 : cursor.family - kQuantities;
    if (!is_quantity && family >= this->families.size()) {
      cursor.finished = true;
      return;
    }
    const std::size_t items =
        is_quantity ? this->series.size() : this->families[family].values.size();
    if (cursor.item >= items) {
      cursor = RenderCursor{.family = cursor.family + 1};
      continue;
    }
    const auto quantity = static_cast<Quantity>(std::min(cursor.family, kQuantities - 1));
    if (is_quantity) {
      if (cursor.item == 0) {
        AppendHead(text, Describe(quantity).name, Describe(quantity).help, "histogram");
      }
      this->RenderSeries(quantity, cursor.item, text);
    } else {
      RenderValue(this->families[family], cursor.item, text);
    }
    cursor.item += 1;
  }
}

std::string MetricsRegistry::Render() const {
  std::string text;
  RenderCursor cursor;
  while (!cursor.finished) {
    this->RenderPart(cursor, std::numeric_limits<std::uint32_t>::max(), text);
  }
  return text;
}

}  // namespace pomelospar::metrics
