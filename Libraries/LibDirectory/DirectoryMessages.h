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

struct RecordMark {
  RecordKey Key_;
  RecordDigest Digest_;
};

/// Records for the receiver, and keys whose records the sender lacks.
struct RecordExchange {
  std::vector<InstanceRecord> Records_;
  std::vector<RecordKey> Wanted_;
  /// News are passed on; repairs are not, as most peers have them.
  bool IsNews_ = false;
};

/// Starts a comparison: the whole directory and what changed lately.
struct DirectoryDigest {
  DigestRound Round_;
  RecordDigest Root_;
  std::vector<RecordMark> Recent_;
};

struct DirectoryDigestAnswer {
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
struct RangeMarks {
  LeafIndex First_;
  LeafIndex Last_;
  std::vector<RecordMark> Marks_;
};

/// Asks for the records that follow a key, to fill an empty directory.
struct RecordsWanted {
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
struct LapseQuestion {
  RecordKey Key_;
};
struct LapseAnswer {
  RecordKey Key_;
  bool IsHeld_ = false;
};

/// An instance's statement about its load, for homes of its service only.
struct LoadHint {
  InstanceId Instance_;
  ServiceName Service_;
  SlotCount Busy_;
};

using DirectoryMessage =
    std::variant<RecordExchange, DirectoryDigest, DirectoryDigestAnswer,
                 GroupDigests, LeafDigests, RangeMarks, RecordsWanted,
                 RecordsPage, LeaseRenewals, LapseQuestion, LapseAnswer,
                 LoadHint>;

// Events from this daemon's listener.

/// An instance announced itself here.
struct InstanceAnnounced {
  InstanceRecord Record_;
};
/// An instance reported its load here.
struct LoadAnnounced {
  LoadHint Hint_;
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
  Incarnation InForce_;
  InstanceState State_ = InstanceState::Serving;
};
/// Whether a peer has lately compared its directory with this one.
struct ConfirmationChanged {
  bool IsConfirmed_ = false;
};
/// This daemon is a home of the service and got a load report.
struct LoadLearned {
  LoadHint Hint_;
};

} // namespace jaybridge
