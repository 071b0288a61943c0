#include <LibProfile/ChangeHistory.h>

namespace jaybridge {

void ChangeHistory::add(ConfigurationAuditEntry Entry) {
  RequestIds &Ids = Entry.isAccepted() ? Accepted_ : Refused_;
  std::size_t MaxCount =
      Entry.isAccepted() ? MaxAcceptedEntries : MaxRefusedEntries;
  ChangeRequestId Id = Entry.RequestId_;
  bool Inserted = Entries_.emplace(Id, std::move(Entry)).second;
  JAYBRIDGE_VERIFY(Inserted);
  Ids.push_back(std::move(Id));
  evictOldest(Ids, MaxCount);
}

const ConfigurationAuditEntry *
ChangeHistory::find(const ChangeRequestId &Id) const {
  auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

const ConfigurationAuditEntry *
ChangeHistory::findAcceptedChange(ConfigurationVersion BasedOn) const {
  if (Accepted_.empty())
    return nullptr;
  // Each accepted change raises the version by one.
  ConfigurationVersion FirstBase = Entries_.at(Accepted_.front()).BasedOn_;
  if (BasedOn < FirstBase ||
      BasedOn.value() - FirstBase.value() >= Accepted_.size())
    return nullptr;
  return &Entries_.at(Accepted_[BasedOn.value() - FirstBase.value()]);
}

std::vector<ConfigurationAuditEntry> ChangeHistory::accepted() const {
  return entriesOf(Accepted_);
}

std::vector<ConfigurationAuditEntry> ChangeHistory::refused() const {
  return entriesOf(Refused_);
}

void ChangeHistory::evictOldest(RequestIds &Ids, std::size_t MaxCount) {
  while (Ids.size() > MaxCount) {
    Entries_.erase(Ids.front());
    Ids.pop_front();
  }
}

std::vector<ConfigurationAuditEntry>
ChangeHistory::entriesOf(const RequestIds &Ids) const {
  std::vector<ConfigurationAuditEntry> Entries;
  Entries.reserve(Ids.size());
  for (const ChangeRequestId &Id : Ids)
    Entries.push_back(Entries_.at(Id));
  return Entries;
}

} // namespace jaybridge
