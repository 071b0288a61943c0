#pragma once

#include <LibCore/DecisionRole.h>
#include <LibDetection/EvidenceReport.h>
#include <LibUpstream/AttemptOutcome.h>

#include <deque>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace jaybridge {

// Events of EvidenceReporter.

/// What one attempt showed about an instance.
struct AttemptObserved {
  ServiceName Service_;
  InstanceId Instance_;
  AttemptResult Result_ = AttemptResult::Answered;
  StatusCode Status_;
  Duration Elapsed_{};
  Fingerprint Fingerprint_;
};

struct EjectionListReceived {
  EjectionList Answer_;
};

// Effects of EvidenceReporter.

/// For the daemon that is believed to be the authority for the service; lost
/// when there is none.
struct SendEvidenceReport {
  EvidenceReport Report_;
};

/// The whole list in force at this gateway.
struct EjectionListChanged {
  ServiceName Service_;
  std::vector<InstanceId> Ejected_;
  TimePoint ValidUntil_;
};

/// The whole list of quarantined fingerprints of all services.
struct QuarantineListChanged {
  std::vector<Fingerprint> Fingerprints_;
};

struct EvidenceReporterSettings {
  MemberId Self_;
  /// Above all numbers of earlier runs, for example the wall time at the start
  /// in microseconds: an answer to an earlier run must match no report.
  ReportNumber InitialReportNumber_;
  Duration ReportInterval_ = std::chrono::milliseconds(500);
  /// A report that holds failures leaves this long after the previous one.
  Duration UrgentInterval_ = std::chrono::milliseconds(100);
  /// Reports go on for this long after the last attempt, to keep the list.
  Duration IdleTime_ = std::chrono::seconds(10);
};

/// Collects on a gateway what attempts showed, reports it, and applies the
/// lists of the authority. A list is valid for EjectionTimeToLive from the
/// moment its report was sent.
class EvidenceReporter {
public:
  static constexpr std::size_t GreatestServiceCount = 512;
  static constexpr std::size_t GreatestInstanceCount = 128;
  static constexpr std::size_t GreatestCrashCount = 16;
  static constexpr Duration QuarantineTimeToLive = std::chrono::seconds(30);

  using Event = std::variant<AttemptObserved, EjectionListReceived>;
  using Effect = std::variant<SendEvidenceReport, EjectionListChanged,
                              QuarantineListChanged>;

  explicit EvidenceReporter(EvidenceReporterSettings Settings)
      : Settings_(std::move(Settings)), Last_(Settings_.InitialReportNumber_) {}

  void handle(const Event &Received, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const { return Next_; }

  /// Observations beyond the bounds above.
  EventCount dropped() const { return Dropped_; }

private:
  struct Collected {
    EventCount Good_;
    EventCount Failed_;
    std::map<std::pair<LatencyBucket, bool>, EventCount> Latencies_;
  };
  struct Sent {
    ReportNumber Number_;
    TimePoint At_;
  };
  struct Service {
    std::map<InstanceId, Collected> Instances_;
    std::vector<CrashEvidence> Crashes_;
    std::set<Fingerprint> Suspected_;
    std::set<Fingerprint> Survived_;
    /// Reports whose answer would still be valid.
    std::deque<Sent> Sent_;
    TimePoint LastSentAt_;
    TimePoint ReportAt_;
    TimePoint IdleAt_;
    /// Fence and revision of the list in force.
    std::pair<FenceNumber, EjectionListRevision> Applied_;
    std::vector<InstanceId> Ejected_;
    std::optional<TimePoint> ValidUntil_;
  };

  void schedule(TimePoint At) { Next_ = std::min(Next_.value_or(At), At); }
  void scheduleAll();
  void observe(const AttemptObserved &Seen, TimePoint Now);
  void collect(Service &For, const AttemptObserved &Seen);
  void apply(const EjectionList &Received, TimePoint Now,
             std::vector<Effect> &Effects);
  void applyQuarantine(const EjectionList &Received, TimePoint ValidUntil,
                       std::vector<Effect> &Effects);
  void announceQuarantine(std::vector<Effect> &Effects) const;
  void report(const ServiceName &Name, Service &For, TimePoint Now,
              std::vector<Effect> &Effects);

  EvidenceReporterSettings Settings_;
  ReportNumber Last_;
  std::map<ServiceName, Service> Services_;
  std::map<Fingerprint, TimePoint> Quarantined_;
  /// Not after the earliest timer, so that most events look at one service.
  std::optional<TimePoint> Next_;
  EventCount Dropped_;
};

static_assert(DecisionRole<EvidenceReporter>);

} // namespace jaybridge
