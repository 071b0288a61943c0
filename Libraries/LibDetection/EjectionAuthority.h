#pragma once

#include <LibCore/DecisionRole.h>
#include <LibDetection/CrashQuarantine.h>
#include <LibDetection/EvidencePool.h>
#include <LibProfile/ServicePolicy.h>
#include <LibUpstream/InstanceRecord.h>

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace jaybridge {

// Events of EjectionAuthority, besides EvidenceReport.

/// The daemon holds the lease of the service until ValidUntil_, unless it loses
/// the lease earlier. Sent again with the same fence when the lease is renewed.
struct AuthorityGranted {
  FenceNumber Fence_;
  TimePoint ValidUntil_;
};

struct AuthorityLost {};

/// Complete list of the instances of the service, and its policy.
struct PoolChanged {
  ServicePolicy Policy_;
  std::vector<InstanceRecord> Instances_;
};

struct ProbeCompleted {
  InstanceId Instance_;
  bool IsHealthy_ = false;
};

// Effects of EjectionAuthority, besides EjectionList.

struct ProbeInstance {
  InstanceId Instance_;
  Endpoint Address_;
};

enum class EjectionDecisionKind {
  Ejected,
  /// Ejected again during its gradual return.
  EjectedAgain,
  /// The instance is used again by the first, or by a larger, share of the
  /// gateways.
  ReturnStageStarted,
  Reinstated,
  /// The instance is an outlier, but the floor permits no further ejection.
  WithheldForFloor,
  /// Reinstated because the number of serving instances fell.
  ReinstatedForFloor,
};

/// Decision of the authority and the evidence for it, for the audit trail.
struct EjectionDecision {
  EjectionDecisionKind Kind_ = EjectionDecisionKind::Ejected;
  ServiceName Service_;
  InstanceId Instance_;
  FenceNumber Fence_;
  ConfigurationVersion Version_;
  OutlierScore Score_;
  LogLikelihoodRatio Threshold_;
  ObservationCounts Observations_;
  EventCount GatewayCount_;
  EventCount EjectedCount_;
  EventCount PermittedCount_;
};

/// Number of instances that may be ejected at the same time: N - ceil(floor x
/// N).
EventCount permittedEjections(EventCount Serving, Percentage Floor);

/// Decides which instances of one service are ejected, while its daemon holds
/// the lease of the service. An instance counts as ejected until every list
/// that contains it has expired, and a new authority waits until the lists of
/// its predecessor have expired. This keeps the floor across a takeover.
class EjectionAuthority {
public:
  static constexpr Duration RoundInterval = std::chrono::milliseconds(200);
  static constexpr Duration ProbeInterval = std::chrono::seconds(1);
  /// Duration of the first ejection; doubles with each further one.
  static constexpr Duration InitialEjectionDuration = std::chrono::seconds(5);
  static constexpr Duration MaxEjectionDuration = std::chrono::minutes(5);
  /// A gateway that sent no report for this long is left out of the return
  /// stages. Its lists have expired long before.
  static constexpr Duration GatewayReportTimeout = std::chrono::seconds(15);
  /// Earlier ejections are forgotten after the instance has been in full use
  /// for this long.
  static constexpr Duration EjectionHistoryRetention = std::chrono::minutes(10);
  /// Minimum and maximum duration of a return stage, in which a share of the
  /// gateways uses the instance. Between the two, the outcomes of its requests
  /// decide.
  static constexpr Duration MinStageDuration = std::chrono::milliseconds(1200);
  static constexpr Duration MaxStageDuration = std::chrono::seconds(5);

  using Event = std::variant<EvidenceReport, AuthorityGranted, AuthorityLost,
                             PoolChanged, ProbeCompleted>;
  using Effect = std::variant<EjectionList, ProbeInstance, EjectionDecision>;

  explicit EjectionAuthority(ServiceName Service)
      : Service_(std::move(Service)), Evidence_(LogLikelihoodRatio(0)) {}

  void handle(const Event &Received, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  /// Instances that at least one gateway may still treat as ejected.
  std::set<InstanceId> ejectedInForce(TimePoint Now) const;

private:
  struct Lease {
    FenceNumber Fence_;
    TimePoint ValidUntil_;
    TimePoint EjectionsAllowedFrom_;
  };
  struct Ejection {
    TimePoint EjectedUntil_;
    /// 0 while the instance is fully ejected, then the number of the return
    /// stage.
    unsigned Stage_ = 0;
    TimePoint StageStartedAt_;
    std::optional<SequentialTest> FailureTest_;
    std::optional<SequentialTest> SlownessTest_;
  };
  struct LatestReport {
    ReportNumber Number_;
    TimePoint ReceivedAt_;
  };
  struct EjectionHistory {
    unsigned EjectionCount_ = 0;
    TimePoint ExpiresAt_;
  };

  bool holdsLease(TimePoint Now) const {
    return Lease_ && Now < Lease_->ValidUntil_;
  }
  void endLease();
  void updatePool(const PoolChanged &Changed, TimePoint Now,
                  std::vector<Effect> &Effects);
  void handleReport(const EvidenceReport &Report, TimePoint Now,
                    std::vector<Effect> &Effects);
  void sendList(const MemberId &Gateway, ReportNumber Number, TimePoint Now,
                std::vector<Effect> &Effects);
  void recordCrashes(const EvidenceReport &Report, TimePoint Now);
  void endRound(TimePoint Now, std::vector<Effect> &Effects);
  void ejectOutliers(TimePoint Now, std::vector<Effect> &Effects);
  void eject(const InstanceId &Id, TimePoint Now, EjectionDecisionKind Kind,
             std::vector<Effect> &Effects);
  void advanceReturns(TimePoint Now, std::vector<Effect> &Effects);
  void startReturnStage(const InstanceId &Id, Ejection &State, TimePoint Now,
                        std::vector<Effect> &Effects);
  void probeInstances(TimePoint Now, std::vector<Effect> &Effects);
  static TestVerdict combinedVerdict(const Ejection &State);
  bool isEjectedFor(const InstanceId &Id, const Ejection &State,
                    const MemberId &Gateway) const;
  void recordDecision(EjectionDecisionKind Kind, const InstanceId &Id,
                      TimePoint Now, std::vector<Effect> &Effects) const;

  ServiceName Service_;
  std::optional<ServicePolicy> Policy_;
  /// Contains serving instances only.
  std::map<InstanceId, InstanceRecord> Instances_;
  std::optional<Lease> Lease_;
  EvidencePool Evidence_;
  CrashQuarantine Quarantine_;
  /// Latest report of each gateway within GatewayReportTimeout.
  std::map<MemberId, LatestReport> LatestReports_;
  EjectionListRevision Revision_;
  std::map<InstanceId, Ejection> Ejections_;
  /// Time at which the last list that contained the instance has expired on all
  /// gateways.
  std::map<InstanceId, TimePoint> ListedUntil_;
  std::map<InstanceId, EjectionHistory> EjectionHistories_;
  std::set<InstanceId> WithheldForFloor_;
  TimePoint RoundEndsAt_;
  TimePoint ProbeAt_;
};

static_assert(DecisionRole<EjectionAuthority>);

} // namespace jaybridge
