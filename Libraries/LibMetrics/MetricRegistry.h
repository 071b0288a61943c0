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
/// Names and values of labels, in the order in which they are written.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;
using GaugeValue = Quantity<struct GaugeValueTag, double>;

/// Only rises. For any thread.
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

/// Rises and falls. For any thread.
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

/// Times with their estimated quantiles 0.5, 0.99 and 0.999 (P-square, Jain
/// and Chlamtac 1985) in constant memory. For any thread.
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

/// All metrics of a process. Metrics live as long as the registry; asking for
/// the same name and labels again returns the same metric.
class MetricRegistry {
public:
  Counter &counter(const MetricName &Name, MetricLabels Labels = {});
  Gauge &gauge(const MetricName &Name, MetricLabels Labels = {});
  Histogram &histogram(const MetricName &Name, MetricLabels Labels = {});

  /// Text exposition format 0.0.4; times in seconds. A histogram is written as
  /// a summary.
  std::string text() const;

private:
  template <typename Metric>
  using Family = std::map<MetricLabels, std::unique_ptr<Metric>>;
  template <typename Metric>
  using Families = std::map<MetricName, Family<Metric>>;

  template <typename Metric>
  Metric &find(Families<Metric> &All, const MetricName &Name,
               MetricLabels Labels);

  mutable std::mutex Mutex_;
  Families<Counter> Counters_;
  Families<Gauge> Gauges_;
  Families<Histogram> Histograms_;
};

} // namespace jaybridge
