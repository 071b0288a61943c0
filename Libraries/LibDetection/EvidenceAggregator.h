#pragma once

#include <LibDetection/EvidenceReport.h>
#include <LibDetection/SequentialTest.h>

#include <array>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace jaybridge {

/// What speaks against an instance, beyond what speaks against its peers.
struct Suspicion {
  Evidence Failure_;
  Evidence Slowness_;

  Evidence greater() const { return std::max(Failure_, Slowness_); }
};

/// Observations of one instance, summed over gateways.
struct InstanceTally {
  EventCount Good_;
  EventCount Failed_;
  EventCount Fast_;
  EventCount Slow_;

  InstanceTally &operator+=(const InstanceTally &Other);
};

/// Evidence of all gateways on the instances of one service.
///
/// Reports are collected in rounds. At the end of a round each instance is
/// compared with the median of its peers in the same rounds, so that a change
/// that hits the whole pool is no evidence against any instance. Per instance
/// there is one cumulative sum for failures and one for slowness; a gateway's
/// part of a sum is capped at a share of the threshold, so that the sum of one
/// gateway that is cut off from the instance stays below it. Capping only
/// lowers the sum, so the bound on false alarms holds.
class EvidenceAggregator {
public:
  /// A gateway's part of the threshold: three gateways must agree, or all of
  /// them when there are fewer.
  static constexpr double GatewayShare = 0.45;
  static constexpr double GatewayShareOfTwo = 0.75;
  static constexpr double GatewayShareAlone = 2;
  /// A failed probe weighs this much of a failed request. A probe that was
  /// answered weighs nothing: gray instances answer probes.
  static constexpr double ProbeWeight = 0.25;
  static constexpr std::size_t GreatestGatewayCount = 128;

  explicit EvidenceAggregator(Evidence Threshold) : Threshold_(Threshold) {}

  void setThreshold(Evidence Threshold) { Threshold_ = Threshold; }
  /// Forgets instances that are not named.
  void setInstances(const std::vector<InstanceId> &Instances);
  /// Evidence on instances that are not in the pool is ignored.
  void add(const EvidenceReport &Report);
  void addFailure(const InstanceId &Instance, const MemberId &Gateway);
  void addFailedProbe(const InstanceId &Instance);
  /// Takes back one failure.
  void forgive(const InstanceId &Instance, const MemberId &Gateway);
  /// Starts the instance's sums anew.
  void restart(const InstanceId &Instance);
  /// Adds what was collected to the sums.
  void closeRound();

  Suspicion suspicion(const InstanceId &Instance) const;
  /// Observations since the sums were last at 0.
  InstanceTally tally(const InstanceId &Instance) const;
  /// Evidence of the last round alone, without caps.
  Suspicion lastRound(const InstanceId &Instance) const;
  Evidence threshold() const { return Threshold_; }
  /// Gateways that reported within the last rounds.
  std::size_t gatewayCount() const { return Gateways_.size(); }
  /// Reports of gateways beyond the greatest number.
  EventCount ignoredReports() const { return IgnoredReports_; }

private:
  using Histogram = std::array<std::uint32_t, LatencyBucketCount>;

  struct Batch {
    std::uint64_t Good_ = 0;
    std::uint64_t Failed_ = 0;
    Histogram Latencies_{};
    Histogram Cancelled_{};
  };
  struct CumulativeSum {
    std::map<MemberId, double> Parts_;
    double Total_ = 0;

    void add(const MemberId &Gateway, double Amount, double Cap);
    void settle();
  };
  struct Record {
    std::map<MemberId, Batch> Round_;
    std::deque<Batch> Recent_;
    CumulativeSum Failure_;
    CumulativeSum Slowness_;
    OutcomeRates FailureRates_;
    InstanceTally Observations_;
    Suspicion LastRound_;
  };
  /// Recent rounds of an instance, prepared for comparison.
  struct Window {
    std::uint64_t Observed_ = 0;
    double FailureRate_ = 0;
    std::uint64_t Measured_ = 0;
    std::size_t Median_ = 0;
    /// Number of latencies in this bucket and all later ones.
    Histogram SlowerFrom_{};
  };
  using Windows = std::map<InstanceId, Window>;
  /// What peers of an instance show.
  struct Reference {
    double FailureRate_ = 0;
    std::size_t SlowFrom_ = LatencyBucketCount;
    double SlowRate_ = 0;
  };

  static Window windowOf(const Record &Each, std::size_t RoundCount);
  static Reference referenceFor(const InstanceId &Id, const Windows &All);
  void judge(Record &Each, const Reference &Long, const Reference &Short);
  double peersMedian(const InstanceId &Id,
                     const CumulativeSum Record::*Sum) const;
  double cap() const;

  Evidence Threshold_;
  std::map<InstanceId, Record> Instances_;
  /// Round in which each gateway last reported.
  std::map<MemberId, std::uint64_t> Gateways_;
  std::uint64_t Round_ = 0;
  EventCount IgnoredReports_;
};

} // namespace jaybridge
