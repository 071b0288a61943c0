#include <LibRegistry/ServiceRegistry.h>

#include <algorithm>

namespace jaybridge {

ServiceRegistry::ServiceRegistry(RegistryState State)
    : Document_(std::move(State.Document_)) {
  for (InstanceRecord &Record : State.Instances_) {
    Addresses_[Record.Address_] = Record.Id_;
    InstanceId Id = Record.Id_;
    Instances_.emplace(std::move(Id), std::move(Record));
  }
  for (DepartedInstance &Departed : State.Departed_) {
    DepartureOrder_.push_back(Departed.Id_);
    Departed_[Departed.Id_] = Departed.LastIncarnation_;
  }
}

RegistryChange ServiceRegistry::apply(const RegistryCommand &Command) {
  return std::visit(
      [this](const auto &Concrete) { return applyCommand(Concrete); }, Command);
}

bool ServiceRegistry::isNewer(const InstanceRecord &Announced) const {
  if (auto Departed = Departed_.find(Announced.Id_);
      Departed != Departed_.end() && Announced.Version_ <= Departed->second)
    return false;
  if (const InstanceRecord *Holder = findAddressHolder(Announced);
      Holder && Holder->Version_ > Announced.Version_)
    return false;
  const InstanceRecord *Known = find(Announced.Id_);
  if (!Known)
    return Instances_.size() < MaxInstances;
  return std::pair(Known->Version_, Known->State_) <
         std::pair(Announced.Version_, Announced.State_);
}

const InstanceRecord *ServiceRegistry::find(const InstanceId &Id) const {
  auto Found = Instances_.find(Id);
  return Found == Instances_.end() ? nullptr : &Found->second;
}

const InstanceRecord *
ServiceRegistry::findAddressHolder(const InstanceRecord &Announced) const {
  auto Held = Addresses_.find(Announced.Address_);
  if (Held == Addresses_.end() || Held->second == Announced.Id_)
    return nullptr;
  return find(Held->second);
}

RegistryState ServiceRegistry::state() const {
  RegistryState State;
  State.Document_ = Document_;
  for (const auto &[Id, Record] : Instances_)
    State.Instances_.push_back(Record);
  for (const InstanceId &Id : DepartureOrder_)
    State.Departed_.push_back(DepartedInstance{Id, Departed_.at(Id)});
  return State;
}

RegistryChange ServiceRegistry::applyCommand(const StoredDocument &Stored) {
  RegistryChange Change;
  if (Document_ && Stored.Version_ <= Document_->Version_)
    return Change;
  Document_ = Stored;
  Change.IsDocumentNew_ = true;
  return Change;
}

RegistryChange ServiceRegistry::applyCommand(const DocumentDelta &Delta) {
  if (!Document_)
    return {};
  auto Updated = applyDelta(*Document_, Delta);
  return Updated ? applyCommand(Updated.value()) : RegistryChange{};
}

RegistryChange ServiceRegistry::applyCommand(const StoreInstance &Stored) {
  RegistryChange Change;
  const InstanceRecord &Record = Stored.Record_;
  if (!isNewer(Record))
    return Change;
  // An instance that takes over an address replaces the earlier instance there.
  if (const InstanceRecord *Holder = findAddressHolder(Record)) {
    InstanceId Replaced = Holder->Id_;
    Incarnation LastIncarnation = Holder->Version_;
    removeInstance(Replaced, LastIncarnation, Change);
  }
  if (const InstanceRecord *Known = find(Record.Id_))
    Addresses_.erase(Known->Address_);
  Addresses_[Record.Address_] = Record.Id_;
  Instances_.insert_or_assign(Record.Id_, Record);
  Change.Instances_.push_back(Record);
  return Change;
}

RegistryChange ServiceRegistry::applyCommand(const RemoveInstance &Removed) {
  RegistryChange Change;
  const InstanceRecord *Known = find(Removed.Id_);
  if (!Known)
    return Change;
  const Incarnation Last = Removed.LastIncarnation_.value_or(Known->Version_);
  if (Known->Version_ > Last)
    return Change;
  InstanceId Id = Known->Id_;
  removeInstance(Id, Last, Change);
  return Change;
}

void ServiceRegistry::removeInstance(const InstanceId &Id,
                                     Incarnation LastIncarnation,
                                     RegistryChange &Change) {
  auto Found = Instances_.find(Id);
  InstanceRecord Removed = std::move(Found->second);
  Instances_.erase(Found);
  Addresses_.erase(Removed.Address_);
  Removed.State_ = InstanceState::Left;
  Change.Instances_.push_back(std::move(Removed));
  auto [Departed, IsNew] = Departed_.try_emplace(Id, LastIncarnation);
  Departed->second = std::max(Departed->second, LastIncarnation);
  if (!IsNew)
    return;
  DepartureOrder_.push_back(Id);
  if (DepartureOrder_.size() > MaxDeparted) {
    Departed_.erase(DepartureOrder_.front());
    DepartureOrder_.pop_front();
  }
}

} // namespace jaybridge
