#pragma once

#include <LibCore/Time.h>
#include <LibDetection/DetectionUnits.h>
#include <LibDetection/LatencyBucket.h>

#include <vector>

namespace jaybridge {

struct LatencyCount {
  LatencyBucket Bucket_;
  EventCount Count_;
  /// The attempts were cancelled: they would have taken at least this long.
  bool IsCancelled_ = false;

  friend bool operator==(const LatencyCount &, const LatencyCount &) = default;
};

/// What one gateway saw of one instance since its previous report.
struct InstanceEvidence {
  InstanceId Instance_;
  EventCount Good_;
  EventCount Failed_;
  std::vector<LatencyCount> Latencies_;

  friend bool operator==(const InstanceEvidence &,
                         const InstanceEvidence &) = default;
};

/// The connection was lost while the instance ran this request.
struct CrashEvidence {
  InstanceId Instance_;
  Fingerprint Fingerprint_;

  friend bool operator==(const CrashEvidence &,
                         const CrashEvidence &) = default;
};

/// Gateway to authority.
struct EvidenceReport {
  MemberId Gateway_;
  ServiceName Service_;
  ReportNumber Number_;
  std::vector<InstanceEvidence> Instances_;
  std::vector<CrashEvidence> Crashes_;
  /// Suspected fingerprints that an instance answered nevertheless.
  std::vector<Fingerprint> Survived_;

  friend bool operator==(const EvidenceReport &,
                         const EvidenceReport &) = default;
};

/// Orders the lists of one authority.
using EjectionListRevision = Ordinal<struct ListRevisionTag>;

/// Authority to gateway: the whole list. It answers a report, or follows at
/// once when the list has changed; then it names the latest report again.
struct EjectionList {
  MemberId Gateway_;
  ServiceName Service_;
  ReportNumber Number_;
  FenceNumber Fence_;
  EjectionListRevision Revision_;
  std::vector<InstanceId> Ejected_;
  std::vector<Fingerprint> Quarantined_;
  /// Fingerprints with a crash that may yet be a coincidence.
  std::vector<Fingerprint> Suspected_;

  friend bool operator==(const EjectionList &, const EjectionList &) = default;
};

/// Gateways use a list for this long after they sent the report it answers.
constexpr Duration EjectionTimeToLive = std::chrono::seconds(2);
/// Covers clocks that run at different speeds and timers that fire late.
constexpr Duration EjectionDriftMargin = std::chrono::milliseconds(200);
/// After this time no gateway uses a list any more.
constexpr Duration EjectionTerm = EjectionTimeToLive + EjectionDriftMargin;

} // namespace jaybridge
