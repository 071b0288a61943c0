#pragma once

#include <LibCore/PeerMessage.h>
#include <LibCore/Units.h>
#include <LibMembership/MembershipMessages.h>

#include <string>
#include <variant>
#include <vector>

namespace jaybridge {

/// One committed change or a whole catalog, encoded elsewhere.
using ConfigurationBytes = Identifier<struct ConfigurationBytesTag>;
/// Tells snapshots of one version apart.
using SnapshotHash = Ordinal<struct SnapshotHashTag>;

/// Which version is in force at a member, as far as is known.
struct MemberVersion {
  MemberId Member_;
  ConfigurationVersion Version_;
};

/// States the version in force here, and what was lately heard of others.
struct VersionGossip {
  ConfigurationVersion CurrentVersion_;
  bool IsReplyRequested_ = false;
  std::vector<MemberVersion> KnownVersions_;
};

/// Asks for the changes that follow a version.
struct EntriesRequest {
  ConfigurationVersion After_;
};
struct EntriesChunk {
  ConfigurationVersion After_;
  std::vector<ConfigurationBytes> Entries_;
};

/// Asks for more of a snapshot.
struct SnapshotChunkRequest {
  ConfigurationVersion Version_;
  SnapshotHash Hash_;
  ByteCount Offset_;
};
/// Sent instead of entries that are no longer held.
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
/// The whole catalog at a version, in answer to SnapshotNeeded or installed
/// by the replicated log.
struct SnapshotProvided {
  ConfigurationVersion Version_;
  ConfigurationBytes Snapshot_;
};

// Effects for this daemon.

/// The next change takes effect; versions are without gaps.
struct EntryApplied {
  ConfigurationVersion Version_;
  ConfigurationBytes Entry_;
};
/// A whole catalog takes effect.
struct SnapshotApplied {
  ConfigurationVersion Version_;
  ConfigurationBytes Snapshot_;
};
/// The held changes have grown; the daemon shall give a snapshot.
struct SnapshotNeeded {};
/// Peers in several failure domains have no newer version. Given once.
struct ConfigurationUpToDate {
  ConfigurationVersion Version_;
};

} // namespace jaybridge
