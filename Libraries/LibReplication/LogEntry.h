#pragma once

#include <LibCore/Time.h>
#include <LibReplication/VoterSet.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jaybridge {

/// First entry of a leader's term; committing it commits all before it.
struct LeaderStarted {
  friend bool operator==(const LeaderStarted &,
                         const LeaderStarted &) = default;
};

/// Opaque to the log.
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

/// Everything up to one entry, in place of the entries.
struct LogSnapshot {
  LogIndex LastIndex_;
  Term LastTerm_;
  VoterSet Members_;
  std::string State_;

  friend bool operator==(const LogSnapshot &, const LogSnapshot &) = default;
};

struct TermVote {
  Term Term_;
  std::optional<Voter> VotedFor_;

  friend bool operator==(const TermVote &, const TermVote &) = default;
};

/// What a data folder holds. Entries follow each other without a gap; they may
/// begin before the end of the snapshot.
struct RecoveredLog {
  FolderGeneration Generation_;
  TermVote Vote_;
  std::optional<LogSnapshot> Snapshot_;
  std::vector<LogEntry> Entries_;
};

} // namespace jaybridge
