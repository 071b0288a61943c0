#pragma once

#include <LibCore/Identifiers.h>
#include <LibUpstream/InstanceRecord.h>

#include <deque>
#include <optional>
#include <vector>

namespace jaybridge {

/// The latest changes of the instances in a registry, so that a subscriber that
/// missed some gets these instead of the whole registry.
class InstanceHistory {
public:
  /// Changed records that are kept.
  static constexpr std::size_t MaxRecords = 4096;

  /// Adds the change between two revisions. A base that is not the latest
  /// revision starts a new history.
  void record(LogIndex Base, LogIndex Revision,
              const std::vector<InstanceRecord> &Changed);
  void clear();
  /// The instances that changed after a revision, each with its latest record
  /// and sorted by id; none when the history does not reach back that far.
  std::optional<std::vector<InstanceRecord>> since(LogIndex Revision) const;

private:
  struct Change {
    LogIndex Base_;
    LogIndex Revision_;
    std::vector<InstanceRecord> Changed_;
  };
  std::deque<Change> Changes_;
  std::size_t RecordCount_ = 0;
};

} // namespace jaybridge
