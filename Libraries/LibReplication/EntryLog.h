#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>
#include <LibReplication/LogEntry.h>

#include <deque>
#include <map>

namespace jaybridge {

/// The entries of one member in memory, the snapshot before them and the voters
/// that they name. Indexes start at 1 and have no gaps.
class EntryLog {
public:
  /// Entries before the end of the snapshot that are kept for members that are
  /// only a little behind.
  static constexpr std::size_t RetainedEntries = 128;

  static Result<EntryLog> create(std::optional<LogSnapshot> Snapshot,
                                 std::vector<LogEntry> Entries);

  /// Index of the first entry held; one above the last index when none is.
  LogIndex firstIndex() const;
  LogIndex lastIndex() const;
  Term lastTerm() const;
  bool isEmpty() const { return lastIndex() == LogIndex(); }
  /// Nothing when the index is beyond the end or before what is held.
  std::optional<Term> termAt(LogIndex Index) const;
  const LogEntry &at(LogIndex Index) const;
  std::size_t size() const { return Entries_.size(); }
  const std::optional<LogSnapshot> &snapshot() const { return Snapshot_; }

  /// Entries from an index on, at most so many and about so many bytes.
  std::vector<LogEntry> slice(LogIndex From, std::size_t GreatestCount,
                              ByteCount GreatestSize) const;
  std::vector<LogEntry> all() const;
  /// The last index with another term than the entry at Index has, at most
  /// Index - 1: where a leader should try next.
  LogIndex lastIndexBeforeTermOf(LogIndex Index) const;

  void append(LogEntry Entry);
  void truncateFrom(LogIndex Index);
  /// Replaces what the snapshot covers; drops all entries when they do not
  /// continue it.
  void install(LogSnapshot Snapshot);
  /// Puts State in the place of all entries up to Index but the retained ones.
  void compact(LogIndex Index, std::string State);

  /// The voters in force: those of the last entry that names any, committed or
  /// not. Empty when there is none.
  const VoterSet &members() const;
  LogIndex membersIndex() const;

private:
  const VoterSet &membersAt(LogIndex Index) const;
  void dropMembersBefore(LogIndex Index);

  std::optional<LogSnapshot> Snapshot_;
  std::deque<LogEntry> Entries_;
  std::map<LogIndex, VoterSet> Members_{{LogIndex(), VoterSet{}}};
};

} // namespace jaybridge
