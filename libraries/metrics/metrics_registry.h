#ifndef POMELOSPAR_LIBRARIES_METRICS_METRICS_REGISTRY_H_
#define POMELOSPAR_LIBRARIES_METRICS_METRICS_REGISTRY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "libraries/metrics/distribution.h"

namespace pomelospar::metrics {

/// The measured quantities of each workspace and class. Times are in seconds, cost in cost units.
enum class Quantity { kQueueWait, kFirstToken, kBetweenTokens, kWholeTime, kCost };
inline constexpr std::size_t kQuantities = 5;

/// The distributions of one workspace and class.
class Series {
 public:
  Series();

  void Record(Quantity quantity, double value);
  const Distribution& distribution(Quantity quantity) const;

 private:
  std::array<Distribution, kQuantities> distributions;
};

struct Label {
  std::string_view name;
  std::string_view value;
};

/// Handle of one time series whose value only increases.
class Counter {
 public:
  explicit Counter(double& value) : value(&value) {}

  void Add(double amount = 1.0) const { *this->value += amount; }

 private:
  double* value;
};

/// Handle of one time series whose value can be set to any number.
class Gauge {
 public:
  explicit Gauge(double& value) : value(&value) {}

  void Set(double new_value) const { *this->value = new_value; }

 private:
  double* value;
};

/// Position of an incremental rendering.
struct RenderCursor {
  std::size_t family = 0;
  std::size_t item = 0;
  bool finished = false;
};

/// Counters, gauges and series of one daemon. Not thread-safe: all calls are made on the I/O
/// thread. Handles stay valid as long as the registry exists, so hot paths look them up only once.
class MetricsRegistry {
 public:
  static constexpr std::size_t kDefaultMaximumSeries = 4096;
  static constexpr std::size_t kDefaultMaximumValues = 8192;
  /// Label value that replaces names once the limit is reached.
  static constexpr std::string_view kOther = "other";

  explicit MetricsRegistry(std::size_t maximum_series = kDefaultMaximumSeries,
                           std::size_t maximum_values = kDefaultMaximumValues);
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  /// Returns the series of a workspace and class, created on first use. Near `maximum_series`, new
  /// workspaces share the workspace "other" of their class; when that cannot be created either, one
  /// series with workspace and class "other" is shared.
  Series& FindSeries(std::string_view workspace, std::string_view request_class);

  /// Returns the counter or gauge with this name and these labels, created on first use. Names must
  /// be valid Prometheus names, given in full; `help` is kept from the first use of the name.
  /// Beyond `maximum_values`, new label sets share one time series of the name with the label
  /// overflow="other".
  Counter FindCounter(std::string_view name, std::string_view help,
                      std::initializer_list<Label> labels = {});
  Gauge FindGauge(std::string_view name, std::string_view help,
                  std::initializer_list<Label> labels = {});

  /// Appends up to about `maximum_bytes` of the Prometheus text format (version 0.0.4) and advances
  /// the cursor. At the target size of the fleet the whole text is several megabytes, so it is
  /// rendered in parts, between which the I/O thread does other work.
  void RenderPart(RenderCursor& cursor, std::size_t maximum_bytes, std::string& text) const;

  /// Returns the whole text in the Prometheus text format.
  std::string Render() const;

  std::size_t series_count() const { return this->series.size(); }

 private:
  struct Value {
    std::string labels;
    double value = 0.0;
  };
  struct Family {
    std::string name;
    std::string help;
    bool counter = true;
    // A deque keeps the addresses of its elements when it grows, so handles stay valid.
    std::deque<Value> values;
  };
  struct NamedSeries {
    std::string labels;
    Series series;
  };

  double& FindValue(bool counter, std::string_view name, std::string_view help,
                    std::initializer_list<Label> labels);
  static void RenderValue(const Family& family, std::size_t index, std::string& text);
  void RenderSeries(Quantity quantity, std::size_t index, std::string& text) const;

  std::size_t maximum_series;
  std::size_t maximum_values;
  std::size_t value_count = 0;
  std::unordered_map<std::string, NamedSeries*> series_by_labels;
  std::deque<NamedSeries> series;
  std::deque<Family> families;
};

}  // namespace pomelospar::metrics

#endif  // POMELOSPAR_LIBRARIES_METRICS_METRICS_REGISTRY_H_
