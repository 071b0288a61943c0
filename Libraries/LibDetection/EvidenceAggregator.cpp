#include <LibDetection/EvidenceAggregator.h>

#include <algorithm>
#include <numeric>
#include <optional>

namespace jaybridge {

namespace {

/// Rounds in the reference; the last round alone is a second reference, so
/// that a change that hits the whole pool counts at once.
constexpr std::size_t RecentRoundCount = 5;
/// Rounds after which a silent gateway no longer counts, about 15 s. Gateways
/// report for 10 s after their last request.
constexpr std::uint64_t GatewayRounds = 75;
/// An instance with fewer observations says little about its peers.
constexpr std::uint64_t LeastObservations = 8;
/// Four buckets above the peers' median, about twice their latency.
constexpr std::size_t SlowDistance = 4;

/// A healthy instance may fail somewhat more often than its peers.
OutcomeRates failureRates(double PeersRate) {
  double Healthy = std::clamp(1.5 * PeersRate + 0.01, 0.02, 0.9);
  return {Probability(Healthy), Probability(Healthy + 0.35 * (1 - Healthy))};
}

OutcomeRates slownessRates(double PeersRate) {
  double Healthy = std::clamp(1.1 * PeersRate + 0.04, 0.05, 0.9);
  return {Probability(Healthy), Probability(Healthy + 0.5 * (1 - Healthy))};
}

std::uint64_t countOf(const std::array<std::uint32_t, LatencyBucketCount> &All,
                      std::size_t From = 0) {
  return std::accumulate(All.begin() + static_cast<std::ptrdiff_t>(From),
                         All.end(), std::uint64_t{0});
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

InstanceTally &InstanceTally::operator+=(const InstanceTally &Other) {
  Good_ += Other.Good_;
  Failed_ += Other.Failed_;
  Fast_ += Other.Fast_;
  Slow_ += Other.Slow_;
  return *this;
}

void EvidenceAggregator::CumulativeSum::add(const MemberId &Gateway,
                                            double Amount, double Cap) {
  double &Part = Parts_[Gateway];
  double Before = Part;
  Part = std::min(Part + Amount, Cap);
  Total_ += Part - Before;
}

void EvidenceAggregator::CumulativeSum::settle() {
  if (Total_ > 0)
    return;
  Parts_.clear();
  Total_ = 0;
}

void EvidenceAggregator::setInstances(
    const std::vector<InstanceId> &Instances) {
  std::set<InstanceId> Named(Instances.begin(), Instances.end());
  std::erase_if(Instances_, [&](const auto &Entry) {
    return !Named.contains(Entry.first);
  });
  for (const InstanceId &Each : Named)
    Instances_.try_emplace(Each);
}

void EvidenceAggregator::add(const EvidenceReport &Report) {
  if (!Gateways_.contains(Report.Gateway_) &&
      Gateways_.size() >= GreatestGatewayCount) {
    IgnoredReports_ += EventCount(1);
    return;
  }
  Gateways_[Report.Gateway_] = Round_;
  for (const InstanceEvidence &Each : Report.Instances_) {
    auto Found = Instances_.find(Each.Instance_);
    if (Found == Instances_.end())
      continue;
    Batch &Collected = Found->second.Round_[Report.Gateway_];
    Collected.Good_ += Each.Good_.value();
    Collected.Failed_ += Each.Failed_.value();
    for (const LatencyCount &Count : Each.Latencies_) {
      if (Count.Bucket_.value() >= LatencyBucketCount)
        continue;
      Histogram &Counts =
          Count.IsCancelled_ ? Collected.Cancelled_ : Collected.Latencies_;
      Counts[Count.Bucket_.value()] +=
          static_cast<std::uint32_t>(Count.Count_.value());
    }
  }
}

void EvidenceAggregator::addFailure(const InstanceId &Instance,
                                    const MemberId &Gateway) {
  if (auto Found = Instances_.find(Instance); Found != Instances_.end())
    ++Found->second.Round_[Gateway].Failed_;
}

void EvidenceAggregator::addFailedProbe(const InstanceId &Instance) {
  auto Found = Instances_.find(Instance);
  if (Found == Instances_.end())
    return;
  Evidence Whole = evidenceOf(failureRates(0), EventCount(0), EventCount(1));
  Found->second.Failure_.add(probeSource(), Whole.value() * ProbeWeight, cap());
}

void EvidenceAggregator::forgive(const InstanceId &Instance,
                                 const MemberId &Gateway) {
  auto Found = Instances_.find(Instance);
  if (Found == Instances_.end())
    return;
  // In the round that collects, or as evidence that was already added.
  if (auto Collected = Found->second.Round_.find(Gateway);
      Collected != Found->second.Round_.end() &&
      Collected->second.Failed_ > 0) {
    --Collected->second.Failed_;
    return;
  }
  Evidence Whole = evidenceOf(failureRates(0), EventCount(0), EventCount(1));
  Found->second.Failure_.add(Gateway, -Whole.value(), cap());
  Found->second.Failure_.settle();
}

void EvidenceAggregator::restart(const InstanceId &Instance) {
  auto Found = Instances_.find(Instance);
  if (Found == Instances_.end())
    return;
  Found->second.Failure_ = {};
  Found->second.Slowness_ = {};
  Found->second.Round_.clear();
  Found->second.Observations_ = {};
  Found->second.LastRound_ = {};
}

void EvidenceAggregator::closeRound() {
  ++Round_;
  std::erase_if(Gateways_, [&](const auto &Entry) {
    return Entry.second + GatewayRounds < Round_;
  });
  for (auto &[Id, Each] : Instances_) {
    Batch Whole;
    for (const auto &[Gateway, Collected] : Each.Round_) {
      Whole.Good_ += Collected.Good_;
      Whole.Failed_ += Collected.Failed_;
      for (std::size_t I = 0; I < LatencyBucketCount; ++I) {
        Whole.Latencies_[I] += Collected.Latencies_[I];
        Whole.Cancelled_[I] += Collected.Cancelled_[I];
      }
    }
    Each.Recent_.push_front(Whole);
    if (Each.Recent_.size() > RecentRoundCount)
      Each.Recent_.pop_back();
  }
  Windows Long;
  Windows Short;
  for (const auto &[Id, Each] : Instances_) {
    Long.emplace_hint(Long.end(), Id, windowOf(Each, RecentRoundCount));
    Short.emplace_hint(Short.end(), Id, windowOf(Each, 1));
  }
  for (auto &[Id, Each] : Instances_) {
    judge(Each, referenceFor(Id, Long), referenceFor(Id, Short));
    Each.Round_.clear();
  }
}

void EvidenceAggregator::judge(Record &Each, const Reference &Long,
                               const Reference &Short) {
  double FailureRate = std::max(Long.FailureRate_, Short.FailureRate_);
  // The slower of the two references decides which answers are slow.
  bool IsShortSlower =
      Short.SlowFrom_ != LatencyBucketCount && Short.SlowFrom_ > Long.SlowFrom_;
  const Reference &Slow = IsShortSlower ? Short : Long;
  Each.FailureRates_ = failureRates(FailureRate);
  OutcomeRates Slowness =
      slownessRates(std::max(Long.SlowRate_, Short.SlowRate_));
  double Cap = cap();
  Each.LastRound_ = {};
  for (const auto &[Gateway, Collected] : Each.Round_) {
    InstanceTally Seen{
        EventCount(Collected.Good_), EventCount(Collected.Failed_), {}, {}};
    double Failure =
        evidenceOf(Each.FailureRates_, Seen.Good_, Seen.Failed_).value();
    Each.Failure_.add(Gateway, Failure, Cap);
    Each.LastRound_.Failure_ += Evidence(Failure);
    if (Slow.SlowFrom_ != LatencyBucketCount) {
      std::uint64_t Slower = countOf(Collected.Latencies_, Slow.SlowFrom_);
      std::uint64_t SlowCount =
          Slower + countOf(Collected.Cancelled_, Slow.SlowFrom_);
      Seen.Slow_ = EventCount(SlowCount);
      Seen.Fast_ = EventCount(countOf(Collected.Latencies_) - Slower);
      double Added = evidenceOf(Slowness, Seen.Fast_, Seen.Slow_).value();
      Each.Slowness_.add(Gateway, Added, Cap);
      Each.LastRound_.Slowness_ += Evidence(Added);
    }
    Each.Observations_ += Seen;
  }
  Each.Failure_.settle();
  Each.Slowness_.settle();
  if (Each.Failure_.Total_ <= 0 && Each.Slowness_.Total_ <= 0)
    Each.Observations_ = {};
}

EvidenceAggregator::Window
EvidenceAggregator::windowOf(const Record &Each, std::size_t RoundCount) {
  Batch Total;
  for (std::size_t R = 0; R < std::min(RoundCount, Each.Recent_.size()); ++R) {
    const Batch &Recent = Each.Recent_[R];
    Total.Good_ += Recent.Good_;
    Total.Failed_ += Recent.Failed_;
    for (std::size_t I = 0; I < LatencyBucketCount; ++I) {
      Total.Latencies_[I] += Recent.Latencies_[I];
      Total.Cancelled_[I] += Recent.Cancelled_[I];
    }
  }
  Window Found;
  Found.Observed_ = Total.Good_ + Total.Failed_;
  if (Found.Observed_ > 0)
    Found.FailureRate_ = static_cast<double>(Total.Failed_) /
                         static_cast<double>(Found.Observed_);
  Found.Measured_ = countOf(Total.Latencies_);
  std::uint64_t Passed = 0;
  for (std::size_t I = 0; I < LatencyBucketCount; ++I) {
    if (Passed * 2 < Found.Measured_)
      Found.Median_ = I;
    Passed += Total.Latencies_[I];
  }
  std::uint32_t Slower = 0;
  for (std::size_t I = LatencyBucketCount; I-- > 0;) {
    Slower += Total.Latencies_[I] + Total.Cancelled_[I];
    Found.SlowerFrom_[I] = Slower;
  }
  return Found;
}

EvidenceAggregator::Reference
EvidenceAggregator::referenceFor(const InstanceId &Id, const Windows &All) {
  std::vector<double> FailureRates;
  std::vector<double> Medians;
  for (const auto &[Peer, Each] : All) {
    if (Peer == Id)
      continue;
    if (Each.Observed_ >= LeastObservations)
      FailureRates.push_back(Each.FailureRate_);
    if (Each.Measured_ >= LeastObservations)
      Medians.push_back(static_cast<double>(Each.Median_));
  }
  Reference Found;
  Found.FailureRate_ = medianOf(FailureRates).value_or(0);
  // One peer alone cannot tell which of the two is slow.
  constexpr std::size_t LeastPeers = 2;
  if (Medians.size() < LeastPeers)
    return Found;
  Found.SlowFrom_ =
      std::min(static_cast<std::size_t>(*medianOf(Medians)) + SlowDistance,
               LatencyBucketCount - 1);
  std::vector<double> SlowRates;
  for (const auto &[Peer, Each] : All) {
    if (Peer == Id || Each.Measured_ < LeastObservations)
      continue;
    std::uint64_t Slow = Each.SlowerFrom_[Found.SlowFrom_];
    SlowRates.push_back(static_cast<double>(Slow) /
                        static_cast<double>(std::max(Slow, Each.Measured_)));
  }
  Found.SlowRate_ = *medianOf(SlowRates);
  return Found;
}

double EvidenceAggregator::peersMedian(const InstanceId &Id,
                                       const CumulativeSum Record::*Sum) const {
  std::vector<double> Totals;
  for (const auto &[Peer, Each] : Instances_)
    if (Peer != Id)
      Totals.push_back((Each.*Sum).Total_);
  return medianOf(Totals).value_or(0);
}

Suspicion EvidenceAggregator::suspicion(const InstanceId &Instance) const {
  auto Found = Instances_.find(Instance);
  if (Found == Instances_.end())
    return {};
  auto Beyond = [&](const CumulativeSum Record::*Sum) {
    double Own = (Found->second.*Sum).Total_;
    return Evidence(std::max(0.0, Own - peersMedian(Instance, Sum)));
  };
  return {Beyond(&Record::Failure_), Beyond(&Record::Slowness_)};
}

InstanceTally EvidenceAggregator::tally(const InstanceId &Instance) const {
  auto Found = Instances_.find(Instance);
  return Found == Instances_.end() ? InstanceTally{}
                                   : Found->second.Observations_;
}

Suspicion EvidenceAggregator::lastRound(const InstanceId &Instance) const {
  auto Found = Instances_.find(Instance);
  return Found == Instances_.end() ? Suspicion{} : Found->second.LastRound_;
}

double EvidenceAggregator::cap() const {
  double Share = gatewayCount() >= 3   ? GatewayShare
                 : gatewayCount() == 2 ? GatewayShareOfTwo
                                       : GatewayShareAlone;
  return Threshold_.value() * Share;
}

} // namespace jaybridge
