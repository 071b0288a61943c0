#include <LibProfile/ChangeHistory.h>

namespace jaybridge {

void ChangeHistory::add(ConfigurationAuditEntry Entry) {
  Order &Ids = Entry.isAccepted() ? Accepted_ : Refused_;
  std::size_t Greatest =
      Entry.isAccepted() ? MaxAcceptedEntries : MaxRefusedEntries;
  ChangeRequestId Id = Entry.RequestId_;
  bool Inserted = Entries_.emplace(Id, std::move(Entry)).second;
  JAYBRIDGE_VERIFY(Inserted);
  Ids.push_back(std::move(Id));
  trim(Ids, Greatest);
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
  ConfigurationVersion First = Entries_.at(Accepted_.front()).BasedOn_;
  if (BasedOn < First || BasedOn.value() - First.value() >= Accepted_.size())
    return nullptr;
  return &Entries_.at(Accepted_[BasedOn.value() - First.value()]);
}

std::vector<ConfigurationAuditEntry> ChangeHistory::accepted() const {
  return entriesOf(Accepted_);
}

std::vector<ConfigurationAuditEntry> ChangeHistory::refused() const {
  return entriesOf(Refused_);
}

void ChangeHistory::trim(Order &Ids, std::size_t Greatest) {
  while (Ids.size() > Greatest) {
    Entries_.erase(Ids.front());
    Ids.pop_front();
  }
}

std::vector<ConfigurationAuditEntry>
ChangeHistory::entriesOf(const Order &Ids) const {
  std::vector<ConfigurationAuditEntry> Entries;
  Entries.reserve(Ids.size());
  for (const ChangeRequestId &Id : Ids)
    Entries.push_back(Entries_.at(Id));
  return Entries;
}

} // namespace jaybridge
