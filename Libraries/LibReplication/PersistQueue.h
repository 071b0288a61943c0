#pragma once

#include <LibReplication/ReplicationMessages.h>

#include <deque>

namespace jaybridge {

/// Writes that are not synced yet and the messages that must wait for them, so
/// that a member acknowledges nothing that it could forget.
class PersistQueue {
public:
  /// Messages beyond it are dropped and counted, as if the network lost them.
  static constexpr std::size_t GreatestDeferred = 1024;

  /// Numbers a write after which the log ends at LastIndex.
  PersistSequence begin(LogIndex LastIndex);
  /// Entries from Index on were replaced and do not count as synced.
  void truncateFrom(LogIndex Index);
  void defer(SendReplication Message);
  /// Emits the messages that waited for this write or an earlier one.
  void finish(PersistSequence Sequence,
              std::vector<ReplicationEffect> &Effects);

  bool isIdle() const { return Unsynced_.empty(); }
  LogIndex syncedIndex() const { return SyncedIndex_; }
  void setSyncedIndex(LogIndex Index) { SyncedIndex_ = Index; }
  EventCount dropped() const { return Dropped_; }

private:
  struct Write {
    PersistSequence Sequence_;
    LogIndex LastIndex_;
  };
  struct Deferred {
    PersistSequence After_;
    SendReplication Message_;
  };

  std::deque<Write> Unsynced_;
  std::deque<Deferred> Deferred_;
  PersistSequence Last_;
  LogIndex SyncedIndex_;
  EventCount Dropped_;
};

} // namespace jaybridge
