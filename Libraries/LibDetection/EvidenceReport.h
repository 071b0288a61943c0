#pragma once

#include <LibCore/Time.h>
#include <LibDetection/DetectionUnits.h>
#include <LibDetection/LatencyBucket.h>

#include <vector>

namespace jaybridge {

struct LatencyCount {
  LatencyBucket Bucket_;
  EventCount Count_;
  /// The attempts were cancelled, so the latency is a lower bound.
  bool IsCancelled_ = false;

  friend bool operator==(const LatencyCount &, const LatencyCount &) = default;
};

/// Observations of one gateway about one instance since its previous report.
struct InstanceEvidence {
  InstanceId Instance_;
  EventCount Good_;
  EventCount Failed_;
  std::vector<LatencyCount> Latencies_;

  friend bool operator==(const InstanceEvidence &,
                         const InstanceEvidence &) = default;
};

/// A request whose connection was lost while the instance ran it.
struct CrashEvidence {
  InstanceId Instance_;
  Fingerprint Fingerprint_;

  friend bool operator==(const CrashEvidence &,
                         const CrashEvidence &) = default;
};

/// Observations about the instances of one service, sent by a gateway to the
/// authority for the service.
struct EvidenceReport {
  MemberId Gateway_;
  ServiceName Service_;
  ReportNumber Number_;
  std::vector<InstanceEvidence> Instances_;
  std::vector<CrashEvidence> Crashes_;
  /// Suspected fingerprints of requests that an instance has answered.
  std::vector<Fingerprint> Survived_;

  friend bool operator==(const EvidenceReport &,
                         const EvidenceReport &) = default;
};

/// Sequence number of the ejection lists of one authority.
using EjectionListRevision = Ordinal<struct EjectionListRevisionTag>;

/// Complete list of ejected instances and quarantined fingerprints, sent by the
/// authority to a gateway. It is the response to a report. When the list
/// changes between reports, it is sent at once with the number of the latest
/// report.
struct EjectionList {
  MemberId Gateway_;
  ServiceName Service_;
  ReportNumber Number_;
  FenceNumber Fence_;
  EjectionListRevision Revision_;
  std::vector<InstanceId> Ejected_;
  std::vector<Fingerprint> Quarantined_;
  /// Fingerprints with a crash that may be a coincidence.
  std::vector<Fingerprint> Suspected_;

  friend bool operator==(const EjectionList &, const EjectionList &) = default;
};

/// Gateways apply a list for this long after they sent the report with its
/// number.
constexpr Duration EjectionListTimeToLive = std::chrono::seconds(2);
/// Margin for clocks that run at different speeds and timers that fire late.
constexpr Duration EjectionListClockMargin = std::chrono::milliseconds(200);
/// Time after which no gateway applies a list any more.
constexpr Duration MaxEjectionListLifetime =
    EjectionListTimeToLive + EjectionListClockMargin;

} // namespace jaybridge
