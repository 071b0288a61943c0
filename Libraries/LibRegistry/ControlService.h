#pragma once

#include <LibRegistry/ControlMessages.h>
#include <LibRegistry/ControlSettings.h>
#include <LibRegistry/FleetEvidence.h>
#include <LibRegistry/InstanceHistory.h>
#include <LibRegistry/MemberDomains.h>
#include <LibRegistry/NotificationSchedule.h>
#include <LibRegistry/RegistryRequests.h>
#include <LibRegistry/RetryPool.h>
#include <LibRegistry/ServiceRegistry.h>
#include <LibRegistry/SubscriberTable.h>
#include <LibRegistry/TokenGrantor.h>
#include <LibRegistry/VoterPolicy.h>

#include <LibCore/DecisionRole.h>
#include <LibCore/Hash.h>

#include <algorithm>
#include <utility>

namespace jaybridge {

/// A control member: it takes part in the replicated log, applies its commands
/// to the service registry and updates the gateways that subscribe to it.
/// Changes are acknowledged after a majority has synced them. Only a member in
/// contact with the leader reports a revision as current.
template <RegistryEncoding Codec, TeamLimitReader Limits = NoTeamLimits>
class ControlService {
public:
  using Event = ControlEvent;
  using Effect = ControlEffect;
  using Effects = std::vector<Effect>;

  ControlService(ControlSettings Settings, ReplicatedLog Log)
      : Settings_(std::move(Settings)), Log_(std::move(Log)),
        Schedule_(Settings_), Retries_(Settings_.RetryAllowance_),
        Tokens_(Settings_.FirstTokenRound_) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Out) {
    std::visit([&](const auto &Concrete) { on(Concrete, Now, Out); }, Incoming);
    applyLogEffects(Now, Out);
  }
  void advance(TimePoint Now, Effects &Out) {
    Log_.advance(Now, LogEffects_);
    if (auto Change = VoterPolicy_.decide(Log_, Now))
      Log_.handle(*Change, Now, LogEffects_);
    applyLogEffects(Now, Out);
    if (Schedule_.isHeartbeatDue(Now))
      sendHeartbeat(Now, Out);
    if (Schedule_.isReportDue(Now))
      report(Now, Out);
    if (Log_.isLeader() && Schedule_.isLeaderUpdateDue(Now))
      notifyFollowers(Now, Out);
    Tokens_.advance(tokenRole(Now), Now, Out);
  }
  std::optional<TimePoint> nextDeadline() const {
    TimePoint Next = Schedule_.nextDeadline(Log_.isLeader());
    for (auto Due : {Log_.nextDeadline(), Tokens_.nextDeadline()})
      Next = std::min(Next, Due.value_or(Next));
    return Next;
  }

  const ServiceRegistry &registry() const { return Registry_; }
  const ReplicatedLog &log() const { return Log_; }
  /// Returns whether this member is a voter in contact with the leader and has
  /// applied the leader's log.
  bool isCurrent(TimePoint Now) const {
    return !Log_.isStopped() && Log_.isVoter() && Log_.hasLeaderContact(Now) &&
           Log_.isUpToDate(Now);
  }

private:
  struct PendingSubscriber {
    SubscribeRequest Request_;
    TimePoint ReceivedAt_;
  };
  // Replication messages and completed writes.
  void on(const ReplicationMessage &Received, TimePoint Now, Effects &) {
    Log_.handle(Received, Now, LogEffects_);
  }
  void on(const Persisted &Completed, TimePoint Now, Effects &) {
    Log_.handle(Completed, Now, LogEffects_);
  }
  void on(const PersistFailed &Failed, TimePoint Now, Effects &) {
    Log_.handle(Failed, Now, LogEffects_);
  }

  // Requests of instances and operators.
  void on(const AnnounceRequest &Request, TimePoint Now, Effects &Out) {
    if (isCurrent(Now) && !Registry_.isNewer(Request.Record_))
      return Requests_.answer(
          Request.RequestId_,
          Acknowledged{chooseNearbyMember(members(), Request.Record_)}, Out);
    Requests_.propose(Request.RequestId_, StoreInstance{Request.Record_},
                      replica(), Now, Out);
  }
  void on(const DeregisterRequest &Request, TimePoint Now, Effects &Out) {
    // Entries that are not applied yet may register the instance or a later
    // start of it, so that only the log decides what is removed.
    Requests_.propose(Request.RequestId_,
                      RemoveInstance{Request.Id_, Request.Version_}, replica(),
                      Now, Out);
  }
  void on(const DocumentWriteRequest &Request, TimePoint Now, Effects &Out) {
    Requests_.write(Request, replica(), Now, Out);
  }
  void on(const DocumentReadRequest &Request, TimePoint Now, Effects &Out) {
    Requests_.read(Request, replica(), Now, Out);
  }
  RegistryReplica replica() { return {Log_, Registry_, LogEffects_}; }

  // Messages of gateways and other control members.
  void on(const SubscriptionReceived &Received, TimePoint Now, Effects &Out) {
    std::visit(Overloaded{
                   [&](const SubscribeRequest &Request) {
                     subscribe(Received.From_, Request, Now, Out);
                   },
                   [&](const AttemptReport &Report) {
                     grantRetries(Received.From_, Report, Out);
                     recordAttempts(Report, Now, Out);
                   },
                   [&](const FollowerReport &Report) {
                     Domains_.setDomain({Received.From_, Report.Domain_});
                     recordAttempts(Report, Now, Out);
                     if (Log_.isLeader() && Report.NeedsWholeLists_)
                       send(Received.From_, leaderUpdate(), Out);
                   },
                   [&](const LeaderUpdate &Update) {
                     if (Log_.leader() == Received.From_)
                       applyLeaderUpdate(Update, Now, Out);
                   },
                   [&]<TokenMessage Message>(const Message &Tokens) {
                     Tokens_.handle(Received.From_, Tokens, tokenRole(Now), Now,
                                    Out);
                   },
                   [](const auto &) {},
               },
               Received.Message_);
  }
  TokenRole tokenRole(TimePoint Now) const {
    return {Settings_.Self_, Log_, isCurrent(Now), Registry_.document()};
  }

  void subscribe(const MemberId &From, const SubscribeRequest &Request,
                 TimePoint Now, Effects &Out) {
    // Gateways without any data are answered by the first member that becomes
    // current. Other gateways subscribe again, to the nearest member first.
    if (!isCurrent(Now)) {
      if (Request.Revision_ == LogIndex() &&
          PendingSubscribers_.size() < SubscriberTable::MaxSubscribers)
        PendingSubscribers_[From] = {Request, Now};
      return send(From, RegistryStale{}, Out);
    }
    // A member that has restarted may lie behind its former subscribers.
    if (Request.Revision_ > Revision_)
      return send(From, RegistryStale{}, Out);
    // The renewal has crossed the update that follows its revision. A gateway
    // that does not get the update notices with the next heartbeat.
    if (Request.IsRenewal_ &&
        Subscribers_.renewIfAhead(From, Request.Revision_, Now))
      return;
    if (!Subscribers_.renew(From, Request.Revision_, Now))
      return;
    if (Request.Revision_ == Revision_ && Revision_ > LogIndex()) {
      RegistryHeartbeat Heartbeat = firstHeartbeat();
      std::vector<ControlMember> Members = members();
      if (Request.Members_ != digestOf(Members))
        Heartbeat.Members_ = std::move(Members);
      if (Request.Ejections_ == NotifiedEjections_.digest())
        Heartbeat.Ejections_ =
            NotifiedEjections_.changeFrom(NotifiedEjections_);
      return send(From, std::move(Heartbeat), Out);
    }
    RegistryUpdate Update;
    Update.Revision_ = Revision_;
    if (Request.Version_ < Registry_.version())
      Update.Document_ = Registry_.document();
    // A gateway without any data may follow whichever member sends it all.
    std::optional<std::vector<InstanceRecord>> Missed;
    if (Request.Revision_ > LogIndex())
      Missed = History_.since(Request.Revision_);
    if (Missed) {
      Update.BaseRevision_ = Request.Revision_;
      Update.Instances_ = std::move(*Missed);
    } else {
      if (!Subscribers_.tryStartFullUpdate(From, Now))
        return;
      for (const auto &[Id, Record] : Registry_.instances())
        Update.Instances_.push_back(Record);
    }
    if (std::vector<ControlMember> Members = members();
        !Missed || Request.Members_ != digestOf(Members))
      Update.Members_ = std::move(Members);
    send(From, std::move(Update), Out);
    Subscribers_.recordSent(From, Revision_);
    if (Request.Ejections_ != NotifiedEjections_.digest())
      send(From, firstHeartbeat(), Out);
  }

  void answerPendingSubscribers(TimePoint Now, Effects &Out) {
    std::map<MemberId, PendingSubscriber> Pending;
    Pending.swap(PendingSubscribers_);
    for (const auto &[From, Subscriber] : Pending)
      if (Now < Subscriber.ReceivedAt_ + Settings_.PendingSubscriberTimeout_)
        subscribe(From, Subscriber.Request_, Now, Out);
  }

  void grantRetries(const MemberId &From, const AttemptReport &Report,
                    Effects &Out) {
    const std::size_t MemberCount = Log_.members().Voters_.size();
    for (const AttemptCounts &Counts : Report.Instances_)
      if (const InstanceRecord *Record = Registry_.find(Counts.Id_))
        Retries_.deposit(Record->Service_, Counts.total(), MemberCount);
    RetriesGranted Grant;
    for (const RetryCount &Spent : Report.SpentRetries_)
      if (EventCount Granted =
              Retries_.withdraw(Spent.Service_, Spent.Retries_);
          Granted > EventCount(0))
        Grant.Retries_.push_back(RetryCount{Spent.Service_, Granted});
    if (!Grant.Retries_.empty())
      send(From, std::move(Grant), Out);
  }

  /// A heartbeat for a subscriber that did not get the previous one: it states
  /// what the others know, so that the next change fits.
  RegistryHeartbeat firstHeartbeat() const {
    return {Revision_, NotifiedEjections_.whole(), {}, RequestVerdicts_};
  }

  /// Report is an AttemptReport or a FollowerReport.
  template <typename Report>
  void recordAttempts(const Report &Received, TimePoint Now, Effects &Out) {
    if (Evidence_.record(Received.Instances_, Received.Requests_, Registry_,
                         Now))
      if (Schedule_.advanceReport(Log_.isLeader(), Now))
        report(Now, Out);
  }

  void applyLeaderUpdate(const LeaderUpdate &Update, TimePoint Now,
                         Effects &Out) {
    LeaderUpdateReceivedAt_ = Now;
    for (const ControlMember &Member : Update.Members_)
      Domains_.setDomain(Member);
    EjectionSet Stated = Ejections_;
    const bool FitsUpdate = Stated.apply(Update.Ejections_);
    if (FitsUpdate)
      setEjections(std::move(Stated), Now, Out);
    if (!FitsUpdate || Update.MembersDigest_ != digestOf(members()))
      requestWholeLists(Now, Out);
    Evidence_.adopt(Update.Requests_, Now);
    setRequestVerdicts(Update.Requests_, Now, Out);
  }

  void requestWholeLists(TimePoint Now, Effects &Out) {
    if (!Log_.leader() || !Schedule_.tryRequestLists(Now))
      return;
    FollowerReport Report = Evidence_.takeReport(Settings_.Domain_);
    Report.NeedsWholeLists_ = true;
    send(*Log_.leader(), std::move(Report), Out);
  }

  void setRequestVerdicts(const RequestVerdicts &Verdicts, TimePoint Now,
                          Effects &Out) {
    if (Verdicts == RequestVerdicts_)
      return;
    RequestVerdicts_ = Verdicts;
    Out.emplace_back(RequestVerdictsChanged{RequestVerdicts_});
    Schedule_.advanceHeartbeat(Now);
  }

  /// Returns whether an instance was added.
  bool setEjections(EjectionSet Ejections, TimePoint Now, Effects &Out) {
    if (Ejections.digest() == Ejections_.digest())
      return false;
    const bool HasNewEjection =
        !Ejections.changeFrom(Ejections_).Added_.empty();
    Ejections_ = std::move(Ejections);
    Out.emplace_back(EjectedInstancesChanged{Ejections_.instances()});
    // The end of an ejection can wait for the next regular heartbeat.
    if (HasNewEjection)
      Schedule_.advanceHeartbeat(Now);
    return HasNewEjection;
  }

  void notifySubscribers(TimePoint Now, Effects &Out) {
    const bool WasCurrent = std::exchange(WasCurrent_, isCurrent(Now));
    if (!WasCurrent_ && !WasCurrent)
      return;
    NotifySubscribers Notification;
    for (const auto &[Id, Subscriber] : Subscribers_.all())
      Notification.To_.push_back(Id);
    if (WasCurrent_) {
      Notification.Message_ =
          RegistryHeartbeat{Revision_,
                            Ejections_.changeFrom(NotifiedEjections_),
                            {},
                            RequestVerdicts_};
      NotifiedEjections_ = Ejections_;
    } else {
      Notification.Message_ = RegistryStale{};
    }
    Out.emplace_back(std::move(Notification));
  }

  void sendHeartbeat(TimePoint Now, Effects &Out) {
    Schedule_.recordHeartbeat(Now);
    Subscribers_.expire(Now);
    if (!Log_.isLeader() &&
        Now > LeaderUpdateReceivedAt_ + 3 * Settings_.ReportInterval_)
      setEjections({}, Now, Out);
    if (Log_.isLeader()) {
      updateEjections(Now, Out);
      updateRequestVerdicts(Now, Out);
    }
    notifySubscribers(Now, Out);
  }

  /// On a follower, reports the attempts since the last report to the leader;
  /// on the leader, updates its decisions.
  void report(TimePoint Now, Effects &Out) {
    Schedule_.recordReport(Now);
    if (Log_.isLeader()) {
      updateEjections(Now, Out);
      updateRequestVerdicts(Now, Out);
      return;
    }
    if (Log_.leader())
      send(*Log_.leader(), Evidence_.takeReport(Settings_.Domain_), Out);
  }

  void updateRequestVerdicts(TimePoint Now, Effects &Out) {
    const RequestVerdicts Verdicts = Evidence_.decideRequests(Registry_, Now);
    if (Verdicts == RequestVerdicts_)
      return;
    setRequestVerdicts(Verdicts, Now, Out);
    Schedule_.advanceLeaderUpdate(Now);
  }

  void updateEjections(TimePoint Now, Effects &Out) {
    EjectionSet Selected;
    Selected.assign(Evidence_.selectEjected(Registry_, Settings_.Floor_, Now));
    if (setEjections(std::move(Selected), Now, Out))
      Schedule_.advanceLeaderUpdate(Now);
  }

  void notifyFollowers(TimePoint Now, Effects &Out) {
    Schedule_.recordLeaderUpdate(Now);
    LeaderUpdate Update = leaderUpdate();
    Update.Ejections_ = Ejections_.changeFrom(ReportedEjections_);
    ReportedEjections_ = Ejections_;
    if (std::exchange(ReportedMembers_, Update.MembersDigest_) ==
        Update.MembersDigest_)
      Update.Members_.clear();
    for (const Voter &Member : Log_.members().Voters_)
      if (Member.Id_ != Settings_.Self_)
        send(Member.Id_, Update, Out);
  }

  /// An update with the whole lists that the followers were told last.
  LeaderUpdate leaderUpdate() const {
    std::vector<ControlMember> Members = members();
    const MemberListDigest Digest = digestOf(Members);
    return {ReportedEjections_.whole(), Digest, std::move(Members),
            RequestVerdicts_};
  }

  std::vector<ControlMember> members() const {
    return Domains_.list(Log_.members(), {Settings_.Self_, Settings_.Domain_});
  }

  /// Applies the effects of the log; each may cause further ones.
  void applyLogEffects(TimePoint Now, Effects &Out) {
    do {
      for (std::size_t Index = 0; Index < LogEffects_.size(); ++Index) {
        ReplicationEffect Next = std::move(LogEffects_[Index]);
        std::visit([&](auto &Concrete) { apply(Concrete, Now, Out); }, Next);
      }
      LogEffects_.clear();
      Requests_.handleDeferredWrites(replica(), Now, Out);
    } while (!LogEffects_.empty());
    if (!PendingSubscribers_.empty() && isCurrent(Now))
      answerPendingSubscribers(Now, Out);
    if (std::exchange(KnownLeader_, Log_.leader()) != Log_.leader())
      Out.emplace_back(LeaderChanged{KnownLeader_, Log_.term()});
  }

  void apply(SendReplication &Send, TimePoint, Effects &Out) {
    Out.emplace_back(std::move(Send));
  }
  void apply(PersistLog &Write, TimePoint, Effects &Out) {
    Out.emplace_back(std::move(Write));
  }
  void apply(MemberStopped &Stopped, TimePoint, Effects &Out) {
    Out.emplace_back(std::move(Stopped));
  }
  void apply(ApplyCommand &Committed, TimePoint Now, Effects &Out) {
    auto Command = Codec::decodeCommand(Committed.Payload_);
    if (!Command) {
      Log_.handle(PersistFailed{Command.error()}, Now, LogEffects_);
      return;
    }
    RegistryChange Change = Registry_.apply(Command.value());
    if (Change.isEmpty())
      return;
    publish(Committed.Index_, Command.value(), Change, Out);
    Out.emplace_back(RegistryCommandApplied{Revision_, Registry_.version(),
                                            Command.takeValue()});
  }
  void apply(InstallSnapshot &Install, TimePoint Now, Effects &) {
    auto State = Codec::decodeState(Install.State_);
    if (!State) {
      Log_.handle(PersistFailed{State.error()}, Now, LogEffects_);
      return;
    }
    Registry_ = ServiceRegistry(State.takeValue());
    History_.clear();
    // Subscribers at other revisions request a full update.
    Revision_ = Install.LastIndex_;
  }
  void apply(TakeSnapshot &Take, TimePoint Now, Effects &) {
    Log_.handle(
        SnapshotTaken{Take.Index_, Codec::encodeState(Registry_.state())}, Now,
        LogEffects_);
  }
  void apply(ProposalResponse &Decided, TimePoint, Effects &Out) {
    Requests_.settle(Decided, Registry_, Out);
  }
  void apply(ReadIndexResponse &Decided, TimePoint, Effects &Out) {
    Requests_.settle(Decided, Registry_, Out);
  }

  void publish(LogIndex Revision, const RegistryCommand &Command,
               RegistryChange &Change, Effects &Out) {
    LogIndex BaseRevision = Revision_;
    Revision_ = Revision;
    // The outcomes of an instance are discarded when it restarts or leaves.
    for (const InstanceRecord &Record : Change.Instances_)
      if (Record.State_ != InstanceState::Draining)
        Evidence_.forget(Record.Id_);
    History_.record(BaseRevision, Revision, Change.Instances_);
    RegistryUpdate Update;
    Update.BaseRevision_ = BaseRevision;
    Update.Revision_ = Revision;
    // Subscribers at the base revision have the base of the delta.
    if (const auto *Delta = std::get_if<DocumentDelta>(&Command))
      Update.Delta_ = *Delta;
    else if (Change.IsDocumentNew_)
      Update.Document_ = Registry_.document();
    Update.Instances_ = std::move(Change.Instances_);
    NotifySubscribers Notification;
    for (const auto &[Id, Subscriber] : Subscribers_.all())
      if (Subscriber.Revision_ == BaseRevision)
        Notification.To_.push_back(Id);
    for (const MemberId &To : Notification.To_)
      Subscribers_.recordSent(To, Revision);
    Notification.Message_ = std::move(Update);
    Out.emplace_back(std::move(Notification));
  }

  void send(const MemberId &To, SubscriptionMessage Message, Effects &Out) {
    Out.emplace_back(SendSubscription{To, std::move(Message)});
  }

  ControlSettings Settings_;
  ReplicatedLog Log_;
  NotificationSchedule Schedule_;
  VoterPolicy VoterPolicy_;
  std::vector<ReplicationEffect> LogEffects_;
  ServiceRegistry Registry_;
  /// Index of the last command that changed the registry.
  LogIndex Revision_;
  InstanceHistory History_;
  SubscriberTable Subscribers_;
  /// Gateways without any data that subscribed while this member was not
  /// current.
  std::map<MemberId, PendingSubscriber> PendingSubscribers_;
  FleetEvidence Evidence_;
  EjectionSet Ejections_;
  /// The ejections as of the last heartbeat to all subscribers.
  EjectionSet NotifiedEjections_;
  /// On the leader, the lists as of the last update to all followers.
  EjectionSet ReportedEjections_;
  MemberListDigest ReportedMembers_;
  RequestVerdicts RequestVerdicts_;
  TimePoint LeaderUpdateReceivedAt_{};
  /// Whether this member was current at the last heartbeat.
  bool WasCurrent_ = false;
  MemberDomains Domains_;
  RetryPool Retries_;
  TokenGrantor<Limits> Tokens_;
  RegistryRequests<Codec> Requests_;
  std::optional<MemberId> KnownLeader_;
};

} // namespace jaybridge
