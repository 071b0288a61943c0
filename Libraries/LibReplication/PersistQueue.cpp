#include <LibReplication/PersistQueue.h>

namespace jaybridge {

PersistSequence PersistQueue::beginWrite(LogIndex LastIndex) {
  LastSequence_ = LastSequence_.next();
  UnsyncedWrites_.push_back(Write{LastSequence_, LastIndex});
  return LastSequence_;
}

void PersistQueue::truncateFrom(LogIndex Index) {
  LogIndex LastKept(Index.value() - 1);
  SyncedIndex_ = std::min(SyncedIndex_, LastKept);
  for (Write &Pending : UnsyncedWrites_)
    Pending.LastIndex_ = std::min(Pending.LastIndex_, LastKept);
}

void PersistQueue::deferMessage(SendReplication Message) {
  if (DeferredMessages_.size() < MaxDeferredMessages)
    DeferredMessages_.push_back(
        DeferredMessage{LastSequence_, std::move(Message)});
  else
    DroppedMessages_ += EventCount(1);
}

void PersistQueue::finishWrites(PersistSequence Sequence,
                                std::vector<ReplicationEffect> &Effects) {
  while (!UnsyncedWrites_.empty() &&
         UnsyncedWrites_.front().Sequence_ <= Sequence) {
    SyncedIndex_ = std::max(SyncedIndex_, UnsyncedWrites_.front().LastIndex_);
    UnsyncedWrites_.pop_front();
  }
  while (!DeferredMessages_.empty() &&
         DeferredMessages_.front().AfterWrite_ <= Sequence) {
    Effects.push_back(std::move(DeferredMessages_.front().Message_));
    DeferredMessages_.pop_front();
  }
}

} // namespace jaybridge
