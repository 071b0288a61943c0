#pragma once

#include <LibProfile/ConfigurationAuditEntry.h>

#include <deque>
#include <map>
#include <vector>

namespace jaybridge {

/// The latest changes and their answers, in bounded memory. Refused changes are
/// counted apart, so that refusals cannot push out accepted changes.
class ChangeHistory {
public:
  /// At 18,000 changes a day, the changes of the last five hours. An entry
  /// takes about 1 KB at most.
  static constexpr std::size_t MaxAcceptedEntries = 4096;
  static constexpr std::size_t MaxRefusedEntries = 1024;

  /// Entries of accepted changes must come in the order of their versions.
  void add(ConfigurationAuditEntry Entry);

  /// Nothing when the change was never seen or is no longer remembered. The
  /// pointer is valid until the next call of add().
  const ConfigurationAuditEntry *find(const ChangeRequestId &Id) const;
  /// The accepted change that was based on this version.
  const ConfigurationAuditEntry *
  findAcceptedChange(ConfigurationVersion BasedOn) const;

  /// Remembered entries, oldest first.
  std::vector<ConfigurationAuditEntry> accepted() const;
  std::vector<ConfigurationAuditEntry> refused() const;

private:
  using Order = std::deque<ChangeRequestId>;

  void trim(Order &Ids, std::size_t Greatest);
  std::vector<ConfigurationAuditEntry> entriesOf(const Order &Ids) const;

  std::map<ChangeRequestId, ConfigurationAuditEntry> Entries_;
  Order Accepted_;
  Order Refused_;
};

} // namespace jaybridge
