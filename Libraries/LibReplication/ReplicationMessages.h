#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>
#include <LibReplication/LogEntry.h>

namespace jaybridge {

/// Numbers the requests of one leader, to tell which request an answer is for.
using ReplicationRound = Ordinal<struct ReplicationRoundTag>;
/// Numbers the writes that a member asks its storage for.
using PersistSequence = Ordinal<struct PersistSequenceTag>;
using ProposalId = Ordinal<struct ProposalIdTag>;
using ReadId = Ordinal<struct ReadIdTag>;
using SnapshotOffset = Quantity<struct SnapshotOffsetTag, std::uint64_t>;

// Messages between members.

/// A pre-vote asks whether an election could be won, without a new term.
struct VoteRequest {
  bool IsPreVote_ = false;
  LogIndex LastIndex_;
  Term LastTerm_;
  friend bool operator==(const VoteRequest &, const VoteRequest &) = default;
};

struct VoteAnswer {
  bool IsPreVote_ = false;
  bool IsGranted_ = false;
  Term RequestedTerm_;
  friend bool operator==(const VoteAnswer &, const VoteAnswer &) = default;
};

/// Without entries it is a heartbeat.
struct AppendRequest {
  LogIndex PreviousIndex_;
  Term PreviousTerm_;
  std::vector<LogEntry> Entries_;
  LogIndex CommitIndex_;
  ReplicationRound Round_;
  friend bool operator==(const AppendRequest &,
                         const AppendRequest &) = default;
};

/// Accepted: the log equals the leader's up to `MatchIndex_` and is synced.
/// Otherwise `MatchIndex_` is the last index at which it may be equal.
struct AppendAnswer {
  bool IsAccepted_ = false;
  LogIndex MatchIndex_;
  ReplicationRound Round_;
  friend bool operator==(const AppendAnswer &, const AppendAnswer &) = default;
};

/// One piece of a snapshot's state.
struct SnapshotRequest {
  LogIndex LastIndex_;
  Term LastTerm_;
  VoterSet Members_;
  SnapshotOffset Offset_;
  ByteCount TotalSize_;
  std::string Piece_;
  ReplicationRound Round_;
  friend bool operator==(const SnapshotRequest &,
                         const SnapshotRequest &) = default;
};

struct SnapshotAnswer {
  LogIndex LastIndex_;
  SnapshotOffset NextOffset_;
  ReplicationRound Round_;
  friend bool operator==(const SnapshotAnswer &,
                         const SnapshotAnswer &) = default;
};

/// Sent by a member whose folder is empty or not named by the voters.
struct JoinRequest {
  bool IsEmpty_ = false;
  friend bool operator==(const JoinRequest &, const JoinRequest &) = default;
};

/// The first entry of a new log, for members whose folders were all empty.
struct FormationOffer {
  LogEntry First_;
  friend bool operator==(const FormationOffer &,
                         const FormationOffer &) = default;
};

/// Tells a member that entries which it had acknowledged are gone.
struct FolderOutdated {
  friend bool operator==(const FolderOutdated &,
                         const FolderOutdated &) = default;
};

using ReplicationBody =
    std::variant<VoteRequest, VoteAnswer, AppendRequest, AppendAnswer,
                 SnapshotRequest, SnapshotAnswer, JoinRequest, FormationOffer,
                 FolderOutdated>;

/// `Term_` is the term of the sender. A pre-vote asks about the term after it.
struct ReplicationMessage {
  Voter From_;
  Term Term_;
  ReplicationBody Body_;
  friend bool operator==(const ReplicationMessage &,
                         const ReplicationMessage &) = default;
};

// Events.

struct Propose {
  ProposalId Id_;
  std::string Payload_;
};

/// Asks which index a read must have seen to be current.
struct ReadIndex {
  ReadId Id_;
};

/// All writes up to this one are synced.
struct Persisted {
  PersistSequence Sequence_;
};

/// A write or sync failed; what the folder holds is uncertain.
struct PersistFailed {
  Error Reason_;
};

/// The state after the entry at `Index_` was applied.
struct SnapshotTaken {
  LogIndex Index_;
  std::string State_;
};

/// Lets Joining vote in the place of Leaving. Joining must have asked to join.
struct ReplaceMember {
  ProposalId Id_;
  std::optional<MemberId> Leaving_;
  MemberId Joining_;
};

using ReplicationEvent =
    std::variant<ReplicationMessage, Propose, ReadIndex, Persisted,
                 PersistFailed, SnapshotTaken, ReplaceMember>;

// Effects.

struct SendReplication {
  MemberId To_;
  ReplicationMessage Message_;
};

/// To be written in order and answered with `Persisted` once synced. A snapshot
/// replaces all earlier writes: vote and entries that stay come with it.
/// Without one, an entry replaces those with the same or a greater index.
struct PersistLog {
  PersistSequence Sequence_;
  std::optional<TermVote> Vote_;
  std::optional<LogSnapshot> Snapshot_;
  std::vector<LogEntry> Entries_;
};

/// The command is committed. Commands come in order, without a gap.
struct ApplyCommand {
  LogIndex Index_;
  std::string Payload_;
};

/// Replaces the applied state by that of a snapshot.
struct InstallSnapshot {
  LogIndex LastIndex_;
  std::string State_;
};

/// Asks for `SnapshotTaken` with the state as of now.
struct TakeSnapshot {
  LogIndex Index_;
};

/// Follows the commit of the proposal. An `Unavailable` proposal may or may not
/// be committed later unless `IsAppended_` is false.
struct ProposalAnswer {
  ProposalId Id_;
  Result<LogIndex> Answer_;
  bool IsAppended_ = false;
  std::optional<MemberId> Leader_;
};

struct ReadAnswer {
  ReadId Id_;
  Result<LogIndex> Answer_;
  std::optional<MemberId> Leader_;
};

/// The member takes no further part until it is restarted.
struct MemberStopped {
  Error Reason_;
};

using ReplicationEffect =
    std::variant<SendReplication, PersistLog, ApplyCommand, InstallSnapshot,
                 TakeSnapshot, ProposalAnswer, ReadAnswer, MemberStopped>;

} // namespace jaybridge
