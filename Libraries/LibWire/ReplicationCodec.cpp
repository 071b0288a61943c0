#include <LibWire/ReplicationCodec.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/ChecksummedMessage.h>
#include <LibWire/Generated/Replication.capnp.h>

namespace jaybridge {

namespace {

using wire::bytesOf;
using wire::damagedMessage;
using wire::textOf;

void write(wire::Voter::Builder Builder, const Voter &Value) {
  Builder.setId(Value.Id_.text());
  Builder.setGeneration(Value.Generation_.value());
}

Voter read(wire::Voter::Reader Reader) {
  return Voter{MemberId(textOf(Reader.getId())),
               FolderGeneration(Reader.getGeneration())};
}

void write(wire::VoterSet::Builder Builder, const VoterSet &Value) {
  auto Voters = Builder.initVoters(static_cast<unsigned>(Value.Voters_.size()));
  for (unsigned I = 0; I < Voters.size(); ++I)
    write(Voters[I], Value.Voters_[I]);
  if (!Value.Replacement_)
    return;
  const auto &[Joining, Leaving] = *Value.Replacement_;
  auto Replacement = Builder.initReplacement(Leaving ? 2 : 1);
  write(Replacement[0], Joining);
  if (Leaving)
    write(Replacement[1], *Leaving);
}

Result<VoterSet> read(wire::VoterSet::Reader Reader) {
  VoterSet Value;
  auto Voters = Reader.getVoters();
  auto Replacing = Reader.getReplacement();
  // A replacement in progress adds one voter.
  if (Voters.size() > VoterSet::MaxVoters + 1 || Replacing.size() > 2)
    return damagedMessage("too many voters");
  for (auto VoterReader : Voters)
    Value.Voters_.push_back(read(VoterReader));
  auto IsNotAscending = [](const Voter &Left, const Voter &Right) {
    return !(Left < Right);
  };
  if (std::adjacent_find(Value.Voters_.begin(), Value.Voters_.end(),
                         IsNotAscending) != Value.Voters_.end())
    return damagedMessage("voters are not sorted");
  if (Replacing.size() > 0)
    Value.Replacement_ = Replacement{read(Replacing[0]), std::nullopt};
  if (Replacing.size() > 1)
    Value.Replacement_->Leaving_ = read(Replacing[1]);
  return Value;
}

void write(wire::LogEntry::Builder Builder, const LogEntry &Value) {
  Builder.setIndex(Value.Index_.value());
  Builder.setTerm(Value.Term_.value());
  std::visit(
      Overloaded{
          [&](const LeaderStarted &) { Builder.setLeaderStarted(); },
          [&](const LogCommand &Command) {
            Builder.setCommand(bytesOf(Command.Payload_));
          },
          [&](const VoterSet &Voters) { write(Builder.initVoters(), Voters); }},
      Value.Content_);
}

Result<LogEntry> read(wire::LogEntry::Reader Reader) {
  LogEntry Value{LogIndex(Reader.getIndex()), Term(Reader.getTerm()), {}};
  if (Value.Index_ == LogIndex())
    return damagedMessage("log entry without an index");
  switch (Reader.which()) {
  case wire::LogEntry::LEADER_STARTED:
    return Value;
  case wire::LogEntry::COMMAND:
    Value.Content_ = LogCommand{textOf(Reader.getCommand())};
    return Value;
  case wire::LogEntry::VOTERS: {
    JAYBRIDGE_TRY(VoterSet Voters, read(Reader.getVoters()));
    Value.Content_ = std::move(Voters);
    return Value;
  }
  }
  return damagedMessage("unknown kind of log entry");
}

void write(capnp::List<wire::LogEntry>::Builder Builder,
           const std::vector<LogEntry> &Entries) {
  for (unsigned I = 0; I < Builder.size(); ++I)
    write(Builder[I], Entries[I]);
}

Result<std::vector<LogEntry>> read(capnp::List<wire::LogEntry>::Reader Reader) {
  std::vector<LogEntry> Entries;
  for (auto EntryReader : Reader) {
    JAYBRIDGE_TRY(LogEntry Entry, read(EntryReader));
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

unsigned countOf(const std::vector<LogEntry> &Entries) {
  return static_cast<unsigned>(Entries.size());
}

using MessageBuilder = wire::ReplicationMessage::Builder;

void write(MessageBuilder Message, const VoteRequest &Value) {
  auto Builder = Message.initVoteRequest();
  Builder.setIsPreVote(Value.IsPreVote_);
  Builder.setLastIndex(Value.LastIndex_.value());
  Builder.setLastTerm(Value.LastTerm_.value());
}

void write(MessageBuilder Message, const VoteAnswer &Value) {
  auto Builder = Message.initVoteAnswer();
  Builder.setIsPreVote(Value.IsPreVote_);
  Builder.setIsGranted(Value.IsGranted_);
  Builder.setRequestedTerm(Value.RequestedTerm_.value());
}

void write(MessageBuilder Message, const AppendRequest &Value) {
  auto Builder = Message.initAppendRequest();
  Builder.setPreviousIndex(Value.PreviousIndex_.value());
  Builder.setPreviousTerm(Value.PreviousTerm_.value());
  write(Builder.initEntries(countOf(Value.Entries_)), Value.Entries_);
  Builder.setCommitIndex(Value.CommitIndex_.value());
  Builder.setRound(Value.Round_.value());
}

void write(MessageBuilder Message, const AppendAnswer &Value) {
  auto Builder = Message.initAppendAnswer();
  Builder.setIsAccepted(Value.IsAccepted_);
  Builder.setMatchIndex(Value.MatchIndex_.value());
  Builder.setRound(Value.Round_.value());
}

void write(MessageBuilder Message, const SnapshotRequest &Value) {
  auto Builder = Message.initSnapshotRequest();
  Builder.setLastIndex(Value.LastIndex_.value());
  Builder.setLastTerm(Value.LastTerm_.value());
  write(Builder.initMembers(), Value.Members_);
  Builder.setOffset(Value.Offset_.value());
  Builder.setTotalSize(Value.TotalSize_.value());
  Builder.setPiece(bytesOf(Value.Piece_));
  Builder.setRound(Value.Round_.value());
}

void write(MessageBuilder Message, const SnapshotAnswer &Value) {
  auto Builder = Message.initSnapshotAnswer();
  Builder.setLastIndex(Value.LastIndex_.value());
  Builder.setNextOffset(Value.NextOffset_.value());
  Builder.setRound(Value.Round_.value());
}

void write(MessageBuilder Message, const JoinRequest &Value) {
  Message.setJoinRequest(Value.IsEmpty_);
}

void write(MessageBuilder Message, const FormationOffer &Value) {
  write(Message.initFormationOffer(), Value.First_);
}

void write(MessageBuilder Message, const FolderOutdated &) {
  Message.setFolderOutdated();
}

ReplicationBody read(wire::VoteRequest::Reader Reader) {
  return VoteRequest{Reader.getIsPreVote(), LogIndex(Reader.getLastIndex()),
                     Term(Reader.getLastTerm())};
}

ReplicationBody read(wire::VoteAnswer::Reader Reader) {
  return VoteAnswer{Reader.getIsPreVote(), Reader.getIsGranted(),
                    Term(Reader.getRequestedTerm())};
}

Result<ReplicationBody> read(wire::AppendRequest::Reader Reader) {
  JAYBRIDGE_TRY(std::vector<LogEntry> Entries, read(Reader.getEntries()));
  return ReplicationBody(AppendRequest{
      LogIndex(Reader.getPreviousIndex()), Term(Reader.getPreviousTerm()),
      std::move(Entries), LogIndex(Reader.getCommitIndex()),
      ReplicationRound(Reader.getRound())});
}

ReplicationBody read(wire::AppendAnswer::Reader Reader) {
  return AppendAnswer{Reader.getIsAccepted(), LogIndex(Reader.getMatchIndex()),
                      ReplicationRound(Reader.getRound())};
}

Result<ReplicationBody> read(wire::SnapshotRequest::Reader Reader) {
  JAYBRIDGE_TRY(VoterSet Members, read(Reader.getMembers()));
  return ReplicationBody(SnapshotRequest{
      LogIndex(Reader.getLastIndex()), Term(Reader.getLastTerm()),
      std::move(Members), SnapshotOffset(Reader.getOffset()),
      ByteCount(Reader.getTotalSize()), textOf(Reader.getPiece()),
      ReplicationRound(Reader.getRound())});
}

ReplicationBody read(wire::SnapshotAnswer::Reader Reader) {
  return SnapshotAnswer{LogIndex(Reader.getLastIndex()),
                        SnapshotOffset(Reader.getNextOffset()),
                        ReplicationRound(Reader.getRound())};
}

Result<ReplicationBody> readBody(wire::ReplicationMessage::Reader Reader) {
  using Kind = wire::ReplicationMessage::Which;
  switch (Reader.which()) {
  case Kind::VOTE_REQUEST:
    return read(Reader.getVoteRequest());
  case Kind::VOTE_ANSWER:
    return read(Reader.getVoteAnswer());
  case Kind::APPEND_REQUEST:
    return read(Reader.getAppendRequest());
  case Kind::APPEND_ANSWER:
    return read(Reader.getAppendAnswer());
  case Kind::SNAPSHOT_REQUEST:
    return read(Reader.getSnapshotRequest());
  case Kind::SNAPSHOT_ANSWER:
    return read(Reader.getSnapshotAnswer());
  case Kind::JOIN_REQUEST:
    return ReplicationBody(JoinRequest{Reader.getJoinRequest()});
  case Kind::FORMATION_OFFER: {
    JAYBRIDGE_TRY(LogEntry First, read(Reader.getFormationOffer()));
    return ReplicationBody(FormationOffer{std::move(First)});
  }
  case Kind::FOLDER_OUTDATED:
    return ReplicationBody(FolderOutdated{});
  }
  return damagedMessage("unknown kind of replication message");
}

Result<ReplicationMessage> read(wire::ReplicationMessage::Reader Reader) {
  JAYBRIDGE_TRY(ReplicationBody Body, readBody(Reader));
  return ReplicationMessage{read(Reader.getFrom()), Term(Reader.getTerm()),
                            std::move(Body)};
}

void write(wire::PersistLog::Builder Builder, const PersistLog &Value) {
  if (Value.Vote_) {
    auto Vote = Builder.initVote();
    Vote.setTerm(Value.Vote_->Term_.value());
    if (Value.Vote_->VotedFor_)
      write(Vote.initVotedFor(1)[0], *Value.Vote_->VotedFor_);
  }
  if (Value.Snapshot_) {
    auto Snapshot = Builder.initSnapshot();
    Snapshot.setLastIndex(Value.Snapshot_->LastIndex_.value());
    Snapshot.setLastTerm(Value.Snapshot_->LastTerm_.value());
    write(Snapshot.initMembers(), Value.Snapshot_->Members_);
    Snapshot.setState(bytesOf(Value.Snapshot_->State_));
  }
  write(Builder.initEntries(countOf(Value.Entries_)), Value.Entries_);
}

Result<PersistLog> read(wire::PersistLog::Reader Reader) {
  PersistLog Value;
  if (Reader.hasVote()) {
    auto Vote = Reader.getVote();
    Value.Vote_ = TermVote{Term(Vote.getTerm()), std::nullopt};
    if (Vote.getVotedFor().size() > 0)
      Value.Vote_->VotedFor_ = read(Vote.getVotedFor()[0]);
  }
  if (Reader.hasSnapshot()) {
    auto Snapshot = Reader.getSnapshot();
    JAYBRIDGE_TRY(VoterSet Members, read(Snapshot.getMembers()));
    Value.Snapshot_ = LogSnapshot{
        LogIndex(Snapshot.getLastIndex()), Term(Snapshot.getLastTerm()),
        std::move(Members), textOf(Snapshot.getState())};
  }
  JAYBRIDGE_TRY(Value.Entries_, read(Reader.getEntries()));
  return Value;
}

} // namespace

std::string encodeReplicationMessage(const ReplicationMessage &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::ReplicationMessage>();
  write(Root.initFrom(), Message.From_);
  Root.setTerm(Message.Term_.value());
  std::visit([&](const auto &Body) { write(Root, Body); }, Message.Body_);
  return wire::serializeWithChecksum(Builder);
}

Result<ReplicationMessage> decodeReplicationMessage(std::string_view Encoded) {
  return wire::readWithChecksum<wire::ReplicationMessage>(
      Encoded,
      [](wire::ReplicationMessage::Reader Root) { return read(Root); });
}

std::string encodePersistLog(const PersistLog &Write) {
  capnp::MallocMessageBuilder Builder;
  write(Builder.initRoot<wire::PersistLog>(), Write);
  return wire::serializeWithChecksum(Builder);
}

Result<PersistLog> decodePersistLog(std::string_view Encoded) {
  return wire::readWithChecksum<wire::PersistLog>(
      Encoded, [](wire::PersistLog::Reader Root) { return read(Root); });
}

} // namespace jaybridge
