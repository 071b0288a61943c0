#pragma once

#include <LibCore/DecisionRole.h>
#include <LibDetection/CrashQuarantine.h>
#include <LibDetection/EvidenceAggregator.h>
#include <LibProfile/ServicePolicy.h>
#include <LibUpstream/InstanceRecord.h>

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace jaybridge {

// Events of EjectionAuthority; EvidenceReport is the fourth.

/// The daemon holds the service's lease until the time, unless it is lost
/// earlier. Sent again with the same fence when the lease is renewed.
struct AuthorityGranted {
  FenceNumber Fence_;
  TimePoint ValidUntil_;
};

struct AuthorityLost {};

/// The whole list of the service's instances.
struct PoolChanged {
  ServicePolicy Policy_;
  std::vector<InstanceRecord> Instances_;
};

struct ProbeCompleted {
  InstanceId Instance_;
  bool IsHealthy_ = false;
};

// Effects of EjectionAuthority; EjectionList is the third.

struct ProbeInstance {
  InstanceId Instance_;
  Endpoint Address_;
};

enum class EjectionDecisionKind {
  Ejected,
  /// Ejected again before it had fully returned.
  EjectedAgain,
  /// A first share of the gateways, or a greater one, uses it again.
  ReturnStageStarted,
  Reinstated,
  /// Bad, but the floor permits no further ejection.
  WithheldForFloor,
  /// Put back because fewer instances are left.
  ReinstatedForFloor,
};

/// One act of the authority and its evidence, for the audit trail.
struct EjectionDecision {
  EjectionDecisionKind Kind_ = EjectionDecisionKind::Ejected;
  ServiceName Service_;
  InstanceId Instance_;
  FenceNumber Fence_;
  ConfigurationVersion Version_;
  Suspicion Score_;
  Evidence Threshold_;
  InstanceTally Observations_;
  EventCount GatewayCount_;
  EventCount EjectedCount_;
  EventCount PermittedCount_;
};

/// Instances that may be ejected at a time: N - ceil(floor x N).
EventCount permittedEjections(EventCount Serving, Percentage Floor);

/// Decides for one service which instances are ejected, while its daemon holds
/// the service's lease. An instance counts as ejected until every list that
/// named it has expired, and a new authority waits until the lists of its
/// predecessor have expired; so the floor holds across a takeover.
class EjectionAuthority {
public:
  static constexpr Duration RoundLength = std::chrono::milliseconds(200);
  static constexpr Duration ProbeInterval = std::chrono::seconds(1);
  /// First ejection; doubles with each further one.
  static constexpr Duration FirstEjection = std::chrono::seconds(5);
  static constexpr Duration GreatestEjection = std::chrono::minutes(5);
  /// A gateway without a report for this long takes no part in the stages of
  /// a return; its lists have expired long before.
  static constexpr Duration GatewayMemory = std::chrono::seconds(15);
  /// Earlier ejections are forgotten after this time in full use.
  static constexpr Duration FlappingMemory = std::chrono::minutes(10);
  /// A share of the gateways uses a returning instance for at least and at
  /// most this long; in between its answers decide.
  static constexpr Duration LeastStage = std::chrono::milliseconds(1200);
  static constexpr Duration GreatestStage = std::chrono::seconds(5);

  using Event = std::variant<EvidenceReport, AuthorityGranted, AuthorityLost,
                             PoolChanged, ProbeCompleted>;
  using Effect = std::variant<EjectionList, ProbeInstance, EjectionDecision>;

  explicit EjectionAuthority(ServiceName Service)
      : Service_(std::move(Service)), Pool_(Evidence(0)) {}

  void handle(const Event &Received, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  /// Instances that some gateway may treat as ejected.
  std::set<InstanceId> ejectedInForce(TimePoint Now) const;

private:
  struct Lease {
    FenceNumber Fence_;
    TimePoint ValidUntil_;
    TimePoint EjectsFrom_;
  };
  struct Ejection {
    TimePoint Until_;
    /// 0 while ejected, then the number of the return stage.
    unsigned Stage_ = 0;
    TimePoint StageSince_;
    std::optional<SequentialTest> Failure_;
    std::optional<SequentialTest> Slowness_;
  };
  struct LatestReport {
    ReportNumber Number_;
    TimePoint At_;
  };
  struct Flapping {
    unsigned Count_ = 0;
    TimePoint ForgetAt_;
  };

  bool holdsLease(TimePoint Now) const {
    return Lease_ && Now < Lease_->ValidUntil_;
  }
  void loseLease();
  void change(const PoolChanged &Changed, TimePoint Now,
              std::vector<Effect> &Effects);
  void collect(const EvidenceReport &Report, TimePoint Now,
               std::vector<Effect> &Effects);
  void answer(const MemberId &Gateway, ReportNumber Number, TimePoint Now,
              std::vector<Effect> &Effects);
  void collectCrashes(const EvidenceReport &Report, TimePoint Now);
  void closeRound(TimePoint Now, std::vector<Effect> &Effects);
  void ejectWorst(TimePoint Now, std::vector<Effect> &Effects);
  void eject(const InstanceId &Id, TimePoint Now, EjectionDecisionKind Kind,
             std::vector<Effect> &Effects);
  void returnGradually(TimePoint Now, std::vector<Effect> &Effects);
  void startStage(const InstanceId &Id, Ejection &Each, TimePoint Now,
                  std::vector<Effect> &Effects);
  void probeSuspects(TimePoint Now, std::vector<Effect> &Effects);
  static TestVerdict verdictOf(const Ejection &Each);
  bool isListedFor(const InstanceId &Id, const Ejection &Each,
                   const MemberId &Gateway) const;
  void record(EjectionDecisionKind Kind, const InstanceId &Id, TimePoint Now,
              std::vector<Effect> &Effects) const;

  ServiceName Service_;
  std::optional<ServicePolicy> Policy_;
  /// Serving instances only.
  std::map<InstanceId, InstanceRecord> Instances_;
  std::optional<Lease> Lease_;
  EvidenceAggregator Pool_;
  CrashQuarantine Quarantine_;
  /// Gateways that reported lately.
  std::map<MemberId, LatestReport> Gateways_;
  EjectionListRevision Revision_;
  std::map<InstanceId, Ejection> Ejections_;
  /// When the last list that named an instance has expired everywhere.
  std::map<InstanceId, TimePoint> InForceUntil_;
  std::map<InstanceId, Flapping> Flapping_;
  std::set<InstanceId> KeptForFloor_;
  TimePoint RoundEndsAt_;
  TimePoint ProbeAt_;
};

static_assert(DecisionRole<EjectionAuthority>);

} // namespace jaybridge
