#pragma once

#include <LibRegistry/ControlMessages.h>
#include <LibRegistry/ControlSettings.h>
#include <LibRegistry/PendingDocument.h>
#include <LibRegistry/ServiceRegistry.h>

#include <LibReplication/ReplicatedLog.h>

#include <map>
#include <utility>
#include <vector>

namespace jaybridge {

/// The log and the registry of a control member, for the duration of a call.
struct RegistryReplica {
  ReplicatedLog &Log_;
  const ServiceRegistry &Registry_;
  /// Receives the effects of the log.
  std::vector<ReplicationEffect> &LogEffects_;
};

/// The requests of instances and operators that a control member answers
/// through the replicated log. Each is answered once: when its change is
/// committed, when its read is confirmed by a majority, or when it failed.
template <RegistryEncoding Codec> class RegistryRequests {
public:
  using Effects = std::vector<ControlEffect>;

  /// Stores a complete configuration, as a delta to its predecessor if that is
  /// shorter.
  void write(const DocumentWriteRequest &Request, const RegistryReplica &At,
             TimePoint Now, Effects &Out) {
    if (redirectToLeader(Request.RequestId_, At, Out))
      return;
    // The entries of earlier leaders may contain this version or later ones.
    if (!At.Log_.hasCommittedInTerm())
      return deferWrite(Request, Out);
    const ConfigurationVersion Version = Request.Document_.Version_;
    if (Version <= At.Registry_.version())
      return answer(Request.RequestId_, Acknowledged{}, Out);
    // A version that is not newer than the pending one needs no log entry: it
    // is answered together with the pending change.
    if (auto Proposal = PendingDocument_.proposalOf(Version))
      if (auto Found = PendingChanges_.find(*Proposal);
          Found != PendingChanges_.end())
        return Found->second.Requests_.push_back(Request.RequestId_);
    std::optional<DocumentDelta> Delta;
    if (const auto &Base = PendingDocument_.base(At.Registry_.document()))
      Delta = computeDelta(*Base, Request.Document_);
    RegistryCommand Command = Request.Document_;
    if (Delta)
      Command = std::move(*Delta);
    if (propose(Request.RequestId_, Command, At, Now, Out))
      PendingDocument_.add(Request.Document_, LastProposal_);
  }

  void read(const DocumentReadRequest &Request, const RegistryReplica &At,
            TimePoint Now, Effects &Out) {
    if (redirectToLeader(Request.RequestId_, At, Out))
      return;
    LastRead_ = LastRead_.next();
    PendingReads_[LastRead_] = Request.RequestId_;
    At.Log_.handle(ReadIndexRequest{LastRead_}, Now, At.LogEffects_);
  }

  /// Proposes a command and answers the request once it is committed. Returns
  /// whether the command was added to the log.
  bool propose(ControlRequestId RequestId, const RegistryCommand &Command,
               const RegistryReplica &At, TimePoint Now, Effects &Out) {
    if (redirectToLeader(RequestId, At, Out))
      return false;
    LastProposal_ = LastProposal_.next();
    PendingChanges_[LastProposal_] =
        PendingChange{{RequestId}, versionOf(Command)};
    const LogIndex LastIndex = At.Log_.entries().lastIndex();
    At.Log_.handle(
        ProposalRequest{LastProposal_, Codec::encodeCommand(Command)}, Now,
        At.LogEffects_);
    return At.Log_.entries().lastIndex() > LastIndex;
  }

  /// Handles the writes that waited until this leader has applied its log, or
  /// redirects them if this member no longer leads.
  void handleDeferredWrites(const RegistryReplica &At, TimePoint Now,
                            Effects &Out) {
    if (At.Log_.isLeader() && !At.Log_.hasCommittedInTerm())
      return;
    for (const DocumentWriteRequest &Request :
         std::exchange(DeferredWrites_, {}))
      write(Request, At, Now, Out);
  }

  void settle(const ProposalResponse &Decided, const ServiceRegistry &Registry,
              Effects &Out) {
    auto Found = PendingChanges_.find(Decided.Id_);
    if (Found == PendingChanges_.end())
      return;
    PendingChange Pending = std::move(Found->second);
    PendingChanges_.erase(Found);
    PendingDocument_.settle(Decided.Id_);
    ControlReplyBody Reply = Acknowledged{};
    if (!Decided.Answer_)
      Reply = NotAvailable{Decided.Answer_.error().Message_};
    else if (Registry.version() < Pending.Version_)
      Reply =
          NotAvailable{"the change is not based on the configuration in force"};
    for (ControlRequestId RequestId : Pending.Requests_)
      answer(RequestId, Reply, Out);
  }

  void settle(const ReadIndexResponse &Decided, const ServiceRegistry &Registry,
              Effects &Out) {
    auto Found = PendingReads_.find(Decided.Id_);
    if (Found == PendingReads_.end())
      return;
    ControlRequestId RequestId = Found->second;
    PendingReads_.erase(Found);
    if (!Decided.Answer_)
      answer(RequestId, NotAvailable{Decided.Answer_.error().Message_}, Out);
    else if (!Registry.document())
      answer(RequestId, NotAvailable{"no configuration has been accepted yet"},
             Out);
    else
      answer(RequestId, *Registry.document(), Out);
  }

  static void answer(ControlRequestId RequestId, ControlReplyBody Body,
                     Effects &Out) {
    Out.emplace_back(ControlRequestAnswered{RequestId, std::move(Body)});
  }

private:
  /// As many changes as operators have in progress at once.
  static constexpr std::size_t MaxDeferredWrites = 8;

  struct PendingChange {
    std::vector<ControlRequestId> Requests_;
    /// The configuration version that must be in force after the change; 0 if
    /// the change sets none.
    ConfigurationVersion Version_;
  };

  /// Keeps the request until this leader has applied its log.
  void deferWrite(const DocumentWriteRequest &Request, Effects &Out) {
    if (DeferredWrites_.size() >= MaxDeferredWrites)
      return answer(Request.RequestId_,
                    NotAvailable{"the leader has not applied its log yet"},
                    Out);
    DeferredWrites_.push_back(Request);
  }

  /// If this member is not the leader, answers the request with a redirect or
  /// an error and returns true.
  static bool redirectToLeader(ControlRequestId RequestId,
                               const RegistryReplica &At, Effects &Out) {
    if (At.Log_.isLeader())
      return false;
    if (At.Log_.leader())
      answer(RequestId, RedirectToLeader{*At.Log_.leader()}, Out);
    else
      answer(RequestId,
             NotAvailable{"no leader of the control members is known"}, Out);
    return true;
  }

  std::map<ProposalId, PendingChange> PendingChanges_;
  PendingDocument PendingDocument_;
  std::vector<DocumentWriteRequest> DeferredWrites_;
  std::map<ReadId, ControlRequestId> PendingReads_;
  ProposalId LastProposal_;
  ReadId LastRead_;
};

} // namespace jaybridge
