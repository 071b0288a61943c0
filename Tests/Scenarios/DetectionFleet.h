#pragma once

#include "ConsecutiveFailureDetector.h"

#include <LibCore/Random.h>
#include <LibDetection/EjectionAuthority.h>
#include <LibDetection/EvidenceReporter.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>

namespace jaybridge {

/// Behavior of an instance towards the requests of one gateway.
struct InstanceBehavior {
  double FailureRate_ = 0.002;
  double Slowdown_ = 1;
  bool IsProbeHealthy_ = true;
};

/// Behavior of an instance towards the requests of a gateway at SinceFault, the
/// time since the start of the fault.
using FaultModel = std::function<InstanceBehavior(
    std::size_t Instance, std::size_t Gateway, Duration SinceFault)>;

/// Size, load and profile of a simulated service.
struct FleetParameters {
  std::size_t GatewayCount_ = 46;
  std::size_t InstanceCount_ = 12;
  /// Requests per second and instance, summed over all gateways.
  double RequestRate_ = 50;
  ErrorRate FalseEjectionRate_{1e-2};
  ErrorRate MissedDetectionRate_{1e-2};
  Percentage Floor_{70};
};

/// Measurements of one run.
struct DetectionResult {
  /// Time from the fault until instance 0 was ejected: by the authority, or in
  /// the baseline by half of the gateways.
  std::optional<Duration> TimeToDetection_;
  /// Time from the fault until half of the gateways stopped using instance 0.
  std::optional<Duration> TimeToExclusion_;
  std::size_t Ejections_ = 0;
  /// Ejections of instances other than 0, and all ejections before the fault.
  std::size_t FalseEjections_ = 0;
  /// Maximum number of instances that were ejected at the same time by one
  /// gateway or more.
  std::size_t MaxEjectedInstances_ = 0;
  /// Fraction of the time after the fault during which a gateway used
  /// instance 0, averaged over the gateways.
  double FaultyUseRatio_ = 0;
  std::uint64_t Reports_ = 0;
};

/// Simulates, in logical time, one service with the evidence reporters of its
/// gateways and its ejection authority. The baseline has an independent
/// ConsecutiveFailureDetector in each gateway instead.
class DetectionFleet {
public:
  static constexpr Duration Tick = std::chrono::milliseconds(10);

  DetectionFleet(FleetParameters Parameters, FaultModel Model,
                 std::uint64_t Seed, bool IsBaseline = false)
      : Parameters_(Parameters), Model_(std::move(Model)),
        Random_(RandomSeed(Seed)), IsBaseline_(IsBaseline),
        Authority_(Service_), PendingRequests_(PendingTicks) {
    ProfileDraft Draft;
    Draft.Name_ = ProfileName("p");
    Draft.Floor_ = Parameters.Floor_;
    Draft.FalseEjectionRate_ = Parameters.FalseEjectionRate_;
    Draft.MissedDetectionRate_ = Parameters.MissedDetectionRate_;
    PoolChanged Pool{{Service_, Profile::create(Draft).takeValue(), {}}, {}};
    for (std::size_t Instance = 0; Instance < Parameters.InstanceCount_;
         ++Instance) {
      InstanceIds_.emplace_back("i" + std::to_string(100 + Instance));
      Pool.Instances_.push_back(
          {InstanceIds_[Instance], Service_, {}, {}, SlotCount(4), {}, {}});
    }
    Authority_.handle(Pool, Now_, AuthorityEffects_);
    for (std::size_t Gateway = 0; Gateway < Parameters.GatewayCount_;
         ++Gateway) {
      EvidenceReporterSettings Settings;
      Settings.Self_ = MemberId("g" + std::to_string(100 + Gateway));
      Reporters_.emplace_back(Settings);
      BaselineDetectors_.emplace_back(Parameters.InstanceCount_);
    }
    IsEjected_.assign(Parameters.GatewayCount_,
                      std::vector<bool>(Parameters.InstanceCount_, false));
    EjectingGatewayCounts_.assign(Parameters.InstanceCount_, 0);
    // Log-normal latencies in microseconds with a median of 20 ms and a sigma
    // of 0.5.
    for (std::size_t I = 0; I < LatencyTableSize; ++I)
      Latencies_.push_back(20'000 * std::exp(0.5 * normal()));
    Authority_.handle(AuthorityGranted{FenceNumber(1), TimePoint::max()}, Now_,
                      AuthorityEffects_);
  }

  /// Runs without a fault for Before, then with the fault for After.
  DetectionResult run(Duration Before, Duration After) {
    FaultAt_ = TimePoint{} + Before;
    std::uint64_t FaultyUses = 0;
    std::uint64_t Ticks = 0;
    while (Now_ < FaultAt_ + After) {
      Now_ += Tick;
      sendRequests();
      completeRequests();
      advanceDetection();
      std::size_t EjectedInstances = static_cast<std::size_t>(std::count_if(
          EjectingGatewayCounts_.begin(), EjectingGatewayCounts_.end(),
          [](std::size_t Count) { return Count > 0; }));
      Result_.MaxEjectedInstances_ =
          std::max(Result_.MaxEjectedInstances_, EjectedInstances);
      if (Now_ < FaultAt_)
        continue;
      ++Ticks;
      FaultyUses += Parameters_.GatewayCount_ - EjectingGatewayCounts_[0];
      if (EjectingGatewayCounts_[0] * 2 >= Parameters_.GatewayCount_ &&
          !Result_.TimeToExclusion_) {
        Result_.TimeToExclusion_ = Now_ - FaultAt_;
        if (IsBaseline_)
          Result_.TimeToDetection_ = Result_.TimeToExclusion_;
      }
    }
    Result_.FaultyUseRatio_ =
        static_cast<double>(FaultyUses) /
        static_cast<double>(Ticks * Parameters_.GatewayCount_);
    return Result_;
  }

private:
  static constexpr std::size_t LatencyTableSize = 4096;
  static constexpr std::size_t PendingTicks = 512;

  struct PendingRequest {
    std::size_t Gateway_;
    std::size_t Instance_;
    bool IsFailed_;
    Duration Elapsed_;
  };

  /// Approximates the standard normal distribution by a sum of twelve uniform
  /// variables.
  double normal() {
    double Sum = 0;
    for (int I = 0; I < 12; ++I)
      Sum += Random_.unit();
    return Sum - 6;
  }

  InstanceBehavior currentBehavior(std::size_t Instance,
                                   std::size_t Gateway) const {
    return Now_ < FaultAt_ ? InstanceBehavior{}
                           : Model_(Instance, Gateway, Now_ - FaultAt_);
  }

  void sendRequests() {
    double RequestsPerTick = Parameters_.RequestRate_ *
                             static_cast<double>(Parameters_.InstanceCount_) *
                             std::chrono::duration<double>(Tick).count();
    DueRequests_ += RequestsPerTick;
    for (; DueRequests_ >= 1; DueRequests_ -= 1) {
      std::size_t Gateway = Random_.below(Parameters_.GatewayCount_);
      // Gateways start one after another, which staggers their reports over
      // 500 ms.
      if (Now_ < TimePoint{} + Gateway * std::chrono::milliseconds(500) /
                                   Parameters_.GatewayCount_)
        continue;
      std::size_t Instance = Random_.below(Parameters_.InstanceCount_);
      for (std::size_t Skipped = 0; IsEjected_[Gateway][Instance] &&
                                    Skipped < Parameters_.InstanceCount_;
           ++Skipped)
        Instance = (Instance + 1) % Parameters_.InstanceCount_;
      InstanceBehavior Current = currentBehavior(Instance, Gateway);
      Duration Elapsed(static_cast<std::int64_t>(
          Latencies_[Random_.below(LatencyTableSize)] * Current.Slowdown_));
      std::size_t TicksLeft = static_cast<std::size_t>(Elapsed / Tick) + 1;
      PendingRequests_[(CurrentTick_ + std::min(TicksLeft, PendingTicks - 1)) %
                       PendingTicks]
          .push_back({Gateway, Instance, Random_.unit() < Current.FailureRate_,
                      Elapsed});
    }
  }

  void completeRequests() {
    CurrentTick_ = (CurrentTick_ + 1) % PendingTicks;
    for (const PendingRequest &Request : PendingRequests_[CurrentTick_]) {
      if (IsBaseline_) {
        if (BaselineDetectors_[Request.Gateway_].observe(
                Request.Instance_, Request.IsFailed_, Now_))
          recordEjection(Request.Instance_);
        continue;
      }
      ReporterEffects_.clear();
      Reporters_[Request.Gateway_].handle(
          AttemptObserved{Service_, InstanceIds_[Request.Instance_],
                          AttemptResult::Answered,
                          StatusCode(Request.IsFailed_ ? 500 : 200),
                          Request.Elapsed_, Fingerprint(1)},
          Now_, ReporterEffects_);
      performReporterEffects(Request.Gateway_);
    }
    PendingRequests_[CurrentTick_].clear();
  }

  void advanceDetection() {
    for (std::size_t Gateway = 0; Gateway < Parameters_.GatewayCount_;
         ++Gateway) {
      if (IsBaseline_) {
        for (std::size_t Instance = 0; Instance < Parameters_.InstanceCount_;
             ++Instance)
          setEjected(Gateway, Instance,
                     BaselineDetectors_[Gateway].isEjected(Instance, Now_));
        continue;
      }
      ReporterEffects_.clear();
      Reporters_[Gateway].advance(Now_, ReporterEffects_);
      performReporterEffects(Gateway);
    }
    Authority_.advance(Now_, AuthorityEffects_);
    std::vector<EjectionAuthority::Effect> Effects;
    Effects.swap(AuthorityEffects_);
    for (const auto &Effect : Effects)
      std::visit([&](const auto &Performed) { apply(Performed); }, Effect);
  }

  void performReporterEffects(std::size_t Gateway) {
    for (const auto &Effect : ReporterEffects_) {
      if (const auto *Sent = std::get_if<SendEvidenceReport>(&Effect)) {
        ++Result_.Reports_;
        Authority_.handle(Sent->Report_, Now_, AuthorityEffects_);
      } else if (const auto *Changed =
                     std::get_if<EjectionListChanged>(&Effect)) {
        for (std::size_t Instance = 0; Instance < Parameters_.InstanceCount_;
             ++Instance)
          setEjected(
              Gateway, Instance,
              std::find(Changed->Ejected_.begin(), Changed->Ejected_.end(),
                        InstanceIds_[Instance]) != Changed->Ejected_.end());
      }
    }
  }

  void setEjected(std::size_t Gateway, std::size_t Instance, bool IsEjected) {
    if (IsEjected_[Gateway][Instance] == IsEjected)
      return;
    IsEjected_[Gateway][Instance] = IsEjected;
    EjectingGatewayCounts_[Instance] += IsEjected ? 1 : std::size_t(-1);
  }

  void apply(const EjectionList &List) {
    std::size_t Gateway = std::stoul(List.Gateway_.text().substr(1)) - 100;
    ReporterEffects_.clear();
    Reporters_[Gateway].handle(EjectionListReceived{List}, Now_,
                               ReporterEffects_);
    performReporterEffects(Gateway);
  }
  void apply(const ProbeInstance &Probe) {
    Authority_.handle(
        ProbeCompleted{
            Probe.Instance_,
            currentBehavior(indexOf(Probe.Instance_), 0).IsProbeHealthy_},
        Now_, AuthorityEffects_);
  }
  void apply(const EjectionDecision &Decision) {
    if (Decision.Kind_ == EjectionDecisionKind::Ejected ||
        Decision.Kind_ == EjectionDecisionKind::EjectedAgain)
      recordEjection(indexOf(Decision.Instance_));
  }

  void recordEjection(std::size_t Instance) {
    ++Result_.Ejections_;
    if (Instance != 0 || Now_ < FaultAt_)
      ++Result_.FalseEjections_;
    else if (!IsBaseline_ && !Result_.TimeToDetection_)
      Result_.TimeToDetection_ = Now_ - FaultAt_;
  }

  std::size_t indexOf(const InstanceId &Id) const {
    return std::stoul(Id.text().substr(1)) - 100;
  }

  FleetParameters Parameters_;
  FaultModel Model_;
  Random Random_;
  bool IsBaseline_;
  ServiceName Service_{"s"};
  EjectionAuthority Authority_;
  std::vector<std::vector<PendingRequest>> PendingRequests_;
  std::size_t CurrentTick_ = 0;
  double DueRequests_ = 0;
  TimePoint Now_;
  TimePoint FaultAt_;
  std::vector<InstanceId> InstanceIds_;
  std::vector<EvidenceReporter> Reporters_;
  std::vector<ConsecutiveFailureDetector> BaselineDetectors_;
  std::vector<double> Latencies_;
  std::vector<std::vector<bool>> IsEjected_;
  std::vector<std::size_t> EjectingGatewayCounts_;
  std::vector<EjectionAuthority::Effect> AuthorityEffects_;
  std::vector<EvidenceReporter::Effect> ReporterEffects_;
  DetectionResult Result_;
};

} // namespace jaybridge
