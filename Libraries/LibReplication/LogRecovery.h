#pragma once

#include <LibReplication/ReplicationMessages.h>

namespace jaybridge {

/// Rebuilds the content of a data folder from the writes that it holds.
class LogRecovery {
public:
  explicit LogRecovery(FolderGeneration Generation) {
    Recovered_.Generation_ = Generation;
  }

  /// Writes must come in the order in which they were made.
  void add(PersistLog Write);
  RecoveredLog take() { return std::move(Recovered_); }

private:
  RecoveredLog Recovered_;
};

} // namespace jaybridge
