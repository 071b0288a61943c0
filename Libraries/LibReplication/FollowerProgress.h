#pragma once

#include <LibReplication/ReplicationMessages.h>

#include <optional>

namespace jaybridge {

/// What a leader knows about one receiver of its log.
struct FollowerProgress {
  LogIndex Next_;
  LogIndex Match_;
  /// Round of the answer that last raised `Match_`.
  ReplicationRound MatchRound_;
  /// Since this round each request continued an entry up to `Match_`; none when
  /// the last one continued a later entry.
  std::optional<ReplicationRound> WithinMatchSince_;
  /// Latest round that was answered.
  ReplicationRound AnsweredRound_;
  TimePoint LastHeard_;
  bool IsInFlight_ = false;
  /// When the log was last sent, and in which round.
  TimePoint SentAt_;
  ReplicationRound SentRound_;
  /// The snapshot under transfer and how much of it has arrived.
  LogIndex SnapshotIndex_;
  SnapshotOffset SnapshotSent_;
};

struct PendingRead {
  ReadId Id_;
  LogIndex Index_;
  ReplicationRound Round_;
  TimePoint Deadline_;
};

} // namespace jaybridge
