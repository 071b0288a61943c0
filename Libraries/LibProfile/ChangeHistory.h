#pragma once

#include <LibProfile/ConfigurationAuditEntry.h>

#include <deque>
#include <map>
#include <vector>

namespace jaybridge {

/// The most recent changes and their outcomes, in bounded memory. Refused
/// changes have a limit of their own, so that they cannot evict accepted ones.
class ChangeHistory {
public:
  /// Covers the last five hours at 18,000 changes per day. An entry takes at
  /// most about 1 KB.
  static constexpr std::size_t MaxAcceptedEntries = 4096;
  static constexpr std::size_t MaxRefusedEntries = 1024;

  /// Accepted entries must be added in the order of their versions. The request
  /// id must not be in the history.
  void add(ConfigurationAuditEntry Entry);

  /// Null when the change is unknown or has been evicted. The pointer is valid
  /// until the next call of add().
  const ConfigurationAuditEntry *find(const ChangeRequestId &Id) const;
  /// The accepted change that was based on this version. Null when there is
  /// none or it has been evicted.
  const ConfigurationAuditEntry *
  findAcceptedChange(ConfigurationVersion BasedOn) const;

  /// Retained entries, oldest first.
  std::vector<ConfigurationAuditEntry> accepted() const;
  std::vector<ConfigurationAuditEntry> refused() const;

private:
  using RequestIds = std::deque<ChangeRequestId>;

  void evictOldest(RequestIds &Ids, std::size_t MaxCount);
  std::vector<ConfigurationAuditEntry> entriesOf(const RequestIds &Ids) const;

  std::map<ChangeRequestId, ConfigurationAuditEntry> Entries_;
  RequestIds Accepted_;
  RequestIds Refused_;
};

} // namespace jaybridge
