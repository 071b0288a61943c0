#pragma once

#include <LibControl/FleetMessages.h>
#include <LibControl/HomeTable.h>
#include <LibControl/ServiceTable.h>

namespace jaybridge {

/// A daemon's view of the fleet: its members, the instances of all services,
/// the configuration in force here, and the homes of each service.
template <ConfigurationEncoding Codec> class FleetService {
public:
  using Event = FleetEvent;
  using Effect = FleetEffect;
  using Effects = std::vector<Effect>;

  FleetService(Membership Members, InstanceDirectory Directory,
               ConfigurationSpread Spread, HomeTable Homes)
      : Members_(std::move(Members)), Directory_(std::move(Directory)),
        Spread_(std::move(Spread)), Homes_(std::move(Homes)) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Out) {
    std::visit([&](const auto &Each) { on(Each, Now, Out); }, Incoming);
    settle(Now, Out);
  }
  void advance(TimePoint Now, Effects &Out) {
    Members_.advance(Now, MemberEffects_);
    Directory_.advance(Now, DirectoryEffects_);
    Spread_.advance(Now, SpreadEffects_);
    settle(Now, Out);
    Homes_.advance(Now, Out);
  }
  std::optional<TimePoint> nextDeadline() const {
    std::optional<TimePoint> Earliest;
    for (std::optional<TimePoint> Due :
         {Members_.nextDeadline(), Directory_.nextDeadline(),
          Spread_.nextDeadline(), Homes_.nextDeadline()})
      if (Due && (!Earliest || *Due < *Earliest))
        Earliest = Due;
    return Earliest;
  }

private:
  void on(const FromMember<MembershipMessage> &Got, TimePoint Now, Effects &) {
    Members_.handle(Got, Now, MemberEffects_);
  }
  void on(const LeaveRequested &Asked, TimePoint Now, Effects &) {
    Members_.handle(Asked, Now, MemberEffects_);
  }
  void on(const FromMember<DirectoryMessage> &Got, TimePoint Now, Effects &) {
    Directory_.handle(Got, Now, DirectoryEffects_);
  }
  void on(const InstanceAnnounced &Announced, TimePoint Now, Effects &) {
    Directory_.handle(Announced, Now, DirectoryEffects_);
  }
  void on(const LoadAnnounced &Announced, TimePoint Now, Effects &) {
    Directory_.handle(Announced, Now, DirectoryEffects_);
  }
  void on(const FromMember<SpreadMessage> &Got, TimePoint Now, Effects &) {
    Spread_.handle(Got, Now, SpreadEffects_);
  }
  void on(const ChangeCommitted &Committed, TimePoint Now, Effects &) {
    Spread_.handle(EntryCommitted{Committed.Version_,
                                  ConfigurationBytes(Committed.Payload_)},
                   Now, SpreadEffects_);
  }
  void on(const CatalogInstalled &Installed, TimePoint Now, Effects &) {
    Spread_.handle(SnapshotProvided{Installed.Version_,
                                    ConfigurationBytes(Installed.Snapshot_)},
                   Now, SpreadEffects_);
  }
  void on(const EjectionsApplied &Applied, TimePoint, Effects &) {
    Services_.setEjected(Applied.Service_, Applied.Ejected_.size());
  }
  void on(const OperatorStatusRequest &Asked, TimePoint, Effects &Out) {
    Out.emplace_back(status(Asked.Query_));
  }

  /// The parts' effects are applied until none is left: a change of members
  /// concerns the directory and the spread too.
  void settle(TimePoint Now, Effects &Out) {
    while (!MemberEffects_.empty() || !DirectoryEffects_.empty() ||
           !SpreadEffects_.empty()) {
      applyAll(MemberEffects_, Now, Out);
      applyAll(DirectoryEffects_, Now, Out);
      applyAll(SpreadEffects_, Now, Out);
    }
  }
  template <typename PartEffect>
  void applyAll(std::vector<PartEffect> &Pending, TimePoint Now, Effects &Out) {
    std::vector<PartEffect> Taken;
    Taken.swap(Pending);
    for (PartEffect &Each : Taken)
      std::visit([&](auto &Inner) { apply(Inner, Now, Out); }, Each);
  }

  /// Effects that concern nobody else here.
  template <typename Other> void apply(Other &Given, TimePoint, Effects &Out) {
    Out.emplace_back(std::move(Given));
  }
  void apply(MemberChanged &Changed, TimePoint Now, Effects &Out) {
    // Out first: a message to the member needs its address.
    Out.emplace_back(Changed);
    Directory_.handle(Changed, Now, DirectoryEffects_);
    Spread_.handle(Changed, Now, SpreadEffects_);
    Homes_.apply(Changed.Record_, Now);
  }
  void apply(InstanceUpdated &Updated, TimePoint, Effects &Out) {
    Services_.apply(Updated.Record_);
    Out.emplace_back(std::move(Updated));
  }
  void apply(EntryInForce &Entry, TimePoint Now, Effects &Out) {
    auto Change = Codec::decodeChange(Entry.Entry_.text());
    if (Change && Catalog_.apply(Change.value()) &&
        Catalog_.version() == Entry.Version_)
      announceCatalog(Now, Out);
  }
  void apply(SnapshotInForce &Taken, TimePoint Now, Effects &Out) {
    auto Snapshot = Codec::decodeSnapshot(Taken.Snapshot_.text());
    if (!Snapshot)
      return;
    auto Catalog = ConfigurationCatalog::create(Snapshot.value());
    if (!Catalog || Catalog.value().version() < Catalog_.version())
      return;
    Catalog_ = Catalog.takeValue();
    announceCatalog(Now, Out);
  }
  void apply(SnapshotNeeded &, TimePoint Now, Effects &) {
    Spread_.handle(
        SnapshotProvided{Catalog_.version(), ConfigurationBytes(Codec::encode(
                                                 Catalog_.snapshotInForce()))},
        Now, SpreadEffects_);
  }
  void apply(ConfigurationIsCurrent &, TimePoint, Effects &) {}

  void announceCatalog(TimePoint Now, Effects &Out) {
    std::vector<ServicePolicy> Policies = Catalog_.policies();
    Services_.setPolicies(Policies);
    Homes_.setServices(Policies, Now);
    Out.emplace_back(CatalogApplied{Catalog_.version(), std::move(Policies)});
  }

  OperatorStatusResponse status(QueryId Query) const {
    OperatorStatusResponse Found;
    Found.Query_ = Query;
    Found.Self_ = Members_.self().Id_;
    Found.Version_ = Catalog_.version();
    Found.Members_.push_back({Members_.self(), Catalog_.version()});
    for (const VersionInForce &Heard : Spread_.versions())
      if (const MemberRecord *Record = Members_.others().find(Heard.Member_))
        Found.Members_.push_back({*Record, Heard.Version_});
    Found.Services_ = Services_.statuses();
    return Found;
  }

  Membership Members_;
  InstanceDirectory Directory_;
  ConfigurationSpread Spread_;
  HomeTable Homes_;
  ServiceTable Services_;
  ConfigurationCatalog Catalog_;
  std::vector<Membership::Effect> MemberEffects_;
  std::vector<InstanceDirectory::Effect> DirectoryEffects_;
  std::vector<ConfigurationSpread::Effect> SpreadEffects_;
};

} // namespace jaybridge
