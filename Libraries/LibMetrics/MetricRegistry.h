#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibCore/Units.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace jaybridge {

/// Name of a metric: letters, digits, '_' and ':'.
using MetricName = Identifier<struct MetricNameTag>;
/// Label names and values in the order of output.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;
using GaugeValue = Quantity<struct GaugeValueTag, double>;

/// Counter that only increases. Thread-safe.
class Counter {
public:
  void add(EventCount Amount = EventCount(1)) {
    Value_.fetch_add(Amount.value(), std::memory_order_relaxed);
  }
  EventCount value() const {
    return EventCount(Value_.load(std::memory_order_relaxed));
  }

private:
  std::atomic<std::uint64_t> Value_ = 0;
};

/// Value that can increase and decrease. Thread-safe.
class Gauge {
public:
  void set(GaugeValue Value) {
    Value_.store(Value.value(), std::memory_order_relaxed);
  }
  GaugeValue value() const {
    return GaugeValue(Value_.load(std::memory_order_relaxed));
  }

private:
  std::atomic<double> Value_ = 0;
};

/// Summary of durations with estimates of the quantiles 0.5, 0.99 and 0.999 in
/// constant memory, by the P-square algorithm (Jain and Chlamtac, 1985).
/// Thread-safe.
class Histogram {
public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram &) = delete;
  Histogram &operator=(const Histogram &) = delete;

  void add(Duration Time);

  struct Summary {
    EventCount Count_;
    Duration Sum_{};
    Duration Median_{};
    Duration Percentile99_{};
    Duration Percentile999_{};
  };
  Summary summary() const;

private:
  class Accumulators;
  mutable std::mutex Mutex_;
  std::unique_ptr<Accumulators> Accumulators_;
};

/// Registry of the metrics of a process. Metrics live as long as the
/// registry. Each method returns the same metric for the same name and labels
/// and creates it at the first call. Thread-safe.
class MetricRegistry {
public:
  Counter &counter(const MetricName &Name, MetricLabels Labels = {});
  Gauge &gauge(const MetricName &Name, MetricLabels Labels = {});
  Histogram &histogram(const MetricName &Name, MetricLabels Labels = {});

  /// All metrics in the Prometheus text exposition format 0.0.4; durations in
  /// seconds. A histogram is written as a summary.
  std::string text() const;

private:
  template <typename Metric>
  using Family = std::map<MetricLabels, std::unique_ptr<Metric>>;
  template <typename Metric>
  using Families = std::map<MetricName, Family<Metric>>;

  template <typename Metric>
  Metric &findOrCreate(Families<Metric> &MetricFamilies, const MetricName &Name,
                       MetricLabels Labels);

  mutable std::mutex Mutex_;
  Families<Counter> Counters_;
  Families<Gauge> Gauges_;
  Families<Histogram> Histograms_;
};

} // namespace jaybridge
