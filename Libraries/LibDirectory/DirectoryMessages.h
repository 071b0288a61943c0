#pragma once

#include <LibCore/PeerMessage.h>
#include <LibMembership/MembershipMessages.h>
#include <LibUpstream/InstanceRecord.h>

#include <optional>
#include <variant>
#include <vector>

namespace jaybridge {

/// Hash of an instance's id. Two instances of 180,000 share one with a
/// probability near 1e-9; the second of them is refused.
using RecordKey = Ordinal<struct RecordKeyTag>;
/// Hash of a record, or the exclusive or of the hashes of several.
using RecordDigest = Ordinal<struct RecordDigestTag>;
/// One comparison of two directories, unique within the sender's run.
using DigestRound = Ordinal<struct DigestRoundTag>;
/// The directory is divided into groups of leaves by the key's first bits.
using LeafIndex = Ordinal<struct LeafIndexTag>;
using GroupIndex = Ordinal<struct GroupIndexTag>;

struct KeyDigest {
  RecordKey Key_;
  RecordDigest Digest_;
};

/// Records for the receiver, and keys whose records the sender lacks.
struct RecordExchange {
  std::vector<InstanceRecord> Records_;
  std::vector<RecordKey> RequestedKeys_;
  /// News are passed on; repairs are not, as most peers have them.
  bool IsRumor_ = false;
};

/// Starts a comparison: the whole directory and what changed lately.
struct DirectoryDigest {
  DigestRound Round_;
  RecordDigest Root_;
  std::vector<KeyDigest> RecentChanges_;
};

struct DirectoryDigestResponse {
  DigestRound Round_;
  RecordDigest Root_;
  RecordExchange Exchange_;
};

/// Narrows a difference down: all groups, then the leaves of one group, then
/// the marks of a range of leaves.
struct GroupDigests {
  std::vector<RecordDigest> Groups_;
};
struct LeafDigests {
  GroupIndex Group_;
  std::vector<RecordDigest> Leaves_;
};
struct RangeDigests {
  LeafIndex First_;
  LeafIndex Last_;
  std::vector<KeyDigest> Digests_;
};

/// Asks for the records that follow a key, to fill an empty directory.
struct RecordsRequest {
  std::optional<RecordKey> After_;
};
struct RecordsPage {
  std::vector<InstanceRecord> Records_;
  bool IsLast_ = true;
};

/// Announcements that renew leases, for a registrar of these instances.
struct LeaseRenewals {
  std::vector<RecordKey> Keys_;
};

/// A registrar whose lease ran out asks the other one before it lapses.
struct LeaseStatusRequest {
  RecordKey Key_;
};
struct LeaseStatusResponse {
  RecordKey Key_;
  bool IsHeld_ = false;
};

/// An instance's statement about its load, for homes of its service only.
struct LoadReport {
  InstanceId Instance_;
  ServiceName Service_;
  SlotCount Busy_;
};

using DirectoryMessage =
    std::variant<RecordExchange, DirectoryDigest, DirectoryDigestResponse,
                 GroupDigests, LeafDigests, RangeDigests, RecordsRequest,
                 RecordsPage, LeaseRenewals, LeaseStatusRequest,
                 LeaseStatusResponse, LoadReport>;

// Events from this daemon's listener.

/// An instance announced itself here.
struct InstanceAnnounced {
  InstanceRecord Record_;
};
/// An instance reported its load here.
struct InstanceLoadReported {
  LoadReport Report_;
};

// Effects for this daemon.

/// The record of an instance changed.
struct InstanceUpdated {
  InstanceRecord Record_;
};
/// Answer to one announcement. When it is not accepted, the instance has to
/// announce a version above the one in force.
struct AnnouncementAnswered {
  InstanceId Id_;
  bool IsAccepted_ = false;
  Incarnation CurrentVersion_;
  InstanceState State_ = InstanceState::Serving;
};
/// Whether a peer has lately compared its directory with this one.
struct ConfirmationChanged {
  bool IsConfirmed_ = false;
};
/// This daemon is a home of the service and got a load report.
struct LoadReportReceived {
  LoadReport Report_;
};

} // namespace jaybridge
