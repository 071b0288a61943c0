#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>
#include <LibReplication/LogEntry.h>

#include <deque>
#include <map>

namespace jaybridge {

/// In-memory log of one member: the latest snapshot, the entries after it and
/// the voter sets that they contain. Indexes start at 1 and have no gaps.
class EntryLog {
public:
  /// Number of entries that compaction keeps although the snapshot covers them,
  /// so that followers that lag slightly need no snapshot transfer.
  static constexpr std::size_t RetainedEntryCount = 128;

  /// Errors: `Damaged` when the entries have gaps, decreasing terms or do not
  /// continue the snapshot.
  static Result<EntryLog> create(std::optional<LogSnapshot> Snapshot,
                                 std::vector<LogEntry> Entries);

  /// Index of the first entry in memory; `lastIndex()` + 1 when there is none.
  LogIndex firstIndex() const;
  LogIndex lastIndex() const;
  Term lastTerm() const;
  bool isEmpty() const { return lastIndex() == LogIndex(); }
  /// Term of the entry at Index; nullopt beyond the end of the log and for
  /// compacted entries.
  std::optional<Term> termAt(LogIndex Index) const;
  const LogEntry &at(LogIndex Index) const;
  std::size_t size() const { return Entries_.size(); }
  const std::optional<LogSnapshot> &snapshot() const { return Snapshot_; }

  /// Copies consecutive entries starting at From: at most MaxCount, and of at
  /// most MaxSize in total unless the first one alone is larger.
  std::vector<LogEntry> slice(LogIndex From, std::size_t MaxCount,
                              ByteCount MaxSize) const;
  std::vector<LogEntry> allEntries() const;
  /// The last index before Index whose entry has another term than the entry at
  /// Index. A follower returns it after a mismatch at Index, and the leader
  /// continues there.
  LogIndex lastIndexBeforeTermOf(LogIndex Index) const;

  void append(LogEntry Entry);
  void truncateFrom(LogIndex Index);
  /// Replaces the entries that a received snapshot covers. Later entries are
  /// kept only if the log contains the last entry of the snapshot.
  void install(LogSnapshot Snapshot);
  /// Replaces the entries up to Index by a snapshot of State, except for the
  /// last `RetainedEntryCount` of them.
  void compact(LogIndex Index, std::string State);

  /// The voter set in force: the one in the last entry that contains a voter
  /// set, committed or not. Empty when there is none.
  const VoterSet &members() const;
  /// Index of the entry that contains `members()`.
  LogIndex membersIndex() const;

private:
  const VoterSet &membersAt(LogIndex Index) const;
  void dropMembersBefore(LogIndex Index);

  std::optional<LogSnapshot> Snapshot_;
  std::deque<LogEntry> Entries_;
  std::map<LogIndex, VoterSet> Members_{{LogIndex(), VoterSet{}}};
};

} // namespace jaybridge
