#include <LibMetrics/MetricRegistry.h>

#include <Support/CaseName.h>

#include <LibCore/Random.h>

#include <gtest/gtest.h>

#include <cmath>

namespace jaybridge {
namespace {

// Guards against output that metric scrapers cannot parse.
TEST(MetricRegistryTest, WritesThePrometheusTextFormat) {
  MetricRegistry Registry;
  Registry.counter(MetricName("jobs_total"), {{"kind", "a\"b\\c\nd"}}).add();
  Registry.counter(MetricName("jobs_total"), {{"kind", "x"}})
      .add(EventCount(41));
  Registry.counter(MetricName("jobs_total"), {{"kind", "x"}}).add();
  Registry.gauge(MetricName("load")).set(GaugeValue(0.25));
  Registry.histogram(MetricName("wait_seconds")).add(1500ms);
  EXPECT_EQ(Registry.text(), "# TYPE jobs_total counter\n"
                             "jobs_total{kind=\"a\\\"b\\\\c\\nd\"} 1\n"
                             "jobs_total{kind=\"x\"} 42\n"
                             "# TYPE load gauge\n"
                             "load 0.25\n"
                             "# TYPE wait_seconds summary\n"
                             "wait_seconds{quantile=\"0.5\"} 1.5\n"
                             "wait_seconds{quantile=\"0.99\"} 1.5\n"
                             "wait_seconds{quantile=\"0.999\"} 1.5\n"
                             "wait_seconds_sum 1.5\n"
                             "wait_seconds_count 1\n");
}

struct QuantileCase {
  const char *Name_;
  std::uint64_t SampleCount_;
};

class QuantileTest : public testing::TestWithParam<QuantileCase> {};

// Guards against estimates far from the exact quantiles of a uniform
// distribution.
TEST_P(QuantileTest, IsCloseToTheExactQuantile) {
  Histogram Times;
  Random Source{RandomSeed(7)};
  for (std::uint64_t I = 0; I < GetParam().SampleCount_; ++I)
    Times.add(Duration(Source.below(1'000'000)));
  const Histogram::Summary Summary = Times.summary();
  EXPECT_EQ(Summary.Count_, EventCount(GetParam().SampleCount_));
  EXPECT_NEAR(static_cast<double>(Summary.Median_.count()), 500'000, 40'000);
  EXPECT_NEAR(static_cast<double>(Summary.Percentile99_.count()), 990'000,
              10'000);
  EXPECT_NEAR(static_cast<double>(Summary.Percentile999_.count()), 999'000,
              5'000);
}

INSTANTIATE_TEST_SUITE_P(Counts, QuantileTest,
                         testing::Values(QuantileCase{"Kept", 1000},
                                         QuantileCase{"Estimated", 100'000}),
                         CaseName());

} // namespace
} // namespace jaybridge
