#pragma once

#include <LibControl/OperatorRequests.h>

#include <map>

namespace jaybridge {

/// A daemon's part in the configuration: it passes operators' changes to the
/// control members and, on one of these, applies the replicated log to the
/// catalog.
template <ConfigurationEncoding Codec> class ConfigurationService {
public:
  using Event = ConfigurationEvent;
  using Effect = ConfigurationEffect;
  using Effects = std::vector<Effect>;

  ConfigurationService(MemberId Self, std::vector<MemberId> ControlMembers,
                       std::optional<ReplicatedLog> Log)
      : Self_(std::move(Self)), Requests_(std::move(ControlMembers)),
        Log_(std::move(Log)) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Out) {
    std::visit([&](const auto &Each) { on(Each, Now, Out); }, Incoming);
  }
  void advance(TimePoint Now, Effects &Out) {
    Requests_.advance(Now, Out);
    if (!Log_)
      return;
    Log_->advance(Now, LogEffects_);
    forwardLogEffects(Now, Out);
  }
  std::optional<TimePoint> nextDeadline() const {
    auto Earliest = Requests_.nextDeadline();
    if (!Log_)
      return Earliest;
    auto Due = Log_->nextDeadline();
    return Due && (!Earliest || *Due < *Earliest) ? Due : Earliest;
  }

private:
  struct Asker {
    MemberId Member_;
    QueryId Query_;
  };
  struct PendingChange {
    Asker Asker_;
    ChangeRequestId RequestId_;
  };

  // Operators at this daemon. A control member asks itself in the same way,
  // so that there is one path.
  void on(const OperatorChangeRequest &Asked, TimePoint Now, Effects &Out) {
    Requests_.ask(Asked, preferredMember(), Now, Out);
  }
  void on(const OperatorCatalogRequest &Asked, TimePoint Now, Effects &Out) {
    Requests_.ask(Asked, preferredMember(), Now, Out);
  }
  std::optional<MemberId> preferredMember() const {
    return Log_ ? Log_->leader() : std::nullopt;
  }

  void on(const FromMember<ConfigurationMessage> &Incoming, TimePoint Now,
          Effects &Out) {
    std::visit(Overloaded{
                   [&](const ChangeRequest &Each) {
                     propose(Incoming.From_, Each, Now, Out);
                   },
                   [&](const CatalogRequest &Each) {
                     read(Incoming.From_, Each, Now, Out);
                   },
                   [&](const auto &Each) { Requests_.receive(Each, Now, Out); },
               },
               Incoming.Message_);
  }

  /// Replication, writes and their failures.
  template <typename LogEvent>
  void on(const LogEvent &Incoming, TimePoint Now, Effects &Out) {
    feedLog(Incoming, Now, Out);
  }

  void propose(const MemberId &From, const ChangeRequest &Forwarded,
               TimePoint Now, Effects &Out) {
    if (!Log_)
      return;
    LastProposal_ = LastProposal_.next();
    Changes_[LastProposal_] =
        PendingChange{{From, Forwarded.Query_}, Forwarded.Change_.RequestId_};
    feedLog(Propose{LastProposal_, Codec::encode(Forwarded.Change_)}, Now, Out);
  }

  void read(const MemberId &From, const CatalogRequest &Forwarded,
            TimePoint Now, Effects &Out) {
    if (!Log_)
      return;
    LastRead_ = LastRead_.next();
    Reads_[LastRead_] = Asker{From, Forwarded.Query_};
    feedLog(ReadIndex{LastRead_}, Now, Out);
  }

  template <typename LogEvent>
  void feedLog(LogEvent Incoming, TimePoint Now, Effects &Out) {
    if (!Log_)
      return;
    Log_->handle(std::move(Incoming), Now, LogEffects_);
    forwardLogEffects(Now, Out);
  }

  /// Applying an effect may append further ones.
  void forwardLogEffects(TimePoint Now, Effects &Out) {
    for (std::size_t Index = 0; Index < LogEffects_.size(); ++Index) {
      ReplicationEffect Each = std::move(LogEffects_[Index]);
      std::visit([&](auto &Inner) { apply(Inner, Now, Out); }, Each);
    }
    LogEffects_.clear();
    LeadershipChanged Seen{Log_->role(), Log_->leader(), Log_->term()};
    if (Seen == Leadership_)
      return;
    Leadership_ = Seen;
    Out.emplace_back(std::move(Seen));
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

  void apply(CommitCommand &Committed, TimePoint, Effects &Out) {
    auto Change = Codec::decodeChange(Committed.Payload_);
    // Payloads are checked before they are proposed.
    JAYBRIDGE_VERIFY(Change.hasValue());
    ConfigurationVersion Before = Catalog_.version();
    auto Applied = Catalog_.apply(Change.value());
    if (Catalog_.version() > Before)
      Out.emplace_back(ChangeCommitted{Catalog_.version(), Committed.Payload_});
    Out.emplace_back(auditOf(Change.value(), Applied));
  }

  void apply(InstallSnapshot &Install, TimePoint Now, Effects &Out) {
    auto Snapshot = Codec::decodeSnapshot(Install.State_);
    auto Catalog = Snapshot ? ConfigurationCatalog::create(Snapshot.value())
                            : Result<ConfigurationCatalog>(Snapshot.error());
    if (!Catalog) {
      feedDamage(Catalog.error(), Now);
      return;
    }
    Catalog_ = Catalog.takeValue();
    Out.emplace_back(
        CatalogInstalled{Catalog_.version(), std::move(Install.State_)});
  }

  void apply(TakeSnapshot &Take, TimePoint Now, Effects &) {
    Log_->handle(SnapshotTaken{Take.Index_, Codec::encode(Catalog_.snapshot())},
                 Now, LogEffects_);
  }

  void apply(ProposalAnswer &Decided, TimePoint, Effects &Out) {
    auto Found = Changes_.find(Decided.Id_);
    if (Found == Changes_.end())
      return;
    PendingChange Pending = std::move(Found->second);
    Changes_.erase(Found);
    ChangeResponse Reply{Pending.Asker_.Query_, resultOf(Pending, Decided), {}};
    if (!Decided.Answer_ && !Decided.IsAppended_)
      Reply.LeaderHint_ = otherLeader(Decided.Leader_);
    reply(Pending.Asker_.Member_, std::move(Reply), Out);
  }

  void apply(ReadAnswer &Decided, TimePoint, Effects &Out) {
    auto Found = Reads_.find(Decided.Id_);
    if (Found == Reads_.end())
      return;
    Asker Asked = std::move(Found->second);
    Reads_.erase(Found);
    CatalogResponse Reply{Asked.Query_, Catalog_.snapshotInForce(), {}};
    // The index is committed, and commands are applied as they commit.
    if (!Decided.Answer_)
      Reply.Answer_ = Error{ErrorCode::Unavailable,
                            "this member's catalog may not be current",
                            {}};
    if (!Decided.Answer_)
      Reply.LeaderHint_ = otherLeader(Decided.Leader_);
    reply(Asked.Member_, std::move(Reply), Out);
  }

  Result<ConfigurationVersion> resultOf(const PendingChange &Pending,
                                        const ProposalAnswer &Decided) const {
    if (!Decided.Answer_)
      return Decided.Answer_.error();
    auto Entry = Catalog_.auditOf(Pending.RequestId_);
    if (!Entry)
      return Error{ErrorCode::Unavailable, "the answer was forgotten", {}};
    if (Entry->isAccepted())
      return std::get<ConfigurationVersion>(Entry->Outcome_);
    return std::get<Error>(Entry->Outcome_);
  }

  std::optional<MemberId>
  otherLeader(const std::optional<MemberId> &Leader) const {
    return Leader && *Leader != Self_ ? Leader : std::nullopt;
  }

  template <typename Reply>
  void reply(const MemberId &To, Reply Answer, Effects &Out) {
    Out.emplace_back(SendToMember<ConfigurationMessage>{
        To, ConfigurationMessage(std::move(Answer))});
  }

  void feedDamage(const Error &Reason, TimePoint Now) {
    Log_->handle(PersistFailed{Reason}, Now, LogEffects_);
  }

  static AuditEntry auditOf(const ConfigurationChange &Change,
                            const Result<ConfigurationVersion> &Applied) {
    AuditEntry Entry;
    Entry.At_ = Change.At_;
    Entry.Kind_ = Applied ? AuditKind::ConfigurationChanged
                          : AuditKind::ConfigurationRefused;
    Entry.Actor_ = Change.Author_.text();
    if (const auto *Assigned = std::get_if<AssignService>(&Change.Action_))
      Entry.Service_ = Assigned->Service_;
    Entry.BasedOn_ = Change.BasedOn_;
    Entry.RequestId_ = Change.RequestId_;
    Entry.Detail_ = describe(Change.Action_);
    Entry.Outcome_ = Applied ? "accepted" : Applied.error().Message_;
    if (Applied)
      Entry.Version_ = Applied.value();
    return Entry;
  }

  MemberId Self_;
  OperatorRequests Requests_;
  std::optional<ReplicatedLog> Log_;
  std::vector<ReplicationEffect> LogEffects_;
  LeadershipChanged Leadership_;
  ConfigurationCatalog Catalog_;
  ProposalId LastProposal_;
  ReadId LastRead_;
  std::map<ProposalId, PendingChange> Changes_;
  std::map<ReadId, Asker> Reads_;
};

} // namespace jaybridge
