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

/// Outcome of one attempt at an instance.
struct AttemptObserved {
  ServiceName Service_;
  InstanceId Instance_;
  AttemptResult Result_ = AttemptResult::Answered;
  StatusCode Status_;
  Duration Elapsed_{};
  Fingerprint Fingerprint_;
};

struct EjectionListReceived {
  EjectionList List_;
};

// Effects of EvidenceReporter.

/// Sends the report to the daemon that presumably is the authority for the
/// service; it is dropped when no such daemon is known.
struct SendEvidenceReport {
  EvidenceReport Report_;
};

/// Complete list of the ejected instances of a service that this gateway must
/// apply.
struct EjectionListChanged {
  ServiceName Service_;
  std::vector<InstanceId> Ejected_;
  TimePoint ValidUntil_;
};

/// Complete list of the quarantined fingerprints of all services.
struct QuarantineListChanged {
  std::vector<Fingerprint> Fingerprints_;
};

struct EvidenceReporterSettings {
  MemberId Self_;
  /// Must exceed all report numbers of earlier runs, for example the wall time
  /// at startup in microseconds. Otherwise a response to a report of an earlier
  /// run could match a report of this one.
  ReportNumber InitialReportNumber_;
  Duration ReportInterval_ = std::chrono::milliseconds(500);
  /// Minimum interval between the previous report and one that contains
  /// failures.
  Duration FailureReportInterval_ = std::chrono::milliseconds(100);
  /// Reports continue for this long after the last attempt, to keep the list
  /// valid.
  Duration IdleTimeout_ = std::chrono::seconds(10);
};

/// Collects the outcomes of attempts on a gateway, reports them to the
/// authorities, and applies the lists of the authorities. A list is valid for
/// EjectionListTimeToLive from the time at which its report was sent.
class EvidenceReporter {
public:
  static constexpr std::size_t MaxServices = 512;
  static constexpr std::size_t MaxInstancesPerService = 128;
  static constexpr std::size_t MaxCrashesPerReport = 16;
  static constexpr Duration QuarantineTimeToLive = std::chrono::seconds(30);

  using Event = std::variant<AttemptObserved, EjectionListReceived>;
  using Effect = std::variant<SendEvidenceReport, EjectionListChanged,
                              QuarantineListChanged>;

  explicit EvidenceReporter(EvidenceReporterSettings Settings)
      : Settings_(std::move(Settings)),
        LastNumber_(Settings_.InitialReportNumber_) {}

  void handle(const Event &Received, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const { return NextDeadline_; }

  /// Number of observations dropped because of the limits above.
  EventCount dropped() const { return Dropped_; }

private:
  struct InstanceCounts {
    EventCount Good_;
    EventCount Failed_;
    std::map<std::pair<LatencyBucket, bool>, EventCount> Latencies_;
  };
  struct SentReport {
    ReportNumber Number_;
    TimePoint SentAt_;
  };
  struct ServiceState {
    std::map<InstanceId, InstanceCounts> Instances_;
    std::vector<CrashEvidence> Crashes_;
    std::set<Fingerprint> Suspected_;
    std::set<Fingerprint> Survived_;
    /// Reports for which a response would still be valid.
    std::deque<SentReport> SentReports_;
    TimePoint LastSentAt_;
    TimePoint ReportAt_;
    TimePoint IdleAt_;
    /// Fence and revision of the applied list.
    std::pair<FenceNumber, EjectionListRevision> AppliedRevision_;
    std::vector<InstanceId> Ejected_;
    std::optional<TimePoint> ValidUntil_;
  };

  void schedule(TimePoint At) {
    NextDeadline_ = std::min(NextDeadline_.value_or(At), At);
  }
  void recomputeNextDeadline();
  void handleAttempt(const AttemptObserved &Attempt, TimePoint Now);
  void countAttempt(ServiceState &State, const AttemptObserved &Attempt);
  void applyList(const EjectionList &Received, TimePoint Now,
                 std::vector<Effect> &Effects);
  void applyQuarantine(const EjectionList &Received, TimePoint ValidUntil,
                       std::vector<Effect> &Effects);
  void emitQuarantineList(std::vector<Effect> &Effects) const;
  void sendReport(const ServiceName &Name, ServiceState &State, TimePoint Now,
                  std::vector<Effect> &Effects);

  EvidenceReporterSettings Settings_;
  ReportNumber LastNumber_;
  std::map<ServiceName, ServiceState> Services_;
  std::map<Fingerprint, TimePoint> Quarantined_;
  /// At or before the earliest timer. Most events return here without a scan of
  /// all services.
  std::optional<TimePoint> NextDeadline_;
  EventCount Dropped_;
};

static_assert(DecisionRole<EvidenceReporter>);

} // namespace jaybridge
