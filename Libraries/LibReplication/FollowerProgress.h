#pragma once

#include <LibReplication/ReplicationMessages.h>

#include <optional>

namespace jaybridge {

/// Replication progress of one receiver of the leader's log.
struct FollowerProgress {
  /// Index of the next entry to send (nextIndex in Raft).
  LogIndex NextIndex_;
  /// Last index up to which the receiver's synced log is known to equal the
  /// leader's (matchIndex in Raft).
  LogIndex MatchIndex_;
  /// Round of the answer that last increased `MatchIndex_`.
  ReplicationRound MatchRound_;
  /// First round since which every append request had a previous index of at
  /// most `MatchIndex_`; nullopt when the latest append request had a greater
  /// one.
  std::optional<ReplicationRound> PreviousMatchedSince_;
  /// Latest round that the receiver answered; confirms leadership for reads.
  ReplicationRound AnsweredRound_;
  /// When the leader last received an answer.
  TimePoint LastContact_;
  /// Whether entries or a snapshot piece were sent and not answered yet.
  bool IsInFlight_ = false;
  /// Time and round of the latest append request sent by sendLog().
  TimePoint SentAt_;
  ReplicationRound SentRound_;
  /// Last index of the snapshot under transfer and the offset of its next
  /// piece.
  LogIndex SnapshotIndex_;
  SnapshotOffset SnapshotNextOffset_;
};

/// A read whose index is not confirmed by a majority yet.
struct PendingRead {
  ReadId Id_;
  /// The commit index must reach this before the read is answered.
  LogIndex Index_;
  /// Answers to this or a later round confirm that this member still leads.
  ReplicationRound Round_;
  TimePoint Deadline_;
};

} // namespace jaybridge
