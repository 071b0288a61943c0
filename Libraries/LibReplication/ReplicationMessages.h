#pragma once

#include <LibCore/Result.h>
#include <LibCore/Units.h>
#include <LibReplication/LogEntry.h>

namespace jaybridge {

/// Numbers the requests of a leader within its term; an answer carries the
/// round of its request.
using ReplicationRound = Ordinal<struct ReplicationRoundTag>;
/// Numbers the writes that a member requests from its storage.
using PersistSequence = Ordinal<struct PersistSequenceTag>;
using ProposalId = Ordinal<struct ProposalIdTag>;
using ReadId = Ordinal<struct ReadIdTag>;
using SnapshotOffset = Quantity<struct SnapshotOffsetTag, std::uint64_t>;

// Messages between members.

/// RequestVote of Raft. A pre-vote asks whether the sender could win an
/// election, without starting a new term.
struct VoteRequest {
  bool IsPreVote_ = false;
  LogIndex LastIndex_;
  Term LastTerm_;
  friend bool operator==(const VoteRequest &, const VoteRequest &) = default;
};

/// Answer to a `VoteRequest`.
struct VoteAnswer {
  bool IsPreVote_ = false;
  bool IsGranted_ = false;
  Term RequestedTerm_;
  friend bool operator==(const VoteAnswer &, const VoteAnswer &) = default;
};

/// AppendEntries of Raft. Without entries it is a heartbeat.
struct AppendRequest {
  LogIndex PreviousIndex_;
  Term PreviousTerm_;
  std::vector<LogEntry> Entries_;
  LogIndex CommitIndex_;
  ReplicationRound Round_;
  friend bool operator==(const AppendRequest &,
                         const AppendRequest &) = default;
};

/// Answer to an `AppendRequest`, or to a `SnapshotRequest` that needs no
/// further piece. When accepted, the log equals the leader's up to
/// `MatchIndex_` and is synced. Otherwise `MatchIndex_` is the last index at
/// which the logs may match.
struct AppendAnswer {
  bool IsAccepted_ = false;
  LogIndex MatchIndex_;
  ReplicationRound Round_;
  friend bool operator==(const AppendAnswer &, const AppendAnswer &) = default;
};

/// InstallSnapshot of Raft: one piece of the state of a snapshot.
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

/// Answer to a `SnapshotRequest`: asks for the piece at `NextOffset_`. The last
/// piece is answered with an `AppendAnswer`.
struct SnapshotAnswer {
  LogIndex LastIndex_;
  SnapshotOffset NextOffset_;
  ReplicationRound Round_;
  friend bool operator==(const SnapshotAnswer &,
                         const SnapshotAnswer &) = default;
};

/// Asks to become a voter. Sent periodically by a member whose data folder is
/// empty or is not in the voter set.
struct JoinRequest {
  bool IsEmpty_ = false;
  friend bool operator==(const JoinRequest &, const JoinRequest &) = default;
};

/// Offers the first entry of a new log to members whose data folders are all
/// empty.
struct FormationOffer {
  LogEntry First_;
  friend bool operator==(const FormationOffer &,
                         const FormationOffer &) = default;
};

/// Tells a member that its data folder lost entries that it had acknowledged.
struct FolderOutdated {
  friend bool operator==(const FolderOutdated &,
                         const FolderOutdated &) = default;
};

using ReplicationBody =
    std::variant<VoteRequest, VoteAnswer, AppendRequest, AppendAnswer,
                 SnapshotRequest, SnapshotAnswer, JoinRequest, FormationOffer,
                 FolderOutdated>;

/// Message between two members. `Term_` is the term of the sender; a pre-vote
/// asks about the term after it.
struct ReplicationMessage {
  Voter From_;
  Term Term_;
  ReplicationBody Body_;
  friend bool operator==(const ReplicationMessage &,
                         const ReplicationMessage &) = default;
};

// Events.

/// Proposes a command to be appended to the log.
struct ProposalRequest {
  ProposalId Id_;
  std::string Payload_;
};

/// Asks for the read index: a read of the state after the entry at that index
/// is linearizable (Ongaro's dissertation, section 6.4).
struct ReadIndexRequest {
  ReadId Id_;
};

/// All writes up to `Sequence_` are synced.
struct Persisted {
  PersistSequence Sequence_;
};

/// A write or sync failed; the content of the data folder is undefined.
struct PersistFailed {
  Error Reason_;
};

/// Answer to `TakeSnapshot`: the state after the entry at `Index_`.
struct SnapshotTaken {
  LogIndex Index_;
  std::string State_;
};

/// Replaces the voter `Leaving_` by `Joining_`, or adds a voter when there is
/// no `Leaving_`. `Joining_` must have sent a `JoinRequest`.
struct ReplaceMemberRequest {
  ProposalId Id_;
  std::optional<MemberId> Leaving_;
  MemberId Joining_;
};

using ReplicationEvent =
    std::variant<ReplicationMessage, ProposalRequest, ReadIndexRequest,
                 Persisted, PersistFailed, SnapshotTaken, ReplaceMemberRequest>;

// Effects.

/// Sends a message to another member.
struct SendReplication {
  MemberId To_;
  ReplicationMessage Message_;
};

/// Asks the storage to append a write. Writes are made in order, and each is
/// answered with `Persisted` once it is synced. A write with a snapshot
/// replaces all earlier writes and repeats the vote and the entries that
/// remain. Otherwise an entry replaces those with the same or a greater index.
struct PersistLog {
  PersistSequence Sequence_;
  std::optional<TermVote> Vote_;
  std::optional<LogSnapshot> Snapshot_;
  std::vector<LogEntry> Entries_;
};

/// Applies a committed command to the state. Commands come in log order,
/// without gaps.
struct ApplyCommand {
  LogIndex Index_;
  std::string Payload_;
};

/// Replaces the applied state by the state of a snapshot.
struct InstallSnapshot {
  LogIndex LastIndex_;
  std::string State_;
};

/// Requests a `SnapshotTaken` with the current state, which is that after the
/// entry at `Index_`.
struct TakeSnapshot {
  LogIndex Index_;
};

/// Result of a `ProposalRequest` or `ReplaceMemberRequest`, sent once its entry
/// is committed or it failed. After the error `Unavailable` the entry may still
/// be committed if `IsAppended_` is true.
struct ProposalResponse {
  ProposalId Id_;
  Result<LogIndex> Answer_;
  bool IsAppended_ = false;
  std::optional<MemberId> Leader_;
};

/// Result of a `ReadIndexRequest`: the read index, once a majority has
/// confirmed the leader and the entry is committed.
struct ReadIndexResponse {
  ReadId Id_;
  Result<LogIndex> Answer_;
  std::optional<MemberId> Leader_;
};

/// The member has stopped: until it is restarted it ignores messages and
/// refuses proposals and reads.
struct MemberStopped {
  Error Reason_;
};

using ReplicationEffect =
    std::variant<SendReplication, PersistLog, ApplyCommand, InstallSnapshot,
                 TakeSnapshot, ProposalResponse, ReadIndexResponse,
                 MemberStopped>;

} // namespace jaybridge
