#pragma once

#include <LibControl/FleetMessages.h>
#include <LibControl/HomeTable.h>
#include <LibControl/ServiceTable.h>

namespace jaybridge {

/// Fleet role of a daemon. Maintains the daemon's view of the members, the
/// instances of all services, the configuration and the homes of each service.
template <ConfigurationEncoding Codec> class FleetService {
public:
  using Event = FleetEvent;
  using Effect = FleetEffect;
  using Effects = std::vector<Effect>;

  FleetService(Membership Members, InstanceDirectory Directory,
               ConfigurationDistributor Distributor, HomeTable Homes)
      : Members_(std::move(Members)), Directory_(std::move(Directory)),
        Distributor_(std::move(Distributor)), Homes_(std::move(Homes)) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Out) {
    std::visit([&](const auto &Event) { handleEvent(Event, Now, Out); },
               Incoming);
    processEffects(Now, Out);
  }
  void advance(TimePoint Now, Effects &Out) {
    Members_.advance(Now, MemberEffects_);
    Directory_.advance(Now, DirectoryEffects_);
    Distributor_.advance(Now, DistributorEffects_);
    processEffects(Now, Out);
    Homes_.advance(Now, Out);
  }
  std::optional<TimePoint> nextDeadline() const {
    std::optional<TimePoint> Earliest;
    for (std::optional<TimePoint> Due :
         {Members_.nextDeadline(), Directory_.nextDeadline(),
          Distributor_.nextDeadline(), Homes_.nextDeadline()})
      if (Due && (!Earliest || *Due < *Earliest))
        Earliest = Due;
    return Earliest;
  }

private:
  void handleEvent(const FromMember<MembershipMessage> &Received, TimePoint Now,
                   Effects &) {
    Members_.handle(Received, Now, MemberEffects_);
  }
  void handleEvent(const LeaveRequested &Request, TimePoint Now, Effects &) {
    Members_.handle(Request, Now, MemberEffects_);
  }
  void handleEvent(const FromMember<DirectoryMessage> &Received, TimePoint Now,
                   Effects &) {
    Directory_.handle(Received, Now, DirectoryEffects_);
  }
  void handleEvent(const InstanceAnnounced &Announced, TimePoint Now,
                   Effects &) {
    Directory_.handle(Announced, Now, DirectoryEffects_);
  }
  void handleEvent(const InstanceLoadReported &Reported, TimePoint Now,
                   Effects &) {
    Directory_.handle(Reported, Now, DirectoryEffects_);
  }
  void handleEvent(const FromMember<DistributionMessage> &Received,
                   TimePoint Now, Effects &) {
    Distributor_.handle(Received, Now, DistributorEffects_);
  }
  void handleEvent(const ChangeCommitted &Committed, TimePoint Now, Effects &) {
    Distributor_.handle(EntryCommitted{Committed.Version_,
                                       ConfigurationBytes(Committed.Payload_)},
                        Now, DistributorEffects_);
  }
  void handleEvent(const CatalogInstalled &Installed, TimePoint Now,
                   Effects &) {
    Distributor_.handle(
        SnapshotProvided{Installed.Version_,
                         ConfigurationBytes(Installed.Snapshot_)},
        Now, DistributorEffects_);
  }
  void handleEvent(const EjectionListChanged &Changed, TimePoint, Effects &) {
    Services_.setEjectedCount(Changed.Service_, Changed.Ejected_.size());
  }
  void handleEvent(const OperatorStatusRequest &Request, TimePoint,
                   Effects &Out) {
    Out.emplace_back(makeStatusResponse(Request.Query_));
  }

  /// Applies the effects of the membership, the directory and the distributor
  /// until none is left. Applying an effect may cause further ones: a
  /// membership change is passed to the directory and the configuration
  /// distributor, for example.
  void processEffects(TimePoint Now, Effects &Out) {
    while (!MemberEffects_.empty() || !DirectoryEffects_.empty() ||
           !DistributorEffects_.empty()) {
      applyAll(MemberEffects_, Now, Out);
      applyAll(DirectoryEffects_, Now, Out);
      applyAll(DistributorEffects_, Now, Out);
    }
  }
  template <typename PartEffect>
  void applyAll(std::vector<PartEffect> &Pending, TimePoint Now, Effects &Out) {
    std::vector<PartEffect> Batch;
    Batch.swap(Pending);
    for (PartEffect &Next : Batch)
      std::visit([&](auto &Effect) { apply(Effect, Now, Out); }, Next);
  }

  /// Forwards effects that no other part needs.
  template <typename PartEffect>
  void apply(PartEffect &Forwarded, TimePoint, Effects &Out) {
    Out.emplace_back(std::move(Forwarded));
  }
  void apply(MemberChanged &Changed, TimePoint Now, Effects &Out) {
    // Emitted first, because the host needs the address of the member to send
    // the messages that follow.
    Out.emplace_back(Changed);
    Directory_.handle(Changed, Now, DirectoryEffects_);
    Distributor_.handle(Changed, Now, DistributorEffects_);
    Homes_.apply(Changed.Record_, Now);
  }
  void apply(InstanceUpdated &Updated, TimePoint, Effects &Out) {
    Services_.apply(Updated.Record_);
    Out.emplace_back(std::move(Updated));
  }
  void apply(EntryApplied &Entry, TimePoint Now, Effects &Out) {
    auto Change = Codec::decodeChange(Entry.Entry_.text());
    if (Change && Catalog_.apply(Change.value()) &&
        Catalog_.version() == Entry.Version_)
      publishCatalog(Now, Out);
  }
  void apply(SnapshotApplied &Applied, TimePoint Now, Effects &Out) {
    auto Snapshot = Codec::decodeSnapshot(Applied.Snapshot_.text());
    if (!Snapshot)
      return;
    auto Catalog = ConfigurationCatalog::create(Snapshot.value());
    if (!Catalog || Catalog.value().version() < Catalog_.version())
      return;
    Catalog_ = Catalog.takeValue();
    publishCatalog(Now, Out);
  }
  void apply(SnapshotNeeded &, TimePoint Now, Effects &) {
    Distributor_.handle(
        SnapshotProvided{Catalog_.version(),
                         ConfigurationBytes(
                             Codec::encode(Catalog_.snapshotWithoutHistory()))},
        Now, DistributorEffects_);
  }
  void apply(ConfigurationUpToDate &, TimePoint, Effects &) {}

  void publishCatalog(TimePoint Now, Effects &Out) {
    std::vector<ServicePolicy> Policies = Catalog_.policies();
    Services_.setPolicies(Policies);
    Homes_.setServices(Policies, Now);
    Out.emplace_back(CatalogApplied{Catalog_.version(), std::move(Policies)});
  }

  OperatorStatusResponse makeStatusResponse(QueryId Query) const {
    OperatorStatusResponse Response;
    Response.Query_ = Query;
    Response.Self_ = Members_.self().Id_;
    Response.Version_ = Catalog_.version();
    Response.Members_.push_back({Members_.self(), Catalog_.version()});
    for (const MemberVersion &Known : Distributor_.memberVersions())
      if (const MemberRecord *Record = Members_.others().find(Known.Member_))
        Response.Members_.push_back({*Record, Known.Version_});
    Response.Services_ = Services_.statuses();
    return Response;
  }

  Membership Members_;
  InstanceDirectory Directory_;
  ConfigurationDistributor Distributor_;
  HomeTable Homes_;
  ServiceTable Services_;
  ConfigurationCatalog Catalog_;
  std::vector<Membership::Effect> MemberEffects_;
  std::vector<InstanceDirectory::Effect> DirectoryEffects_;
  std::vector<ConfigurationDistributor::Effect> DistributorEffects_;
};

} // namespace jaybridge
