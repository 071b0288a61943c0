#pragma once

#include <LibDetection/EvidenceReport.h>
#include <LibDetection/SequentialTest.h>

#include <array>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace jaybridge {

/// Log-likelihood ratios for failures and for slowness; positive values are
/// evidence against the instance.
struct OutlierScore {
  LogLikelihoodRatio Failure_;
  LogLikelihoodRatio Slowness_;

  LogLikelihoodRatio highest() const { return std::max(Failure_, Slowness_); }
};

/// Number of observations of one instance, summed over gateways.
struct ObservationCounts {
  EventCount Good_;
  EventCount Failed_;
  EventCount Fast_;
  EventCount Slow_;

  ObservationCounts &operator+=(const ObservationCounts &Added);
};

/// Pooled evidence of all gateways about the instances of one service.
///
/// Reports are collected in rounds. At the end of a round each instance is
/// compared with the median of its peers in the same rounds, so that a change
/// that affects the whole pool is no evidence against any instance. Each
/// instance has one cumulative sum for failures and one for slowness. The part
/// of a sum that comes from one gateway is capped at a share of the threshold,
/// so that one gateway that is cut off from the instance cannot reach the
/// threshold. Capping only lowers the sum, so the bound on false alarms holds.
class EvidencePool {
public:
  /// Cap on the part of one gateway, as a share of the threshold. With these
  /// values, three gateways must agree, or all gateways when there are fewer
  /// than three.
  static constexpr double GatewayCapShare = 0.45;
  static constexpr double TwoGatewayCapShare = 0.75;
  static constexpr double SingleGatewayCapShare = 2;
  /// Weight of a failed probe relative to a failed request. Successful probes
  /// have no weight, because instances with gray failures still answer probes.
  static constexpr double FailedProbeWeight = 0.25;
  static constexpr std::size_t MaxGateways = 128;

  explicit EvidencePool(LogLikelihoodRatio Threshold) : Threshold_(Threshold) {}

  void setThreshold(LogLikelihoodRatio Threshold) { Threshold_ = Threshold; }
  /// Adds new instances and removes those that are not listed.
  void setInstances(const std::vector<InstanceId> &Instances);
  /// Ignores evidence about instances that are not in the pool.
  void add(const EvidenceReport &Report);
  void addFailure(const InstanceId &Instance, const MemberId &Gateway);
  void addFailedProbe(const InstanceId &Instance);
  /// Removes one failure, either from the current round or from the sum.
  void retractFailure(const InstanceId &Instance, const MemberId &Gateway);
  /// Resets the sums and the current round of an instance.
  void resetSums(const InstanceId &Instance);
  /// Adds the evidence of the current round to the sums and starts a new round.
  void endRound();

  /// Cumulative sums of the instance, less the median of its peers; 0 or more.
  OutlierScore outlierScore(const InstanceId &Instance) const;
  /// Observations since both sums were last at 0.
  ObservationCounts observations(const InstanceId &Instance) const;
  /// Log-likelihood ratios of the last round alone, without caps.
  OutlierScore lastRoundScore(const InstanceId &Instance) const;
  LogLikelihoodRatio threshold() const { return Threshold_; }
  /// Number of gateways that reported within the last rounds.
  std::size_t gatewayCount() const { return Gateways_.size(); }
  /// Number of reports ignored because they came from gateways beyond
  /// MaxGateways.
  EventCount ignoredReports() const { return IgnoredReports_; }

private:
  using Histogram = std::array<std::uint32_t, LatencyBucketCount>;

  struct RoundCounts {
    std::uint64_t Good_ = 0;
    std::uint64_t Failed_ = 0;
    Histogram Latencies_{};
    Histogram Cancelled_{};
  };
  struct CumulativeSum {
    std::map<MemberId, double> GatewayParts_;
    double Total_ = 0;

    void add(const MemberId &Gateway, double Amount, double Cap);
    void resetIfNotPositive();
  };
  struct InstanceStatistics {
    std::map<MemberId, RoundCounts> CurrentRound_;
    std::deque<RoundCounts> RecentRounds_;
    CumulativeSum FailureSum_;
    CumulativeSum SlownessSum_;
    OutcomeRates FailureRates_;
    ObservationCounts Observations_;
    OutlierScore LastRoundScore_;
  };
  /// Summary of recent rounds of an instance, for the comparison with its
  /// peers.
  struct Window {
    std::uint64_t AttemptCount_ = 0;
    double FailureRate_ = 0;
    std::uint64_t LatencyCount_ = 0;
    std::size_t MedianBucket_ = 0;
    /// Number of latencies in this bucket and all higher ones, including
    /// cancelled attempts.
    Histogram CountFromBucket_{};
  };
  using Windows = std::map<InstanceId, Window>;
  /// Typical values of the peers of an instance.
  struct PeerReference {
    double FailureRate_ = 0;
    std::size_t FirstSlowBucket_ = LatencyBucketCount;
    double SlowRate_ = 0;
  };

  static Window windowOf(const InstanceStatistics &Statistics,
                         std::size_t RoundCount);
  static PeerReference peerReferenceFor(const InstanceId &Id,
                                        const Windows &AllWindows);
  void addRoundEvidence(InstanceStatistics &Statistics,
                        const PeerReference &Recent,
                        const PeerReference &LastRound);
  double peerMedian(const InstanceId &Id,
                    const CumulativeSum InstanceStatistics::*Sum) const;
  double gatewayCap() const;

  LogLikelihoodRatio Threshold_;
  std::map<InstanceId, InstanceStatistics> Instances_;
  /// Round in which each gateway last reported.
  std::map<MemberId, std::uint64_t> Gateways_;
  std::uint64_t RoundNumber_ = 0;
  EventCount IgnoredReports_;
};

} // namespace jaybridge
