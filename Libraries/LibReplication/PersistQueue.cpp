#include <LibReplication/PersistQueue.h>

namespace jaybridge {

PersistSequence PersistQueue::begin(LogIndex LastIndex) {
  Last_ = Last_.next();
  Unsynced_.push_back(Write{Last_, LastIndex});
  return Last_;
}

void PersistQueue::truncateFrom(LogIndex Index) {
  LogIndex Greatest(Index.value() - 1);
  SyncedIndex_ = std::min(SyncedIndex_, Greatest);
  for (Write &Each : Unsynced_)
    Each.LastIndex_ = std::min(Each.LastIndex_, Greatest);
}

void PersistQueue::defer(SendReplication Message) {
  if (Deferred_.size() < GreatestDeferred)
    Deferred_.push_back(Deferred{Last_, std::move(Message)});
  else
    Dropped_ += EventCount(1);
}

void PersistQueue::finish(PersistSequence Sequence,
                          std::vector<ReplicationEffect> &Effects) {
  while (!Unsynced_.empty() && Unsynced_.front().Sequence_ <= Sequence) {
    SyncedIndex_ = std::max(SyncedIndex_, Unsynced_.front().LastIndex_);
    Unsynced_.pop_front();
  }
  while (!Deferred_.empty() && Deferred_.front().After_ <= Sequence) {
    Effects.push_back(std::move(Deferred_.front().Message_));
    Deferred_.pop_front();
  }
}

} // namespace jaybridge
