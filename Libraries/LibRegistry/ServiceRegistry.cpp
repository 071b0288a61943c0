#include <LibRegistry/ServiceRegistry.h>

#include <algorithm>

namespace jaybridge {

ServiceRegistry::ServiceRegistry(RegistryState State)
    : Document_(std::move(State.Document_)) {
  for (InstanceRecord &Each : State.Instances_) {
    Addresses_[Each.Address_] = Each.Id_;
    InstanceId Id = Each.Id_;
    Instances_.emplace(std::move(Id), std::move(Each));
  }
  for (DepartedInstance &Each : State.Departed_) {
    DepartureOrder_.push_back(Each.Id_);
    Departed_[Each.Id_] = Each.LastIncarnation_;
  }
}

RegistryChange ServiceRegistry::apply(const RegistryCommand &Command) {
  return std::visit([this](const auto &Each) { return applyEach(Each); },
                    Command);
}

bool ServiceRegistry::isNews(const InstanceRecord &Announced) const {
  if (auto Gone = Departed_.find(Announced.Id_);
      Gone != Departed_.end() && Announced.Version_ <= Gone->second)
    return false;
  if (const InstanceRecord *Holder = holderOf(Announced);
      Holder && Holder->Version_ > Announced.Version_)
    return false;
  const InstanceRecord *Known = find(Announced.Id_);
  if (!Known)
    return Instances_.size() < GreatestInstances;
  return std::pair(Known->Version_, Known->State_) <
         std::pair(Announced.Version_, Announced.State_);
}

const InstanceRecord *ServiceRegistry::find(const InstanceId &Id) const {
  auto Found = Instances_.find(Id);
  return Found == Instances_.end() ? nullptr : &Found->second;
}

const InstanceRecord *
ServiceRegistry::holderOf(const InstanceRecord &Wanted) const {
  auto Held = Addresses_.find(Wanted.Address_);
  if (Held == Addresses_.end() || Held->second == Wanted.Id_)
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

RegistryChange ServiceRegistry::applyEach(const StoredDocument &Stored) {
  RegistryChange Change;
  if (Document_ && Stored.Version_ <= Document_->Version_)
    return Change;
  Document_ = Stored;
  Change.IsDocumentNew_ = true;
  return Change;
}

RegistryChange ServiceRegistry::applyEach(const DocumentDelta &Delta) {
  if (!Document_)
    return {};
  auto Newer = applyDelta(*Document_, Delta);
  return Newer ? applyEach(Newer.value()) : RegistryChange{};
}

RegistryChange ServiceRegistry::applyEach(const StoreInstance &Stored) {
  RegistryChange Change;
  const InstanceRecord &Record = Stored.Record_;
  if (!isNews(Record))
    return Change;
  // A machine that took over the address ended the earlier holder.
  if (const InstanceRecord *Holder = holderOf(Record)) {
    InstanceId Ended = Holder->Id_;
    Incarnation UpTo = Holder->Version_;
    depart(Ended, UpTo, Change);
  }
  if (const InstanceRecord *Known = find(Record.Id_))
    Addresses_.erase(Known->Address_);
  Addresses_[Record.Address_] = Record.Id_;
  Instances_.insert_or_assign(Record.Id_, Record);
  Change.Instances_.push_back(Record);
  return Change;
}

RegistryChange ServiceRegistry::applyEach(const RemoveInstance &Removed) {
  RegistryChange Change;
  const InstanceRecord *Known = find(Removed.Id_);
  if (!Known || Known->Version_ > Removed.LastIncarnation_)
    return Change;
  InstanceId Id = Known->Id_;
  depart(Id, Removed.LastIncarnation_, Change);
  return Change;
}

void ServiceRegistry::depart(const InstanceId &Id, Incarnation UpTo,
                             RegistryChange &Change) {
  auto Found = Instances_.find(Id);
  InstanceRecord Last = std::move(Found->second);
  Instances_.erase(Found);
  Addresses_.erase(Last.Address_);
  Last.State_ = InstanceState::Left;
  Change.Instances_.push_back(std::move(Last));
  auto [Known, IsNew] = Departed_.try_emplace(Id, UpTo);
  Known->second = std::max(Known->second, UpTo);
  if (!IsNew)
    return;
  DepartureOrder_.push_back(Id);
  if (DepartureOrder_.size() > GreatestDeparted) {
    Departed_.erase(DepartureOrder_.front());
    DepartureOrder_.pop_front();
  }
}

} // namespace jaybridge
