#pragma once

#include <LibRegistry/ControlMessages.h>
#include <LibRegistry/ControlSettings.h>
#include <LibRegistry/FleetEvidence.h>
#include <LibRegistry/InstanceHistory.h>
#include <LibRegistry/MemberDomains.h>
#include <LibRegistry/PendingDocument.h>
#include <LibRegistry/RetryPool.h>
#include <LibRegistry/ServiceRegistry.h>
#include <LibRegistry/SubscriberTable.h>
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
template <RegistryEncoding Codec> class ControlService {
public:
  using Event = ControlEvent;
  using Effect = ControlEffect;
  using Effects = std::vector<Effect>;

  ControlService(ControlSettings Settings, ReplicatedLog Log)
      : Settings_(std::move(Settings)), Log_(std::move(Log)),
        Retries_(Settings_.RetryAllowance_) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Out) {
    std::visit([&](const auto &Concrete) { on(Concrete, Now, Out); }, Incoming);
    applyLogEffects(Now, Out);
  }
  void advance(TimePoint Now, Effects &Out) {
    Log_.advance(Now, LogEffects_);
    if (auto Change = VoterPolicy_.decide(Log_, Now))
      Log_.handle(*Change, Now, LogEffects_);
    applyLogEffects(Now, Out);
    if (Now >= NextHeartbeat_)
      sendHeartbeat(Now, Out);
    if (Now >= NextReport_)
      report(Now, Out);
    if (Log_.isLeader() && Now >= NextLeaderUpdate_)
      notifyFollowers(Now, Out);
  }
  std::optional<TimePoint> nextDeadline() const {
    TimePoint Next = std::min(NextHeartbeat_, NextReport_);
    if (Log_.isLeader())
      Next = std::min(Next, NextLeaderUpdate_);
    if (auto Due = Log_.nextDeadline())
      Next = std::min(Next, *Due);
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
  /// As many changes as operators have in progress at once.
  static constexpr std::size_t MaxDeferredWrites = 8;

  struct PendingSubscriber {
    SubscribeRequest Request_;
    TimePoint ReceivedAt_;
  };
  struct PendingChange {
    std::vector<ControlRequestId> Requests_;
    /// The configuration version that must be in force after the change; 0 if
    /// the change sets none.
    ConfigurationVersion Version_;
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
      return answer(
          Request.RequestId_,
          Acknowledged{chooseNearbyMember(members(), Request.Record_)}, Out);
    propose(Request.RequestId_, StoreInstance{Request.Record_}, Now, Out);
  }
  void on(const DeregisterRequest &Request, TimePoint Now, Effects &Out) {
    // Entries that are not applied yet may register the instance or a later
    // start of it, so that only the log decides what is removed.
    propose(Request.RequestId_, RemoveInstance{Request.Id_, Request.Version_},
            Now, Out);
  }
  void on(const DocumentWriteRequest &Request, TimePoint Now, Effects &Out) {
    if (redirectToLeader(Request.RequestId_, Out))
      return;
    // The entries of earlier leaders may contain this version or later ones.
    if (!Log_.hasCommittedInTerm())
      return deferWrite(Request, Out);
    const ConfigurationVersion Version = Request.Document_.Version_;
    if (Version <= Registry_.version())
      return answer(Request.RequestId_, Acknowledged{}, Out);
    // A version that is not newer than the pending one needs no log entry: it
    // is answered together with the pending change.
    if (auto Proposal = PendingDocument_.proposalOf(Version))
      if (auto Found = PendingChanges_.find(*Proposal);
          Found != PendingChanges_.end())
        return Found->second.Requests_.push_back(Request.RequestId_);
    std::optional<DocumentDelta> Delta;
    if (const auto &Base = PendingDocument_.base(Registry_.document()))
      Delta = computeDelta(*Base, Request.Document_);
    RegistryCommand Command = Request.Document_;
    if (Delta)
      Command = std::move(*Delta);
    if (propose(Request.RequestId_, Command, Now, Out))
      PendingDocument_.add(Request.Document_, LastProposal_);
  }
  void on(const DocumentReadRequest &Request, TimePoint Now, Effects &Out) {
    if (redirectToLeader(Request.RequestId_, Out))
      return;
    LastRead_ = LastRead_.next();
    PendingReads_[LastRead_] = Request.RequestId_;
    Log_.handle(ReadIndexRequest{LastRead_}, Now, LogEffects_);
  }

  /// Proposes a command and answers the request once it is committed. Returns
  /// whether the command was added to the log.
  bool propose(ControlRequestId RequestId, const RegistryCommand &Command,
               TimePoint Now, Effects &Out) {
    if (redirectToLeader(RequestId, Out))
      return false;
    LastProposal_ = LastProposal_.next();
    PendingChanges_[LastProposal_] =
        PendingChange{{RequestId}, versionOf(Command)};
    const LogIndex LastIndex = Log_.entries().lastIndex();
    Log_.handle(ProposalRequest{LastProposal_, Codec::encodeCommand(Command)},
                Now, LogEffects_);
    return Log_.entries().lastIndex() > LastIndex;
  }
  /// Keeps the request until this leader has applied its log.
  void deferWrite(const DocumentWriteRequest &Request, Effects &Out) {
    if (DeferredWrites_.size() >= MaxDeferredWrites)
      return answer(Request.RequestId_,
                    NotAvailable{"the leader has not applied its log yet"},
                    Out);
    DeferredWrites_.push_back(Request);
  }
  void handleDeferredWrites(TimePoint Now, Effects &Out) {
    if (Log_.isLeader() && !Log_.hasCommittedInTerm())
      return;
    for (const DocumentWriteRequest &Request :
         std::exchange(DeferredWrites_, {}))
      on(Request, Now, Out);
  }
  /// If this member is not the leader, answers the request with a redirect or
  /// an error and returns true.
  bool redirectToLeader(ControlRequestId RequestId, Effects &Out) {
    if (Log_.isLeader())
      return false;
    if (Log_.leader())
      answer(RequestId, RedirectToLeader{*Log_.leader()}, Out);
    else
      answer(RequestId,
             NotAvailable{"no leader of the control members is known"}, Out);
    return true;
  }

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
                   [](const auto &) {},
               },
               Received.Message_);
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
      reportEarly(Now, Out);
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

  /// Asks the leader for its lists, twice in a report interval at most.
  void requestWholeLists(TimePoint Now, Effects &Out) {
    if (!Log_.leader() || Now < NextListRequest_)
      return;
    NextListRequest_ = Now + Settings_.ReportInterval_ / 2;
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
    sendHeartbeatEarly(Now);
  }

  /// Sends changes in quick succession together.
  void sendHeartbeatEarly(TimePoint Now) {
    NextHeartbeat_ = std::min(
        NextHeartbeat_,
        std::max(Now, LastHeartbeatAt_ + Settings_.MinNotificationInterval_));
  }
  void notifyFollowersEarly(TimePoint Now) {
    NextLeaderUpdate_ =
        std::min(NextLeaderUpdate_,
                 std::max(Now, LastLeaderUpdateAt_ +
                                   Settings_.MinNotificationInterval_));
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
      sendHeartbeatEarly(Now);
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
    NextHeartbeat_ = Now + Settings_.HeartbeatInterval_;
    LastHeartbeatAt_ = Now;
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

  /// Reports failures ahead of the regular interval. Those in quick succession
  /// are reported together, since the work of the leader's decisions grows with
  /// the number of instances and would hold up changes.
  void reportEarly(TimePoint Now, Effects &Out) {
    const TimePoint Earliest =
        LastReportAt_ + (Log_.isLeader() ? Settings_.MinNotificationInterval_
                                         : Settings_.MinReportInterval_);
    if (Now >= Earliest)
      report(Now, Out);
    else
      NextReport_ = std::min(NextReport_, Earliest);
  }

  /// On a follower, reports the attempts since the last report to the leader;
  /// on the leader, updates its decisions.
  void report(TimePoint Now, Effects &Out) {
    NextReport_ = Now + Settings_.ReportInterval_;
    LastReportAt_ = Now;
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
    notifyFollowersEarly(Now);
  }

  void updateEjections(TimePoint Now, Effects &Out) {
    EjectionSet Selected;
    Selected.assign(Evidence_.selectEjected(Registry_, Settings_.Floor_, Now));
    if (setEjections(std::move(Selected), Now, Out))
      notifyFollowersEarly(Now);
  }

  void notifyFollowers(TimePoint Now, Effects &Out) {
    NextLeaderUpdate_ = Now + Settings_.ReportInterval_;
    LastLeaderUpdateAt_ = Now;
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
      handleDeferredWrites(Now, Out);
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
    std::optional<StoredDocument> Previous;
    if (versionOf(Command.value()) > Registry_.version())
      Previous = Registry_.document();
    RegistryChange Change = Registry_.apply(Command.value());
    if (Change.isEmpty())
      return;
    publish(Committed.Index_, Previous, Change, Out);
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
    auto Found = PendingChanges_.find(Decided.Id_);
    if (Found == PendingChanges_.end())
      return;
    PendingChange Pending = std::move(Found->second);
    PendingChanges_.erase(Found);
    PendingDocument_.settle(Decided.Id_);
    ControlReplyBody Reply = Acknowledged{};
    if (!Decided.Answer_)
      Reply = NotAvailable{Decided.Answer_.error().Message_};
    else if (Registry_.version() < Pending.Version_)
      Reply =
          NotAvailable{"the change is not based on the configuration in force"};
    for (ControlRequestId RequestId : Pending.Requests_)
      answer(RequestId, Reply, Out);
  }
  void apply(ReadIndexResponse &Decided, TimePoint, Effects &Out) {
    auto Found = PendingReads_.find(Decided.Id_);
    if (Found == PendingReads_.end())
      return;
    ControlRequestId RequestId = Found->second;
    PendingReads_.erase(Found);
    if (!Decided.Answer_)
      answer(RequestId, NotAvailable{Decided.Answer_.error().Message_}, Out);
    else if (!Registry_.document())
      answer(RequestId, NotAvailable{"no configuration has been accepted yet"},
             Out);
    else
      answer(RequestId, *Registry_.document(), Out);
  }

  void publish(LogIndex Revision, const std::optional<StoredDocument> &Previous,
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
    if (Change.IsDocumentNew_ && Previous)
      Update.Delta_ = computeDelta(*Previous, *Registry_.document());
    if (Change.IsDocumentNew_ && !Update.Delta_)
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
  void answer(ControlRequestId RequestId, ControlReplyBody Body, Effects &Out) {
    Out.emplace_back(ControlRequestAnswered{RequestId, std::move(Body)});
  }

  ControlSettings Settings_;
  ReplicatedLog Log_;
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
  std::map<ProposalId, PendingChange> PendingChanges_;
  PendingDocument PendingDocument_;
  std::vector<DocumentWriteRequest> DeferredWrites_;
  std::map<ReadId, ControlRequestId> PendingReads_;
  ProposalId LastProposal_;
  ReadId LastRead_;
  std::optional<MemberId> KnownLeader_;
  TimePoint NextHeartbeat_{};
  TimePoint NextReport_{};
  TimePoint LastReportAt_{};
  TimePoint NextLeaderUpdate_{};
  TimePoint NextListRequest_{};
  TimePoint LastHeartbeatAt_{};
  TimePoint LastLeaderUpdateAt_{};
};

} // namespace jaybridge
