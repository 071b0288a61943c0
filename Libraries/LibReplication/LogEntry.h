#pragma once

#include <LibCore/Time.h>
#include <LibReplication/VoterSet.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jaybridge {

/// No-op entry that a leader appends first in its term. Committing it also
/// commits all earlier entries.
struct LeaderStarted {
  friend bool operator==(const LeaderStarted &,
                         const LeaderStarted &) = default;
};

/// Command of the replicated state machine; opaque to the log.
struct LogCommand {
  std::string Payload_;
  friend bool operator==(const LogCommand &, const LogCommand &) = default;
};

struct LogEntry {
  LogIndex Index_;
  Term Term_;
  std::variant<LeaderStarted, LogCommand, VoterSet> Content_;

  friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

/// State of the replicated state machine after the entry at `LastIndex_`.
/// Replaces all entries up to that one.
struct LogSnapshot {
  LogIndex LastIndex_;
  Term LastTerm_;
  VoterSet Members_;
  std::string State_;

  friend bool operator==(const LogSnapshot &, const LogSnapshot &) = default;
};

/// The current term and the vote given in it (currentTerm and votedFor in
/// Raft).
struct TermVote {
  Term Term_;
  std::optional<Voter> VotedFor_;

  friend bool operator==(const TermVote &, const TermVote &) = default;
};

/// Content of a data folder. The indexes of the entries have no gaps; the first
/// entries may be covered by the snapshot.
struct RecoveredLog {
  FolderGeneration Generation_;
  TermVote Vote_;
  std::optional<LogSnapshot> Snapshot_;
  std::vector<LogEntry> Entries_;
};

} // namespace jaybridge
