#include <LibReplication/LogRecovery.h>

namespace jaybridge {

void LogRecovery::add(PersistLog Write) {
  if (Write.Vote_)
    Recovered_.Vote_ = *Write.Vote_;
  std::vector<LogEntry> &Entries = Recovered_.Entries_;
  if (Write.Snapshot_) {
    Recovered_.Snapshot_ = std::move(Write.Snapshot_);
    Entries.clear();
  }
  for (LogEntry &Entry : Write.Entries_) {
    while (!Entries.empty() && Entries.back().Index_ >= Entry.Index_)
      Entries.pop_back();
    Entries.push_back(std::move(Entry));
  }
}

} // namespace jaybridge
