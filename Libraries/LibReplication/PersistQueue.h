#pragma once

#include <LibReplication/ReplicationMessages.h>

#include <deque>

namespace jaybridge {

/// Tracks writes that are not synced yet and defers the messages that depend on
/// them, so that a member never acknowledges state that it could lose in a
/// crash.
class PersistQueue {
public:
  /// Further messages are dropped and counted, as if the network had lost them.
  static constexpr std::size_t MaxDeferredMessages = 1024;

  /// Registers a write after which the log ends at LastIndex, and returns its
  /// sequence number.
  PersistSequence beginWrite(LogIndex LastIndex);
  /// Entries from Index on were replaced and no longer count as synced.
  void truncateFrom(LogIndex Index);
  /// Holds the message back until all writes registered so far are synced.
  void deferMessage(SendReplication Message);
  /// All writes up to Sequence are synced: emits the messages that waited for
  /// them.
  void finishWrites(PersistSequence Sequence,
                    std::vector<ReplicationEffect> &Effects);

  bool isIdle() const { return UnsyncedWrites_.empty(); }
  /// The last index up to which the entries are synced.
  LogIndex syncedIndex() const { return SyncedIndex_; }
  void setSyncedIndex(LogIndex Index) { SyncedIndex_ = Index; }
  EventCount droppedMessages() const { return DroppedMessages_; }

private:
  struct Write {
    PersistSequence Sequence_;
    LogIndex LastIndex_;
  };
  struct DeferredMessage {
    PersistSequence AfterWrite_;
    SendReplication Message_;
  };

  std::deque<Write> UnsyncedWrites_;
  std::deque<DeferredMessage> DeferredMessages_;
  PersistSequence LastSequence_;
  LogIndex SyncedIndex_;
  EventCount DroppedMessages_;
};

} // namespace jaybridge
