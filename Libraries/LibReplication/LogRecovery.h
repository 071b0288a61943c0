#pragma once

#include <LibReplication/ReplicationMessages.h>

namespace jaybridge {

/// Rebuilds the recovered log by replaying the writes stored in a data folder.
class LogRecovery {
public:
  explicit LogRecovery(FolderGeneration Generation) {
    Recovered_.Generation_ = Generation;
  }

  /// Replays one write. Writes must be added in the order in which they were
  /// made.
  void add(PersistLog Write);
  RecoveredLog take() { return std::move(Recovered_); }

private:
  RecoveredLog Recovered_;
};

} // namespace jaybridge
