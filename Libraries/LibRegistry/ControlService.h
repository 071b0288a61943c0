#pragma once

#include <LibRegistry/ControlMessages.h>
#include <LibRegistry/ControlSettings.h>
#include <LibRegistry/MemberDomains.h>
#include <LibRegistry/OutlierDetector.h>
#include <LibRegistry/RetryPool.h>
#include <LibRegistry/ServiceRegistry.h>
#include <LibRegistry/SubscriberTable.h>
#include <LibRegistry/VoterPolicy.h>

#include <LibCore/DecisionRole.h>
#include <LibCore/Hash.h>

#include <algorithm>
#include <utility>

namespace jaybridge {

/// A control member: its part in the replicated log, the registry that the log
/// builds, and the gateways that follow it. Changes are acknowledged once a
/// majority has synced them. Only a member that hears the leader says that a
/// revision is current.
template <RegistryEncoding Codec> class ControlService {
public:
  using Event = ControlEvent;
  using Effect = ControlEffect;
  using Effects = std::vector<Effect>;

  ControlService(ControlSettings Settings, ReplicatedLog Log)
      : Settings_(std::move(Settings)), Log_(std::move(Log)) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Out) {
    std::visit([&](const auto &Each) { on(Each, Now, Out); }, Incoming);
    settle(Now, Out);
  }
  void advance(TimePoint Now, Effects &Out) {
    Log_.advance(Now, LogEffects_);
    if (auto Change = Voters_.decide(Log_, Now))
      Log_.handle(*Change, Now, LogEffects_);
    settle(Now, Out);
    if (Now >= NextCurrent_)
      announceCurrent(Now, Out);
    if (Now >= NextReport_)
      report(Now, Out);
    if (Log_.isLeader() && Now >= NextJudgement_)
      tellFollowers(Now, Out);
  }
  std::optional<TimePoint> nextDeadline() const {
    TimePoint Next = std::min(NextCurrent_, NextReport_);
    if (Log_.isLeader())
      Next = std::min(Next, NextJudgement_);
    if (auto Due = Log_.nextDeadline())
      Next = std::min(Next, *Due);
    return Next;
  }

  const ServiceRegistry &registry() const { return Registry_; }
  const ReplicatedLog &log() const { return Log_; }
  /// Whether this member knows that what it holds is in force.
  bool isCurrent(TimePoint Now) const {
    return !Log_.isStopped() && Log_.isVoter() && Log_.hearsLeader(Now);
  }

private:
  struct EarlySubscriber {
    SubscribeRequest Asked_;
    TimePoint AskedAt_;
  };
  struct PendingChange {
    std::vector<ControlRequestId> Queries_;
    /// The configuration that the change must bring into force, if it is one.
    ConfigurationVersion Version_;
  };

  // Replication, writes and their failures.
  void on(const ReplicationMessage &Received, TimePoint Now, Effects &) {
    Log_.handle(Received, Now, LogEffects_);
  }
  void on(const Persisted &Done, TimePoint Now, Effects &) {
    Log_.handle(Done, Now, LogEffects_);
  }
  void on(const PersistFailed &Failed, TimePoint Now, Effects &) {
    Log_.handle(Failed, Now, LogEffects_);
  }

  // Instances and operators.
  void on(const AnnounceRequest &Said, TimePoint Now, Effects &Out) {
    if (isCurrent(Now) && !Registry_.isNews(Said.Record_))
      return answer(Said.RequestId_,
                    Acknowledged{nearbyMember(members(), Said.Record_)}, Out);
    change(Said.RequestId_, StoreInstance{Said.Record_}, Now, Out);
  }
  void on(const DeregisterRequest &Said, TimePoint Now, Effects &Out) {
    const InstanceRecord *Known = Registry_.find(Said.Id_);
    Incarnation UpTo =
        Said.Version_.value_or(Known ? Known->Version_ : Incarnation());
    bool IsGone = !Known || Known->Version_ > UpTo;
    if (Log_.isLeader() && IsGone)
      return answer(Said.RequestId_, Acknowledged{}, Out);
    change(Said.RequestId_, RemoveInstance{Said.Id_, UpTo}, Now, Out);
  }
  void on(const DocumentWriteRequest &Offered, TimePoint Now, Effects &Out) {
    if (Log_.isLeader() && Offered.Document_.Version_ <= Registry_.version())
      return answer(Offered.RequestId_, Acknowledged{}, Out);
    // The log applies commands in order, so that the newest document in it is
    // in force when this one's turn comes.
    if (!Newest_ || Newest_->Version_ < Registry_.version())
      Newest_ = Registry_.document();
    // One that is overtaken by another under way waits for that one.
    if (Newest_ && Newest_->Version_ >= Offered.Document_.Version_)
      if (auto Found = Changes_.find(NewestProposal_); Found != Changes_.end())
        return Found->second.Queries_.push_back(Offered.RequestId_);
    std::optional<DocumentDelta> Delta;
    if (Newest_ && Newest_->Version_ < Offered.Document_.Version_)
      Delta = deltaBetween(*Newest_, Offered.Document_);
    if (Delta)
      change(Offered.RequestId_, *Delta, Now, Out);
    else
      change(Offered.RequestId_, Offered.Document_, Now, Out);
    if (Log_.isLeader() &&
        (!Newest_ || Newest_->Version_ < Offered.Document_.Version_)) {
      Newest_ = Offered.Document_;
      NewestProposal_ = LastProposal_;
    }
  }
  void on(const DocumentReadRequest &Asked, TimePoint Now, Effects &Out) {
    if (refer(Asked.RequestId_, Out))
      return;
    LastRead_ = LastRead_.next();
    Reads_[LastRead_] = Asked.RequestId_;
    Log_.handle(ReadIndex{LastRead_}, Now, LogEffects_);
  }

  /// Proposes a command that is acknowledged once it is committed.
  void change(ControlRequestId Query, const RegistryCommand &Command,
              TimePoint Now, Effects &Out) {
    if (refer(Query, Out))
      return;
    LastProposal_ = LastProposal_.next();
    Changes_[LastProposal_] = PendingChange{{Query}, versionOf(Command)};
    Log_.handle(Propose{LastProposal_, Codec::encodeCommand(Command)}, Now,
                LogEffects_);
  }
  /// Answers at once when another member has to decide.
  bool refer(ControlRequestId Query, Effects &Out) {
    if (Log_.isLeader())
      return false;
    if (Log_.leader())
      answer(Query, RedirectToLeader{*Log_.leader()}, Out);
    else
      answer(Query, NotAvailable{"no leader of the control members is known"},
             Out);
    return true;
  }

  // Gateways and other control members.
  void on(const SubscriptionReceived &Received, TimePoint Now, Effects &Out) {
    std::visit(Overloaded{
                   [&](const SubscribeRequest &Asked) {
                     subscribe(Received.From_, Asked, Now, Out);
                   },
                   [&](const AttemptReport &Report) {
                     replaceRetries(Received.From_, Report, Out);
                     take(Report.Instances_, Now, Out);
                   },
                   [&](const FollowerReport &Report) {
                     Domains_.learn({Received.From_, Report.Domain_});
                     take(Report.Instances_, Now, Out);
                   },
                   [&](const LeaderUpdate &Judged) {
                     if (Log_.leader() == Received.From_)
                       follow(Judged, Now, Out);
                   },
                   [](const auto &) {},
               },
               Received.Message_);
  }

  void subscribe(const MemberId &From, const SubscribeRequest &Asked,
                 TimePoint Now, Effects &Out) {
    // The first member that is current answers those that know nothing yet.
    // Others ask again, the nearest member first.
    if (!isCurrent(Now)) {
      if (Asked.Revision_ == LogIndex() &&
          Early_.size() < SubscriberTable::Greatest)
        Early_[From] = {Asked, Now};
      return send(From, RegistryStale{}, Out);
    }
    if (Asked.Revision_ > Revision_ ||
        !Subscribers_.renew(From, Asked.Revision_, Now))
      return;
    if (Asked.Revision_ == Revision_ && Revision_ > LogIndex()) {
      RegistryHeartbeat Current{Revision_, EjectedInstances_, {}};
      std::vector<ControlMember> Known = members();
      if (Asked.Members_ != digestOf(Known))
        Current.Members_ = std::move(Known);
      return send(From, std::move(Current), Out);
    }
    if (!Subscribers_.takeWholeTurn(From, Now))
      return;
    RegistryUpdate Whole;
    Whole.Revision_ = Revision_;
    if (Registry_.document() && Asked.Version_ < Registry_.version())
      Whole.Document_ = Registry_.document();
    for (const auto &[Id, Record] : Registry_.instances())
      Whole.Instances_.push_back(Record);
    Whole.Members_ = members();
    send(From, std::move(Whole), Out);
    Subscribers_.noteSent(From, Revision_);
  }

  void answerEarly(TimePoint Now, Effects &Out) {
    std::map<MemberId, EarlySubscriber> Asked;
    Asked.swap(Early_);
    for (const auto &[From, Each] : Asked)
      if (Now < Each.AskedAt_ + Settings_.EarlyLifetime_)
        subscribe(From, Each.Asked_, Now, Out);
  }

  void replaceRetries(const MemberId &From, const AttemptReport &Report,
                      Effects &Out) {
    const std::size_t Members = Log_.members().Voters_.size();
    for (const AttemptCounts &Each : Report.Instances_)
      if (const InstanceRecord *Known = Registry_.find(Each.Id_))
        Retries_.deposit(Known->Service_, Each.total(), Members);
    RetriesGranted Replacement;
    for (const RetryCount &Each : Report.SpentRetries_)
      if (EventCount Granted = Retries_.withdraw(Each.Service_, Each.Retries_);
          Granted > EventCount(0))
        Replacement.Retries_.push_back(RetryCount{Each.Service_, Granted});
    if (!Replacement.Retries_.empty())
      send(From, std::move(Replacement), Out);
  }

  void take(const std::vector<AttemptCounts> &Seen, TimePoint Now,
            Effects &Out) {
    bool HasFailure = false;
    for (const AttemptCounts &Each : Seen) {
      Board_.record(Each, Now);
      AttemptCounts &Sum = Unreported_[Each.Id_];
      Sum.Id_ = Each.Id_;
      Sum += Each;
      HasFailure = HasFailure || Each.hasFailure();
    }
    if (HasFailure)
      report(Now, Out);
  }

  void follow(const LeaderUpdate &Judged, TimePoint Now, Effects &Out) {
    JudgedAt_ = Now;
    for (const ControlMember &Each : Judged.Members_)
      Domains_.learn(Each);
    setSuspects(Judged.EjectedInstances_, Now, Out);
  }

  void setSuspects(std::vector<InstanceId> Suspects, TimePoint Now,
                   Effects &Out) {
    if (Suspects == EjectedInstances_)
      return;
    bool HasNew =
        !std::includes(EjectedInstances_.begin(), EjectedInstances_.end(),
                       Suspects.begin(), Suspects.end());
    EjectedInstances_ = std::move(Suspects);
    Out.emplace_back(EjectedInstancesChanged{EjectedInstances_});
    // The end of a suspicion can wait for the next announcement; new ones are
    // told together where they come in quick succession.
    if (HasNew)
      NextCurrent_ = std::min(
          NextCurrent_, std::max(Now, ToldAt_ + Settings_.HasteInterval_));
  }

  void tellSubscribers(TimePoint Now, Effects &Out) {
    const bool WasCurrent = std::exchange(WasCurrent_, isCurrent(Now));
    if (!WasCurrent_ && !WasCurrent)
      return;
    NotifySubscribers Told;
    for (const auto &[Id, Each] : Subscribers_.all())
      Told.To_.push_back(Id);
    if (WasCurrent_)
      Told.Message_ = RegistryHeartbeat{Revision_, EjectedInstances_, {}};
    else
      Told.Message_ = RegistryStale{};
    Out.emplace_back(std::move(Told));
  }

  void announceCurrent(TimePoint Now, Effects &Out) {
    NextCurrent_ = Now + Settings_.CurrentInterval_;
    ToldAt_ = Now;
    Subscribers_.expire(Now);
    if (!Log_.isLeader() && Now > JudgedAt_ + 3 * Settings_.ReportInterval_)
      EjectedInstances_.clear();
    if (Log_.isLeader())
      judge(Now, Out);
    tellSubscribers(Now, Out);
  }

  /// A follower passes its evidence to the leader; the leader tells followers
  /// what it concludes.
  void report(TimePoint Now, Effects &Out) {
    NextReport_ = Now + Settings_.ReportInterval_;
    if (Log_.isLeader()) {
      Unreported_.clear();
      judge(Now, Out);
      return;
    }
    if (!Log_.leader())
      return;
    FollowerReport Report;
    Report.Domain_ = Settings_.Domain_;
    for (auto &[Id, Each] : Unreported_)
      Report.Instances_.push_back(std::move(Each));
    Unreported_.clear();
    send(*Log_.leader(), std::move(Report), Out);
  }

  void judge(TimePoint Now, Effects &Out) {
    std::vector<InstanceId> Suspected =
        Board_.suspects(Registry_, Settings_.Floor_, Now);
    if (Suspected == EjectedInstances_)
      return;
    bool HasNew =
        !std::includes(EjectedInstances_.begin(), EjectedInstances_.end(),
                       Suspected.begin(), Suspected.end());
    setSuspects(std::move(Suspected), Now, Out);
    if (HasNew)
      NextJudgement_ =
          std::min(NextJudgement_,
                   std::max(Now, JudgementToldAt_ + Settings_.HasteInterval_));
  }

  void tellFollowers(TimePoint Now, Effects &Out) {
    NextJudgement_ = Now + Settings_.ReportInterval_;
    JudgementToldAt_ = Now;
    for (const Voter &Each : Log_.members().Voters_)
      if (Each.Id_ != Settings_.Self_)
        send(Each.Id_, LeaderUpdate{EjectedInstances_, members()}, Out);
  }

  std::vector<ControlMember> members() const {
    return Domains_.list(Log_.members(), {Settings_.Self_, Settings_.Domain_});
  }

  /// Applies the log's effects; each may cause further ones.
  void settle(TimePoint Now, Effects &Out) {
    for (std::size_t Index = 0; Index < LogEffects_.size(); ++Index) {
      ReplicationEffect Each = std::move(LogEffects_[Index]);
      std::visit([&](auto &Inner) { apply(Inner, Now, Out); }, Each);
    }
    LogEffects_.clear();
    if (Log_.leader() == KnownLeader_ && Log_.term() == KnownTerm_)
      return;
    if (isCurrent(Now))
      answerEarly(Now, Out);
    bool IsNewLeader = Log_.leader() != KnownLeader_;
    KnownLeader_ = Log_.leader();
    KnownTerm_ = Log_.term();
    // What an earlier leader appended may be lost.
    if (IsNewLeader)
      Newest_.reset();
    if (IsNewLeader)
      Out.emplace_back(LeaderChanged{KnownLeader_, KnownTerm_});
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
  void apply(CommitCommand &Committed, TimePoint Now, Effects &Out) {
    auto Command = Codec::decodeCommand(Committed.Payload_);
    if (!Command) {
      Log_.handle(PersistFailed{Command.error()}, Now, LogEffects_);
      return;
    }
    std::optional<StoredDocument> Before;
    if (versionOf(Command.value()) > Registry_.version())
      Before = Registry_.document();
    RegistryChange Change = Registry_.apply(Command.value());
    if (Change.isEmpty())
      return;
    publish(Committed.Index_, Before, Change, Out);
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
    // Subscribers at other revisions ask for the whole registry.
    Revision_ = Install.LastIndex_;
  }
  void apply(TakeSnapshot &Take, TimePoint Now, Effects &) {
    Log_.handle(
        SnapshotTaken{Take.Index_, Codec::encodeState(Registry_.state())}, Now,
        LogEffects_);
  }
  void apply(ProposalAnswer &Decided, TimePoint, Effects &Out) {
    auto Found = Changes_.find(Decided.Id_);
    if (Found == Changes_.end())
      return;
    PendingChange Pending = std::move(Found->second);
    Changes_.erase(Found);
    ControlReplyBody Reply = Acknowledged{};
    if (!Decided.Answer_)
      Reply = NotAvailable{Decided.Answer_.error().Message_};
    else if (Registry_.version() < Pending.Version_)
      Reply = NotAvailable{"the change does not continue the configuration in "
                           "force"};
    for (ControlRequestId Each : Pending.Queries_)
      answer(Each, Reply, Out);
  }
  void apply(ReadAnswer &Decided, TimePoint, Effects &Out) {
    auto Found = Reads_.find(Decided.Id_);
    if (Found == Reads_.end())
      return;
    ControlRequestId Query = Found->second;
    Reads_.erase(Found);
    if (!Decided.Answer_)
      answer(Query, NotAvailable{Decided.Answer_.error().Message_}, Out);
    else if (!Registry_.document())
      answer(Query, NotAvailable{"no configuration has been accepted yet"},
             Out);
    else
      answer(Query, *Registry_.document(), Out);
  }

  void publish(LogIndex Revision, const std::optional<StoredDocument> &Before,
               RegistryChange &Change, Effects &Out) {
    LogIndex Since = Revision_;
    Revision_ = Revision;
    // What is known of an instance ends with its start.
    for (const InstanceRecord &Each : Change.Instances_)
      if (Each.State_ != InstanceState::Draining)
        Board_.forget(Each.Id_);
    RegistryUpdate Update;
    Update.BaseRevision_ = Since;
    Update.Revision_ = Revision;
    if (Change.IsDocumentNew_ && Before)
      Update.Delta_ = deltaBetween(*Before, *Registry_.document());
    if (Change.IsDocumentNew_ && !Update.Delta_)
      Update.Document_ = Registry_.document();
    Update.Instances_ = std::move(Change.Instances_);
    NotifySubscribers Told;
    for (const auto &[Id, Each] : Subscribers_.all())
      if (Each.Revision_ == Since)
        Told.To_.push_back(Id);
    for (const MemberId &Each : Told.To_)
      Subscribers_.noteSent(Each, Revision);
    Told.Message_ = std::move(Update);
    Out.emplace_back(std::move(Told));
  }

  void send(const MemberId &To, SubscriptionMessage Message, Effects &Out) {
    Out.emplace_back(SendSubscription{To, std::move(Message)});
  }
  void answer(ControlRequestId Query, ControlReplyBody Body, Effects &Out) {
    Out.emplace_back(ControlRequestAnswered{Query, std::move(Body)});
  }

  ControlSettings Settings_;
  ReplicatedLog Log_;
  VoterPolicy Voters_;
  std::vector<ReplicationEffect> LogEffects_;
  ServiceRegistry Registry_;
  /// Index of the last command that changed the registry.
  LogIndex Revision_;
  SubscriberTable Subscribers_;
  /// Gateways that asked while this member was not current.
  std::map<MemberId, EarlySubscriber> Early_;
  OutlierDetector Board_;
  std::vector<InstanceId> EjectedInstances_;
  TimePoint JudgedAt_{};
  /// At the last announcement.
  bool WasCurrent_ = false;
  MemberDomains Domains_;
  RetryPool Retries_;
  std::map<InstanceId, AttemptCounts> Unreported_;
  std::map<ProposalId, PendingChange> Changes_;
  /// The newest document in the log, committed or not.
  std::optional<StoredDocument> Newest_;
  ProposalId NewestProposal_;
  std::map<ReadId, ControlRequestId> Reads_;
  ProposalId LastProposal_;
  ReadId LastRead_;
  std::optional<MemberId> KnownLeader_;
  Term KnownTerm_;
  TimePoint NextCurrent_{};
  TimePoint NextReport_{};
  TimePoint NextJudgement_{};
  TimePoint ToldAt_{};
  TimePoint JudgementToldAt_{};
};

} // namespace jaybridge
