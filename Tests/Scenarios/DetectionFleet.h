#pragma once

#include "ConsecutiveFailures.h"

#include <LibCore/Random.h>
#include <LibDetection/EjectionAuthority.h>
#include <LibDetection/EvidenceReporter.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>

namespace jaybridge {

/// How an instance treats the requests of one gateway at one time.
struct Behaviour {
  double FailureRate_ = 0.002;
  double SlowFactor_ = 1;
  bool ProbeHealthy_ = true;
};

using Fault = std::function<Behaviour(std::size_t Instance, std::size_t Gateway,
                                      Duration SinceFault)>;

struct FleetShape {
  std::size_t Gateways_ = 46;
  std::size_t Instances_ = 12;
  /// Requests per second and instance, over all gateways.
  double Rate_ = 50;
  ErrorRate FalseEjectionRate_{1e-2};
  ErrorRate MissedDetectionRate_{1e-2};
  Percentage Floor_{70};
};

struct FleetResult {
  /// From the fault until the authority, or half of the gateways with the
  /// baseline, ejected instance 0.
  std::optional<Duration> Detected_;
  /// From the fault until half of the gateways used the new list.
  std::optional<Duration> Applied_;
  std::size_t Ejections_ = 0;
  /// Ejections of instances other than instance 0, or before the fault.
  std::size_t FalseEjections_ = 0;
  /// Greatest number of instances that are ejected at some gateway.
  std::size_t GreatestUnion_ = 0;
  /// Share of gateway time after the fault in which instance 0 was in use.
  double UsedShare_ = 0;
  std::uint64_t Reports_ = 0;
};

/// One service with its reporters and authority, driven in logical time.
class DetectionFleet {
public:
  static constexpr Duration Tick = std::chrono::milliseconds(10);

  DetectionFleet(FleetShape Shape, Fault Behave, std::uint64_t Seed,
                 bool IsBaseline = false)
      : Shape_(Shape), Behave_(std::move(Behave)), Random_(RandomSeed(Seed)),
        IsBaseline_(IsBaseline), Authority_(Service_), Pending_(PendingTicks) {
    ProfileDraft Draft;
    Draft.Name_ = ProfileName("p");
    Draft.Floor_ = Shape.Floor_;
    Draft.FalseEjectionRate_ = Shape.FalseEjectionRate_;
    Draft.MissedDetectionRate_ = Shape.MissedDetectionRate_;
    PoolChanged Pool{{Service_, Profile::create(Draft).takeValue(), {}}, {}};
    for (std::size_t I = 0; I < Shape.Instances_; ++I) {
      Names_.emplace_back("i" + std::to_string(100 + I));
      Pool.Instances_.push_back(
          {Names_[I], Service_, {}, {}, SlotCount(4), {}, {}});
    }
    Authority_.handle(Pool, Now_, Effects_);
    for (std::size_t G = 0; G < Shape.Gateways_; ++G) {
      EvidenceReporterSettings Settings;
      Settings.Self_ = MemberId("g" + std::to_string(100 + G));
      Reporters_.emplace_back(Settings);
      Baseline_.emplace_back(Shape.Instances_);
    }
    Listed_.assign(Shape.Gateways_, std::vector<bool>(Shape.Instances_, false));
    ListedCount_.assign(Shape.Instances_, 0);
    // A log-normal latency with a median of 20 ms and a sigma of 0.5.
    for (std::size_t I = 0; I < LatencyTable; ++I)
      Latencies_.push_back(20'000 * std::exp(0.5 * normal()));
    Authority_.handle(AuthorityGranted{FenceNumber(1), TimePoint::max()}, Now_,
                      Effects_);
  }

  /// Runs healthily for Before, then with the fault for After.
  FleetResult run(Duration Before, Duration After) {
    FaultAt_ = TimePoint{} + Before;
    std::uint64_t Used = 0;
    std::uint64_t Ticks = 0;
    while (Now_ < FaultAt_ + After) {
      Now_ += Tick;
      sendRequests();
      finishRequests();
      stepControl();
      std::size_t Union = static_cast<std::size_t>(
          std::count_if(ListedCount_.begin(), ListedCount_.end(),
                        [](std::size_t Count) { return Count > 0; }));
      Result_.GreatestUnion_ = std::max(Result_.GreatestUnion_, Union);
      if (Now_ < FaultAt_)
        continue;
      ++Ticks;
      Used += Shape_.Gateways_ - ListedCount_[0];
      if (ListedCount_[0] * 2 >= Shape_.Gateways_ && !Result_.Applied_) {
        Result_.Applied_ = Now_ - FaultAt_;
        if (IsBaseline_)
          Result_.Detected_ = Result_.Applied_;
      }
    }
    Result_.UsedShare_ = static_cast<double>(Used) /
                         static_cast<double>(Ticks * Shape_.Gateways_);
    return Result_;
  }

private:
  static constexpr std::size_t LatencyTable = 4096;
  static constexpr std::size_t PendingTicks = 512;

  struct Finished {
    std::size_t Gateway_;
    std::size_t Instance_;
    bool IsFailed_;
    Duration Elapsed_;
  };

  double normal() {
    double Sum = 0;
    for (int I = 0; I < 12; ++I)
      Sum += Random_.unit();
    return Sum - 6;
  }

  Behaviour behaviour(std::size_t Instance, std::size_t Gateway) const {
    return Now_ < FaultAt_ ? Behaviour{}
                           : Behave_(Instance, Gateway, Now_ - FaultAt_);
  }

  void sendRequests() {
    double PerTick = Shape_.Rate_ * static_cast<double>(Shape_.Instances_) *
                     std::chrono::duration<double>(Tick).count();
    Credit_ += PerTick;
    for (; Credit_ >= 1; Credit_ -= 1) {
      std::size_t G = Random_.below(Shape_.Gateways_);
      // Gateways start one after another, so that their reports are spread.
      if (Now_ <
          TimePoint{} + G * std::chrono::milliseconds(500) / Shape_.Gateways_)
        continue;
      std::size_t I = Random_.below(Shape_.Instances_);
      for (std::size_t Try = 0; Listed_[G][I] && Try < Shape_.Instances_; ++Try)
        I = (I + 1) % Shape_.Instances_;
      Behaviour Shown = behaviour(I, G);
      Duration Elapsed(static_cast<std::int64_t>(
          Latencies_[Random_.below(LatencyTable)] * Shown.SlowFactor_));
      std::size_t At = static_cast<std::size_t>(Elapsed / Tick) + 1;
      Pending_[(Cursor_ + std::min(At, PendingTicks - 1)) % PendingTicks]
          .push_back({G, I, Random_.unit() < Shown.FailureRate_, Elapsed});
    }
  }

  void finishRequests() {
    Cursor_ = (Cursor_ + 1) % PendingTicks;
    for (const Finished &Each : Pending_[Cursor_]) {
      if (IsBaseline_) {
        if (Baseline_[Each.Gateway_].observe(Each.Instance_, Each.IsFailed_,
                                             Now_))
          countEjection(Each.Instance_);
        continue;
      }
      Out_.clear();
      Reporters_[Each.Gateway_].handle(
          AttemptObserved{Service_, Names_[Each.Instance_],
                          AttemptResult::Answered,
                          StatusCode(Each.IsFailed_ ? 500 : 200), Each.Elapsed_,
                          Fingerprint(1)},
          Now_, Out_);
      deliver(Each.Gateway_);
    }
    Pending_[Cursor_].clear();
  }

  void stepControl() {
    for (std::size_t G = 0; G < Shape_.Gateways_; ++G) {
      if (IsBaseline_) {
        for (std::size_t I = 0; I < Shape_.Instances_; ++I)
          list(G, I, Baseline_[G].isEjected(I, Now_));
        continue;
      }
      Out_.clear();
      Reporters_[G].advance(Now_, Out_);
      deliver(G);
    }
    Authority_.advance(Now_, Effects_);
    std::vector<EjectionAuthority::Effect> Sent;
    Sent.swap(Effects_);
    for (const auto &Each : Sent)
      std::visit([&](const auto &Effect) { apply(Effect); }, Each);
  }

  void deliver(std::size_t G) {
    for (const auto &Each : Out_) {
      if (const auto *Sent = std::get_if<SendEvidenceReport>(&Each)) {
        ++Result_.Reports_;
        Authority_.handle(Sent->Report_, Now_, Effects_);
      } else if (const auto *Applied =
                     std::get_if<EjectionListChanged>(&Each)) {
        for (std::size_t I = 0; I < Shape_.Instances_; ++I)
          list(G, I,
               std::find(Applied->Ejected_.begin(), Applied->Ejected_.end(),
                         Names_[I]) != Applied->Ejected_.end());
      }
    }
  }

  void list(std::size_t G, std::size_t I, bool IsListed) {
    if (Listed_[G][I] == IsListed)
      return;
    Listed_[G][I] = IsListed;
    ListedCount_[I] += IsListed ? 1 : std::size_t(-1);
  }

  void apply(const EjectionList &Reply) {
    std::size_t G = std::stoul(Reply.Gateway_.text().substr(1)) - 100;
    Out_.clear();
    Reporters_[G].handle(EjectionListReceived{Reply}, Now_, Out_);
    deliver(G);
  }
  void apply(const ProbeInstance &Probe) {
    Authority_.handle(
        ProbeCompleted{Probe.Instance_,
                       behaviour(indexOf(Probe.Instance_), 0).ProbeHealthy_},
        Now_, Effects_);
  }
  void apply(const EjectionDecision &Act) {
    if (Act.Kind_ == EjectionDecisionKind::Ejected ||
        Act.Kind_ == EjectionDecisionKind::EjectedAgain)
      countEjection(indexOf(Act.Instance_));
  }

  void countEjection(std::size_t I) {
    ++Result_.Ejections_;
    if (I != 0 || Now_ < FaultAt_)
      ++Result_.FalseEjections_;
    else if (!IsBaseline_ && !Result_.Detected_)
      Result_.Detected_ = Now_ - FaultAt_;
  }

  std::size_t indexOf(const InstanceId &Id) const {
    return std::stoul(Id.text().substr(1)) - 100;
  }

  FleetShape Shape_;
  Fault Behave_;
  Random Random_;
  bool IsBaseline_;
  ServiceName Service_{"s"};
  EjectionAuthority Authority_;
  std::vector<std::vector<Finished>> Pending_;
  std::size_t Cursor_ = 0;
  double Credit_ = 0;
  TimePoint Now_;
  TimePoint FaultAt_;
  std::vector<InstanceId> Names_;
  std::vector<EvidenceReporter> Reporters_;
  std::vector<ConsecutiveFailures> Baseline_;
  std::vector<double> Latencies_;
  std::vector<std::vector<bool>> Listed_;
  std::vector<std::size_t> ListedCount_;
  std::vector<EjectionAuthority::Effect> Effects_;
  std::vector<EvidenceReporter::Effect> Out_;
  FleetResult Result_;
};

} // namespace jaybridge
