#pragma once

#include <LibCore/PeerMessage.h>
#include <LibMembership/MembershipMessages.h>
#include <LibUpstream/InstanceRecord.h>

#include <optional>
#include <variant>
#include <vector>

namespace jaybridge {

/// Hash of an instance id. With 180,000 instances, the probability that any two
/// collide is about 1e-9; an instance whose key is taken is refused.
using RecordKey = Ordinal<struct RecordKeyTag>;
/// Hash of a record, or the XOR of the hashes of several records.
using RecordDigest = Ordinal<struct RecordDigestTag>;
/// Number of an anti-entropy round, unique within one run of the sender.
using DigestRound = Ordinal<struct DigestRoundTag>;
/// Position in the hash tree of the directory: the leading bits of a key select
/// its leaf, and the leaf selects the group.
using LeafIndex = Ordinal<struct LeafIndexTag>;
using GroupIndex = Ordinal<struct GroupIndexTag>;

/// Key and digest of one record.
struct KeyDigest {
  RecordKey Key_;
  RecordDigest Digest_;
};

/// Records for the receiver, and keys of the records that the sender requests.
struct RecordExchange {
  std::vector<InstanceRecord> Records_;
  std::vector<RecordKey> RequestedKeys_;
  /// Rumors are forwarded to further members. Repairs are not, since most peers
  /// already have the record.
  bool IsRumor_ = false;
};

/// Starts an anti-entropy round with the digests of the whole directory and of
/// the records that changed recently.
struct DirectoryDigest {
  DigestRound Round_;
  RecordDigest Root_;
  std::vector<KeyDigest> RecentChanges_;
};

/// Response with the digest of the receiver and the differences among the
/// recently changed records.
struct DirectoryDigestResponse {
  DigestRound Round_;
  RecordDigest Root_;
  RecordExchange Exchange_;
};

/// Descent of the hash tree to locate a difference: the digests of all groups,
/// then of the leaves of one group, then of the records in a range of leaves.
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

/// Requests the records that follow a key, to load an empty directory.
struct RecordsRequest {
  std::optional<RecordKey> After_;
};
struct RecordsPage {
  std::vector<InstanceRecord> Records_;
  bool IsLast_ = true;
};

/// Renews the leases of instances that announced themselves; sent to their
/// registrars.
struct LeaseRenewals {
  std::vector<RecordKey> Keys_;
};

/// Asks the other registrar of an instance whether it still holds a lease,
/// before the sender marks the instance as lapsed.
struct LeaseStatusRequest {
  RecordKey Key_;
};
struct LeaseStatusResponse {
  RecordKey Key_;
  bool IsHeld_ = false;
};

/// Number of busy slots that an instance reported; sent only to the homes of
/// its service.
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

/// An instance announced itself to this daemon.
struct InstanceAnnounced {
  InstanceRecord Record_;
};
/// An instance reported its load to this daemon.
struct InstanceLoadReported {
  LoadReport Report_;
};

// Effects for this daemon.

/// The record of an instance changed.
struct InstanceUpdated {
  InstanceRecord Record_;
};
/// Result of one announcement. An instance that is not accepted has to announce
/// an incarnation above the current one.
struct AnnouncementAnswered {
  InstanceId Id_;
  bool IsAccepted_ = false;
  Incarnation CurrentIncarnation_;
  InstanceState State_ = InstanceState::Serving;
};
/// Whether a peer has recently compared its directory with this one.
struct ConfirmationChanged {
  bool IsConfirmed_ = false;
};
/// This daemon, a home of the service, received a load report.
struct LoadReportReceived {
  LoadReport Report_;
};

} // namespace jaybridge
