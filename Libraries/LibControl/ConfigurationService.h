#pragma once

#include <LibControl/OperatorRequests.h>

#include <map>

namespace jaybridge {

/// Configuration role of a daemon. Sends the requests of operators to a control
/// member. On a control member, also proposes changes to the replicated log and
/// applies the committed ones to the catalog.
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
    std::visit([&](const auto &Event) { handleEvent(Event, Now, Out); },
               Incoming);
  }
  void advance(TimePoint Now, Effects &Out) {
    Requests_.advance(Now, Out);
    if (!Log_)
      return;
    Log_->advance(Now, LogEffects_);
    processLogEffects(Now, Out);
  }
  std::optional<TimePoint> nextDeadline() const {
    auto Earliest = Requests_.nextDeadline();
    if (!Log_)
      return Earliest;
    auto Due = Log_->nextDeadline();
    return Due && (!Earliest || *Due < *Earliest) ? Due : Earliest;
  }

private:
  struct Requester {
    MemberId Member_;
    QueryId Query_;
  };
  struct PendingChange {
    Requester Requester_;
    ChangeRequestId RequestId_;
  };

  // Requests of the operators of this daemon. A control member sends them to
  // itself in the same way, so that there is a single code path.
  void handleEvent(const OperatorChangeRequest &Request, TimePoint Now,
                   Effects &Out) {
    Requests_.submit(Request, knownLeader(), Now, Out);
  }
  void handleEvent(const OperatorCatalogRequest &Request, TimePoint Now,
                   Effects &Out) {
    Requests_.submit(Request, knownLeader(), Now, Out);
  }
  std::optional<MemberId> knownLeader() const {
    return Log_ ? Log_->leader() : std::nullopt;
  }

  void handleEvent(const FromMember<ConfigurationMessage> &Incoming,
                   TimePoint Now, Effects &Out) {
    std::visit(Overloaded{
                   [&](const ChangeRequest &Request) {
                     propose(Incoming.From_, Request, Now, Out);
                   },
                   [&](const CatalogRequest &Request) {
                     startRead(Incoming.From_, Request, Now, Out);
                   },
                   [&](const auto &Response) {
                     Requests_.receive(Response, Now, Out);
                   },
               },
               Incoming.Message_);
  }

  /// Messages of replication, and completed and failed writes.
  template <typename LogEvent>
  void handleEvent(const LogEvent &Incoming, TimePoint Now, Effects &Out) {
    passToLog(Incoming, Now, Out);
  }

  void propose(const MemberId &From, const ChangeRequest &Request,
               TimePoint Now, Effects &Out) {
    if (!Log_)
      return;
    LastProposalId_ = LastProposalId_.next();
    PendingChanges_[LastProposalId_] =
        PendingChange{{From, Request.Query_}, Request.Change_.RequestId_};
    passToLog(ProposalRequest{LastProposalId_, Codec::encode(Request.Change_)},
              Now, Out);
  }

  void startRead(const MemberId &From, const CatalogRequest &Request,
                 TimePoint Now, Effects &Out) {
    if (!Log_)
      return;
    LastReadId_ = LastReadId_.next();
    PendingReads_[LastReadId_] = Requester{From, Request.Query_};
    passToLog(ReadIndexRequest{LastReadId_}, Now, Out);
  }

  template <typename LogEvent>
  void passToLog(LogEvent Incoming, TimePoint Now, Effects &Out) {
    if (!Log_)
      return;
    Log_->handle(std::move(Incoming), Now, LogEffects_);
    processLogEffects(Now, Out);
  }

  /// Indexed loop, because applying an effect may append further ones.
  void processLogEffects(TimePoint Now, Effects &Out) {
    for (std::size_t Index = 0; Index < LogEffects_.size(); ++Index) {
      ReplicationEffect Pending = std::move(LogEffects_[Index]);
      std::visit([&](auto &Effect) { apply(Effect, Now, Out); }, Pending);
    }
    LogEffects_.clear();
    LeadershipChanged Current{Log_->role(), Log_->leader(), Log_->term()};
    if (Current == Leadership_)
      return;
    Leadership_ = Current;
    Out.emplace_back(std::move(Current));
  }

  void apply(SendReplication &Send, TimePoint, Effects &Out) {
    Out.emplace_back(std::move(Send));
  }
  void apply(PersistLog &Persist, TimePoint, Effects &Out) {
    Out.emplace_back(std::move(Persist));
  }
  void apply(MemberStopped &Stopped, TimePoint, Effects &Out) {
    Out.emplace_back(std::move(Stopped));
  }

  void apply(ApplyCommand &Committed, TimePoint, Effects &Out) {
    auto Change = Codec::decodeChange(Committed.Payload_);
    // Changes are decoded and checked before they are proposed.
    JAYBRIDGE_VERIFY(Change.hasValue());
    ConfigurationVersion Before = Catalog_.version();
    auto Applied = Catalog_.apply(Change.value());
    if (Catalog_.version() > Before)
      Out.emplace_back(ChangeCommitted{Catalog_.version(), Committed.Payload_});
    Out.emplace_back(makeAuditEntry(Change.value(), Applied));
  }

  void apply(InstallSnapshot &Install, TimePoint Now, Effects &Out) {
    auto Snapshot = Codec::decodeSnapshot(Install.State_);
    auto Catalog = Snapshot ? ConfigurationCatalog::create(Snapshot.value())
                            : Result<ConfigurationCatalog>(Snapshot.error());
    if (!Catalog) {
      reportDamage(Catalog.error(), Now);
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

  void apply(ProposalResponse &Completed, TimePoint, Effects &Out) {
    auto Found = PendingChanges_.find(Completed.Id_);
    if (Found == PendingChanges_.end())
      return;
    PendingChange Pending = std::move(Found->second);
    PendingChanges_.erase(Found);
    ChangeResponse Response{
        Pending.Requester_.Query_, changeResult(Pending, Completed), {}};
    if (!Completed.Answer_ && !Completed.IsAppended_)
      Response.LeaderHint_ = leaderHint(Completed.Leader_);
    respond(Pending.Requester_.Member_, std::move(Response), Out);
  }

  void apply(ReadIndexResponse &Completed, TimePoint, Effects &Out) {
    auto Found = PendingReads_.find(Completed.Id_);
    if (Found == PendingReads_.end())
      return;
    Requester Pending = std::move(Found->second);
    PendingReads_.erase(Found);
    CatalogResponse Response{
        Pending.Query_, Catalog_.snapshotWithoutHistory(), {}};
    // The log answers once the read index is committed. Commands are applied as
    // they commit, so the catalog includes all of them up to this index.
    if (!Completed.Answer_)
      Response.Answer_ =
          Error{ErrorCode::Unavailable,
                "this control member could not confirm that its catalog is "
                "current",
                {}};
    if (!Completed.Answer_)
      Response.LeaderHint_ = leaderHint(Completed.Leader_);
    respond(Pending.Member_, std::move(Response), Out);
  }

  Result<ConfigurationVersion>
  changeResult(const PendingChange &Pending,
               const ProposalResponse &Completed) const {
    if (!Completed.Answer_)
      return Completed.Answer_.error();
    auto Entry = Catalog_.auditOf(Pending.RequestId_);
    if (!Entry)
      return Error{ErrorCode::Unavailable,
                   "the result of the change is no longer stored",
                   {}};
    if (Entry->isAccepted())
      return std::get<ConfigurationVersion>(Entry->Outcome_);
    return std::get<Error>(Entry->Outcome_);
  }

  /// The known leader, unless it is this member.
  std::optional<MemberId>
  leaderHint(const std::optional<MemberId> &Leader) const {
    return Leader && *Leader != Self_ ? Leader : std::nullopt;
  }

  template <typename Message>
  void respond(const MemberId &To, Message Response, Effects &Out) {
    Out.emplace_back(SendToMember<ConfigurationMessage>{
        To, ConfigurationMessage(std::move(Response))});
  }

  /// Stops this member, as after a failed write.
  void reportDamage(const Error &Reason, TimePoint Now) {
    Log_->handle(PersistFailed{Reason}, Now, LogEffects_);
  }

  static AuditEntry
  makeAuditEntry(const ConfigurationChange &Change,
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
  ProposalId LastProposalId_;
  ReadId LastReadId_;
  std::map<ProposalId, PendingChange> PendingChanges_;
  std::map<ReadId, Requester> PendingReads_;
};

} // namespace jaybridge
