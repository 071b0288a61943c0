#pragma once

#include <LibCore/PeerMessage.h>
#include <LibCore/Units.h>
#include <LibMembership/MembershipMessages.h>

#include <string>
#include <variant>
#include <vector>

namespace jaybridge {

/// An encoded entry (one committed change) or an encoded snapshot (a whole
/// catalog). Opaque to this library.
using ConfigurationBytes = Identifier<struct ConfigurationBytesTag>;
/// Hash of a snapshot's bytes. Distinguishes encodings of the same version and
/// verifies a download.
using SnapshotHash = Ordinal<struct SnapshotHashTag>;

/// The last known configuration version of a member.
struct MemberVersion {
  MemberId Member_;
  ConfigurationVersion Version_;
};

/// The version of the sender, and versions of other members that it knows of.
struct VersionGossip {
  ConfigurationVersion CurrentVersion_;
  bool IsReplyRequested_ = false;
  std::vector<MemberVersion> KnownVersions_;
};

/// Requests the entries that follow a version.
struct EntriesRequest {
  ConfigurationVersion After_;
};
struct EntriesChunk {
  ConfigurationVersion After_;
  std::vector<ConfigurationBytes> Entries_;
};

/// Requests the bytes of a snapshot from an offset.
struct SnapshotChunkRequest {
  ConfigurationVersion Version_;
  SnapshotHash Hash_;
  ByteCount Offset_;
};
/// Bytes of a snapshot from an offset. Also the response to an EntriesRequest
/// for entries that the sender no longer keeps. `Size_` is that of the whole
/// snapshot.
struct SnapshotChunk {
  ConfigurationVersion Version_;
  SnapshotHash Hash_;
  ByteCount Offset_;
  ByteCount Size_;
  ConfigurationBytes Bytes_;
};

using DistributionMessage =
    std::variant<VersionGossip, EntriesRequest, EntriesChunk,
                 SnapshotChunkRequest, SnapshotChunk>;

// Events from this daemon.

/// The replicated log committed a change; only on control members.
struct EntryCommitted {
  ConfigurationVersion Version_;
  ConfigurationBytes Entry_;
};
/// The whole catalog at a version, in response to SnapshotNeeded or installed
/// by the replicated log.
struct SnapshotProvided {
  ConfigurationVersion Version_;
  ConfigurationBytes Snapshot_;
};

// Effects for this daemon.

/// The next change takes effect. Versions are contiguous.
struct EntryApplied {
  ConfigurationVersion Version_;
  ConfigurationBytes Entry_;
};
/// A whole catalog takes effect.
struct SnapshotApplied {
  ConfigurationVersion Version_;
  ConfigurationBytes Snapshot_;
};
/// The kept entries have reached half of a limit; the daemon provides a
/// snapshot.
struct SnapshotNeeded {};
/// No peer has reported a newer version, and enough failure domains have
/// responded. Emitted once.
struct ConfigurationUpToDate {
  ConfigurationVersion Version_;
};

} // namespace jaybridge
