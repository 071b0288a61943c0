#include <LibMetrics/MetricRegistry.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <sstream>

namespace jaybridge {

namespace {

namespace statistics = boost::accumulators;

using QuantileEstimators = statistics::accumulator_set<
    double, statistics::stats<statistics::tag::count, statistics::tag::sum,
                              statistics::tag::extended_p_square>>;

constexpr std::array<double, 3> Quantiles = {0.5, 0.99, 0.999};
/// Up to this number of samples, quantiles are computed exactly from the sorted
/// samples; beyond it they are estimated.
constexpr std::size_t MaxExactSamples = 1000;

Duration toDuration(double Microseconds) {
  return Duration(static_cast<Duration::rep>(Microseconds));
}

std::string escapeLabelValue(const std::string &Value) {
  std::string Text;
  for (char Character : Value) {
    if (Character == '\\' || Character == '"')
      Text += '\\';
    if (Character == '\n')
      Text += "\\n";
    else
      Text += Character;
  }
  return Text;
}

std::string formatLabels(MetricLabels Labels, const char *Quantile = nullptr) {
  if (Quantile)
    Labels.emplace_back("quantile", Quantile);
  if (Labels.empty())
    return {};
  std::string Text;
  for (const auto &[Name, Value] : Labels)
    Text += (Text.empty() ? "{" : ",") + Name + "=\"" +
            escapeLabelValue(Value) + "\"";
  return Text + "}";
}

double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

void write(std::ostream &Stream, const std::string &Name,
           const MetricLabels &Labels, const Counter &Metric) {
  Stream << Name << formatLabels(Labels) << ' ' << Metric.value().value()
         << '\n';
}

void write(std::ostream &Stream, const std::string &Name,
           const MetricLabels &Labels, const Gauge &Metric) {
  Stream << Name << formatLabels(Labels) << ' ' << Metric.value().value()
         << '\n';
}

void write(std::ostream &Stream, const std::string &Name,
           const MetricLabels &Labels, const Histogram &Metric) {
  const Histogram::Summary Summary = Metric.summary();
  const std::pair<const char *, Duration> Estimates[] = {
      {"0.5", Summary.Median_},
      {"0.99", Summary.Percentile99_},
      {"0.999", Summary.Percentile999_}};
  for (const auto &[Quantile, Time] : Estimates)
    Stream << Name << formatLabels(Labels, Quantile) << ' ' << toSeconds(Time)
           << '\n';
  Stream << Name << "_sum" << formatLabels(Labels) << ' '
         << toSeconds(Summary.Sum_) << '\n';
  Stream << Name << "_count" << formatLabels(Labels) << ' '
         << Summary.Count_.value() << '\n';
}

template <typename Families>
void writeFamilies(std::ostream &Stream, const char *Type,
                   const Families &MetricFamilies) {
  for (const auto &[Name, Family] : MetricFamilies) {
    Stream << "# TYPE " << Name.text() << ' ' << Type << '\n';
    for (const auto &[Labels, Metric] : Family)
      write(Stream, Name.text(), Labels, *Metric);
  }
}

} // namespace

class Histogram::Accumulators {
public:
  void add(double Microseconds) {
    Estimators_(Microseconds);
    if (ExactSamples_.size() < MaxExactSamples)
      ExactSamples_.push_back(Microseconds);
  }

  Summary summary() const {
    Summary Result;
    Result.Count_ = EventCount(statistics::count(Estimators_));
    Result.Sum_ = toDuration(statistics::sum(Estimators_));
    Result.Median_ = quantile(0);
    Result.Percentile99_ = quantile(1);
    Result.Percentile999_ = quantile(2);
    return Result;
  }

private:
  Duration quantile(std::size_t Index) const {
    if (ExactSamples_.empty())
      return {};
    // The P-square estimate of the highest quantile is inaccurate for few
    // samples.
    if (statistics::count(Estimators_) <= MaxExactSamples) {
      std::vector<double> Sorted = ExactSamples_;
      std::sort(Sorted.begin(), Sorted.end());
      const auto Rank = static_cast<std::size_t>(
          Quantiles[Index] * static_cast<double>(Sorted.size()));
      return toDuration(Sorted[std::min(Rank, Sorted.size() - 1)]);
    }
    return toDuration(statistics::extended_p_square(
        Estimators_)[static_cast<std::ptrdiff_t>(Index)]);
  }

  QuantileEstimators Estimators_{
      statistics::tag::extended_p_square::probabilities = Quantiles};
  std::vector<double> ExactSamples_;
};

Histogram::Histogram() : Accumulators_(std::make_unique<Accumulators>()) {}
Histogram::~Histogram() = default;

void Histogram::add(Duration Time) {
  std::lock_guard Lock(Mutex_);
  Accumulators_->add(static_cast<double>(Time.count()));
}

Histogram::Summary Histogram::summary() const {
  std::lock_guard Lock(Mutex_);
  return Accumulators_->summary();
}

template <typename Metric>
Metric &MetricRegistry::findOrCreate(Families<Metric> &MetricFamilies,
                                     const MetricName &Name,
                                     MetricLabels Labels) {
  std::lock_guard Lock(Mutex_);
  std::unique_ptr<Metric> &Found = MetricFamilies[Name][std::move(Labels)];
  if (!Found)
    Found = std::make_unique<Metric>();
  return *Found;
}

Counter &MetricRegistry::counter(const MetricName &Name, MetricLabels Labels) {
  return findOrCreate(Counters_, Name, std::move(Labels));
}
Gauge &MetricRegistry::gauge(const MetricName &Name, MetricLabels Labels) {
  return findOrCreate(Gauges_, Name, std::move(Labels));
}
Histogram &MetricRegistry::histogram(const MetricName &Name,
                                     MetricLabels Labels) {
  return findOrCreate(Histograms_, Name, std::move(Labels));
}

std::string MetricRegistry::text() const {
  std::lock_guard Lock(Mutex_);
  std::ostringstream Stream;
  writeFamilies(Stream, "counter", Counters_);
  writeFamilies(Stream, "gauge", Gauges_);
  writeFamilies(Stream, "summary", Histograms_);
  return Stream.str();
}

} // namespace jaybridge
