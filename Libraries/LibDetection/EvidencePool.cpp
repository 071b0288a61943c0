#include <LibDetection/EvidencePool.h>

#include <algorithm>
#include <numeric>
#include <optional>

namespace jaybridge {

namespace {

/// Rounds in the peer reference. The last round alone is a second reference, so
/// that a change that affects the whole pool is taken into account at once.
constexpr std::size_t RecentRoundCount = 5;
/// Number of rounds, about 15 s, after which a silent gateway no longer counts.
/// Gateways report for 10 s after their last request.
constexpr std::uint64_t GatewayExpiryRounds = 75;
/// Minimum number of observations for an instance to enter the reference of its
/// peers.
constexpr std::uint64_t MinObservations = 8;
/// Distance of the first slow bucket from the median of the peers: four
/// buckets, about twice their latency.
constexpr std::size_t SlowBucketDistance = 4;

/// Rates for the failure test. The healthy rate leaves a margin above the
/// failure rate of the peers.
OutcomeRates failureRates(double PeerRate) {
  double Healthy = std::clamp(1.5 * PeerRate + 0.01, 0.02, 0.9);
  return {Probability(Healthy), Probability(Healthy + 0.35 * (1 - Healthy))};
}

OutcomeRates slownessRates(double PeerRate) {
  double Healthy = std::clamp(1.1 * PeerRate + 0.04, 0.05, 0.9);
  return {Probability(Healthy), Probability(Healthy + 0.5 * (1 - Healthy))};
}

std::uint64_t
countOf(const std::array<std::uint32_t, LatencyBucketCount> &Counts,
        std::size_t From = 0) {
  return std::accumulate(Counts.begin() + static_cast<std::ptrdiff_t>(From),
                         Counts.end(), std::uint64_t{0});
}

std::optional<double> medianOf(std::vector<double> &Values) {
  if (Values.empty())
    return std::nullopt;
  auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

const MemberId &probeSource() {
  static const MemberId Source("probe");
  return Source;
}

} // namespace

ObservationCounts &
ObservationCounts::operator+=(const ObservationCounts &Added) {
  Good_ += Added.Good_;
  Failed_ += Added.Failed_;
  Fast_ += Added.Fast_;
  Slow_ += Added.Slow_;
  return *this;
}

void EvidencePool::CumulativeSum::add(const MemberId &Gateway, double Amount,
                                      double Cap) {
  double &GatewayPart = GatewayParts_[Gateway];
  double Before = GatewayPart;
  GatewayPart = std::min(GatewayPart + Amount, Cap);
  Total_ += GatewayPart - Before;
}

void EvidencePool::CumulativeSum::resetIfNotPositive() {
  if (Total_ > 0)
    return;
  GatewayParts_.clear();
  Total_ = 0;
}

void EvidencePool::setInstances(const std::vector<InstanceId> &Instances) {
  std::set<InstanceId> Listed(Instances.begin(), Instances.end());
  std::erase_if(Instances_, [&](const auto &Entry) {
    return !Listed.contains(Entry.first);
  });
  for (const InstanceId &Id : Listed)
    Instances_.try_emplace(Id);
}

void EvidencePool::add(const EvidenceReport &Report) {
  if (!Gateways_.contains(Report.Gateway_) && Gateways_.size() >= MaxGateways) {
    IgnoredReports_ += EventCount(1);
    return;
  }
  Gateways_[Report.Gateway_] = RoundNumber_;
  for (const InstanceEvidence &Observed : Report.Instances_) {
    auto Found = Instances_.find(Observed.Instance_);
    if (Found == Instances_.end())
      continue;
    RoundCounts &GatewayCounts = Found->second.CurrentRound_[Report.Gateway_];
    GatewayCounts.Good_ += Observed.Good_.value();
    GatewayCounts.Failed_ += Observed.Failed_.value();
    for (const LatencyCount &Count : Observed.Latencies_) {
      if (Count.Bucket_.value() >= LatencyBucketCount)
        continue;
      Histogram &Counts = Count.IsCancelled_ ? GatewayCounts.Cancelled_
                                             : GatewayCounts.Latencies_;
      Counts[Count.Bucket_.value()] +=
          static_cast<std::uint32_t>(Count.Count_.value());
    }
  }
}

void EvidencePool::addFailure(const InstanceId &Instance,
                              const MemberId &Gateway) {
  if (auto Found = Instances_.find(Instance); Found != Instances_.end())
    ++Found->second.CurrentRound_[Gateway].Failed_;
}

void EvidencePool::addFailedProbe(const InstanceId &Instance) {
  auto Found = Instances_.find(Instance);
  if (Found == Instances_.end())
    return;
  LogLikelihoodRatio OneFailure =
      logLikelihoodRatio(failureRates(0), EventCount(0), EventCount(1));
  Found->second.FailureSum_.add(
      probeSource(), OneFailure.value() * FailedProbeWeight, gatewayCap());
}

void EvidencePool::retractFailure(const InstanceId &Instance,
                                  const MemberId &Gateway) {
  auto Found = Instances_.find(Instance);
  if (Found == Instances_.end())
    return;
  // The failure is in the current round, or already in the sum.
  if (auto GatewayCounts = Found->second.CurrentRound_.find(Gateway);
      GatewayCounts != Found->second.CurrentRound_.end() &&
      GatewayCounts->second.Failed_ > 0) {
    --GatewayCounts->second.Failed_;
    return;
  }
  LogLikelihoodRatio OneFailure =
      logLikelihoodRatio(failureRates(0), EventCount(0), EventCount(1));
  Found->second.FailureSum_.add(Gateway, -OneFailure.value(), gatewayCap());
  Found->second.FailureSum_.resetIfNotPositive();
}

void EvidencePool::resetSums(const InstanceId &Instance) {
  auto Found = Instances_.find(Instance);
  if (Found == Instances_.end())
    return;
  Found->second.FailureSum_ = {};
  Found->second.SlownessSum_ = {};
  Found->second.CurrentRound_.clear();
  Found->second.Observations_ = {};
  Found->second.LastRoundScore_ = {};
}

void EvidencePool::endRound() {
  ++RoundNumber_;
  std::erase_if(Gateways_, [&](const auto &Entry) {
    return Entry.second + GatewayExpiryRounds < RoundNumber_;
  });
  for (auto &[Id, Statistics] : Instances_) {
    RoundCounts Total;
    for (const auto &[Gateway, GatewayCounts] : Statistics.CurrentRound_) {
      Total.Good_ += GatewayCounts.Good_;
      Total.Failed_ += GatewayCounts.Failed_;
      for (std::size_t I = 0; I < LatencyBucketCount; ++I) {
        Total.Latencies_[I] += GatewayCounts.Latencies_[I];
        Total.Cancelled_[I] += GatewayCounts.Cancelled_[I];
      }
    }
    Statistics.RecentRounds_.push_front(Total);
    if (Statistics.RecentRounds_.size() > RecentRoundCount)
      Statistics.RecentRounds_.pop_back();
  }
  Windows Recent;
  Windows LastRound;
  for (const auto &[Id, Statistics] : Instances_) {
    Recent.emplace_hint(Recent.end(), Id,
                        windowOf(Statistics, RecentRoundCount));
    LastRound.emplace_hint(LastRound.end(), Id, windowOf(Statistics, 1));
  }
  for (auto &[Id, Statistics] : Instances_) {
    addRoundEvidence(Statistics, peerReferenceFor(Id, Recent),
                     peerReferenceFor(Id, LastRound));
    Statistics.CurrentRound_.clear();
  }
}

void EvidencePool::addRoundEvidence(InstanceStatistics &Statistics,
                                    const PeerReference &Recent,
                                    const PeerReference &LastRound) {
  double FailureRate = std::max(Recent.FailureRate_, LastRound.FailureRate_);
  // The slower of the two references determines which responses are slow.
  bool IsLastRoundSlower = LastRound.FirstSlowBucket_ != LatencyBucketCount &&
                           LastRound.FirstSlowBucket_ > Recent.FirstSlowBucket_;
  const PeerReference &Slow = IsLastRoundSlower ? LastRound : Recent;
  Statistics.FailureRates_ = failureRates(FailureRate);
  OutcomeRates Slowness =
      slownessRates(std::max(Recent.SlowRate_, LastRound.SlowRate_));
  double Cap = gatewayCap();
  Statistics.LastRoundScore_ = {};
  for (const auto &[Gateway, GatewayCounts] : Statistics.CurrentRound_) {
    ObservationCounts RoundObservations{EventCount(GatewayCounts.Good_),
                                        EventCount(GatewayCounts.Failed_),
                                        {},
                                        {}};
    double FailureEvidence =
        logLikelihoodRatio(Statistics.FailureRates_, RoundObservations.Good_,
                           RoundObservations.Failed_)
            .value();
    Statistics.FailureSum_.add(Gateway, FailureEvidence, Cap);
    Statistics.LastRoundScore_.Failure_ += LogLikelihoodRatio(FailureEvidence);
    if (Slow.FirstSlowBucket_ != LatencyBucketCount) {
      std::uint64_t Slower =
          countOf(GatewayCounts.Latencies_, Slow.FirstSlowBucket_);
      std::uint64_t SlowCount =
          Slower + countOf(GatewayCounts.Cancelled_, Slow.FirstSlowBucket_);
      RoundObservations.Slow_ = EventCount(SlowCount);
      RoundObservations.Fast_ =
          EventCount(countOf(GatewayCounts.Latencies_) - Slower);
      double SlownessEvidence =
          logLikelihoodRatio(Slowness, RoundObservations.Fast_,
                             RoundObservations.Slow_)
              .value();
      Statistics.SlownessSum_.add(Gateway, SlownessEvidence, Cap);
      Statistics.LastRoundScore_.Slowness_ +=
          LogLikelihoodRatio(SlownessEvidence);
    }
    Statistics.Observations_ += RoundObservations;
  }
  Statistics.FailureSum_.resetIfNotPositive();
  Statistics.SlownessSum_.resetIfNotPositive();
  if (Statistics.FailureSum_.Total_ <= 0 && Statistics.SlownessSum_.Total_ <= 0)
    Statistics.Observations_ = {};
}

EvidencePool::Window
EvidencePool::windowOf(const InstanceStatistics &Statistics,
                       std::size_t RoundCount) {
  RoundCounts Total;
  for (std::size_t R = 0;
       R < std::min(RoundCount, Statistics.RecentRounds_.size()); ++R) {
    const RoundCounts &Round = Statistics.RecentRounds_[R];
    Total.Good_ += Round.Good_;
    Total.Failed_ += Round.Failed_;
    for (std::size_t I = 0; I < LatencyBucketCount; ++I) {
      Total.Latencies_[I] += Round.Latencies_[I];
      Total.Cancelled_[I] += Round.Cancelled_[I];
    }
  }
  Window Result;
  Result.AttemptCount_ = Total.Good_ + Total.Failed_;
  if (Result.AttemptCount_ > 0)
    Result.FailureRate_ = static_cast<double>(Total.Failed_) /
                          static_cast<double>(Result.AttemptCount_);
  Result.LatencyCount_ = countOf(Total.Latencies_);
  std::uint64_t CumulativeCount = 0;
  for (std::size_t I = 0; I < LatencyBucketCount; ++I) {
    if (CumulativeCount * 2 < Result.LatencyCount_)
      Result.MedianBucket_ = I;
    CumulativeCount += Total.Latencies_[I];
  }
  std::uint32_t Slower = 0;
  for (std::size_t I = LatencyBucketCount; I-- > 0;) {
    Slower += Total.Latencies_[I] + Total.Cancelled_[I];
    Result.CountFromBucket_[I] = Slower;
  }
  return Result;
}

EvidencePool::PeerReference
EvidencePool::peerReferenceFor(const InstanceId &Id,
                               const Windows &AllWindows) {
  std::vector<double> FailureRates;
  std::vector<double> Medians;
  for (const auto &[Peer, PeerWindow] : AllWindows) {
    if (Peer == Id)
      continue;
    if (PeerWindow.AttemptCount_ >= MinObservations)
      FailureRates.push_back(PeerWindow.FailureRate_);
    if (PeerWindow.LatencyCount_ >= MinObservations)
      Medians.push_back(static_cast<double>(PeerWindow.MedianBucket_));
  }
  PeerReference Result;
  Result.FailureRate_ = medianOf(FailureRates).value_or(0);
  // With a single peer, it is undecidable which of the two instances is slow.
  constexpr std::size_t MinPeers = 2;
  if (Medians.size() < MinPeers)
    return Result;
  Result.FirstSlowBucket_ = std::min(
      static_cast<std::size_t>(*medianOf(Medians)) + SlowBucketDistance,
      LatencyBucketCount - 1);
  std::vector<double> SlowRates;
  for (const auto &[Peer, PeerWindow] : AllWindows) {
    if (Peer == Id || PeerWindow.LatencyCount_ < MinObservations)
      continue;
    std::uint64_t Slow = PeerWindow.CountFromBucket_[Result.FirstSlowBucket_];
    SlowRates.push_back(
        static_cast<double>(Slow) /
        static_cast<double>(std::max(Slow, PeerWindow.LatencyCount_)));
  }
  Result.SlowRate_ = *medianOf(SlowRates);
  return Result;
}

double
EvidencePool::peerMedian(const InstanceId &Id,
                         const CumulativeSum InstanceStatistics::*Sum) const {
  std::vector<double> Totals;
  for (const auto &[Peer, Statistics] : Instances_)
    if (Peer != Id)
      Totals.push_back((Statistics.*Sum).Total_);
  return medianOf(Totals).value_or(0);
}

OutlierScore EvidencePool::outlierScore(const InstanceId &Instance) const {
  auto Found = Instances_.find(Instance);
  if (Found == Instances_.end())
    return {};
  auto ExcessOverPeers = [&](const CumulativeSum InstanceStatistics::*Sum) {
    double Own = (Found->second.*Sum).Total_;
    return LogLikelihoodRatio(std::max(0.0, Own - peerMedian(Instance, Sum)));
  };
  return {ExcessOverPeers(&InstanceStatistics::FailureSum_),
          ExcessOverPeers(&InstanceStatistics::SlownessSum_)};
}

ObservationCounts EvidencePool::observations(const InstanceId &Instance) const {
  auto Found = Instances_.find(Instance);
  return Found == Instances_.end() ? ObservationCounts{}
                                   : Found->second.Observations_;
}

OutlierScore EvidencePool::lastRoundScore(const InstanceId &Instance) const {
  auto Found = Instances_.find(Instance);
  return Found == Instances_.end() ? OutlierScore{}
                                   : Found->second.LastRoundScore_;
}

double EvidencePool::gatewayCap() const {
  double Share = gatewayCount() >= 3   ? GatewayCapShare
                 : gatewayCount() == 2 ? TwoGatewayCapShare
                                       : SingleGatewayCapShare;
  return Threshold_.value() * Share;
}

} // namespace jaybridge
