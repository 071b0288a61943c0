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

using TimeAccumulators = statistics::accumulator_set<
    double, statistics::stats<statistics::tag::count, statistics::tag::sum,
                              statistics::tag::extended_p_square>>;

constexpr std::array<double, 3> Quantiles = {0.5, 0.99, 0.999};
/// The estimate starts once this many times were seen; until then they are
/// kept and sorted.
constexpr std::size_t KeptTimes = 1000;

Duration durationOf(double Microseconds) {
  return Duration(static_cast<Duration::rep>(Microseconds));
}

std::string escaped(const std::string &Value) {
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

std::string labelText(MetricLabels Labels, const char *Quantile = nullptr) {
  if (Quantile)
    Labels.emplace_back("quantile", Quantile);
  if (Labels.empty())
    return {};
  std::string Text;
  for (const auto &[Name, Value] : Labels)
    Text += (Text.empty() ? "{" : ",") + Name + "=\"" + escaped(Value) + "\"";
  return Text + "}";
}

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

void write(std::ostream &Out, const std::string &Name,
           const MetricLabels &Labels, const Counter &Written) {
  Out << Name << labelText(Labels) << ' ' << Written.value().value() << '\n';
}

void write(std::ostream &Out, const std::string &Name,
           const MetricLabels &Labels, const Gauge &Written) {
  Out << Name << labelText(Labels) << ' ' << Written.value().value() << '\n';
}

void write(std::ostream &Out, const std::string &Name,
           const MetricLabels &Labels, const Histogram &Written) {
  const Histogram::Summary Summary = Written.summary();
  const std::pair<const char *, Duration> Estimates[] = {
      {"0.5", Summary.Median_},
      {"0.99", Summary.Percentile99_},
      {"0.999", Summary.Percentile999_}};
  for (const auto &[Quantile, Time] : Estimates)
    Out << Name << labelText(Labels, Quantile) << ' ' << secondsOf(Time)
        << '\n';
  Out << Name << "_sum" << labelText(Labels) << ' ' << secondsOf(Summary.Sum_)
      << '\n';
  Out << Name << "_count" << labelText(Labels) << ' ' << Summary.Count_.value()
      << '\n';
}

template <typename Families>
void writeAll(std::ostream &Out, const char *Type, const Families &All) {
  for (const auto &[Name, Family] : All) {
    Out << "# TYPE " << Name.text() << ' ' << Type << '\n';
    for (const auto &[Labels, Metric] : Family)
      write(Out, Name.text(), Labels, *Metric);
  }
}

} // namespace

class Histogram::Accumulators {
public:
  void add(double Microseconds) {
    Estimated_(Microseconds);
    if (First_.size() < KeptTimes)
      First_.push_back(Microseconds);
  }

  Summary summary() const {
    Summary Made;
    Made.Count_ = EventCount(statistics::count(Estimated_));
    Made.Sum_ = durationOf(statistics::sum(Estimated_));
    Made.Median_ = quantile(0);
    Made.Percentile99_ = quantile(1);
    Made.Percentile999_ = quantile(2);
    return Made;
  }

private:
  Duration quantile(std::size_t Index) const {
    if (First_.empty())
      return {};
    // P-square is not yet close for the highest quantile of few values.
    if (statistics::count(Estimated_) <= KeptTimes) {
      std::vector<double> Sorted = First_;
      std::sort(Sorted.begin(), Sorted.end());
      const auto Rank = static_cast<std::size_t>(
          Quantiles[Index] * static_cast<double>(Sorted.size()));
      return durationOf(Sorted[std::min(Rank, Sorted.size() - 1)]);
    }
    return durationOf(statistics::extended_p_square(
        Estimated_)[static_cast<std::ptrdiff_t>(Index)]);
  }

  TimeAccumulators Estimated_{
      statistics::tag::extended_p_square::probabilities = Quantiles};
  std::vector<double> First_;
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
Metric &MetricRegistry::find(Families<Metric> &All, const MetricName &Name,
                             MetricLabels Labels) {
  std::lock_guard Lock(Mutex_);
  std::unique_ptr<Metric> &Found = All[Name][std::move(Labels)];
  if (!Found)
    Found = std::make_unique<Metric>();
  return *Found;
}

Counter &MetricRegistry::counter(const MetricName &Name, MetricLabels Labels) {
  return find(Counters_, Name, std::move(Labels));
}
Gauge &MetricRegistry::gauge(const MetricName &Name, MetricLabels Labels) {
  return find(Gauges_, Name, std::move(Labels));
}
Histogram &MetricRegistry::histogram(const MetricName &Name,
                                     MetricLabels Labels) {
  return find(Histograms_, Name, std::move(Labels));
}

std::string MetricRegistry::text() const {
  std::lock_guard Lock(Mutex_);
  std::ostringstream Out;
  writeAll(Out, "counter", Counters_);
  writeAll(Out, "gauge", Gauges_);
  writeAll(Out, "summary", Histograms_);
  return Out.str();
}

} // namespace jaybridge
