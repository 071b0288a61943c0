#include <LibWire/ReplicationCodec.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/ChecksummedMessage.h>
#include <LibWire/Generated/Replication.capnp.h>

namespace jaybridge {

namespace {

using wire::bytesOf;
using wire::damagedMessage;
using wire::textOf;

void write(wire::Voter::Builder Written, const Voter &Given) {
  Written.setId(Given.Id_.text());
  Written.setGeneration(Given.Generation_.value());
}

Voter read(wire::Voter::Reader Written) {
  return Voter{MemberId(textOf(Written.getId())),
               FolderGeneration(Written.getGeneration())};
}

void write(wire::VoterSet::Builder Written, const VoterSet &Given) {
  auto Voters = Written.initVoters(static_cast<unsigned>(Given.Voters_.size()));
  for (unsigned I = 0; I < Voters.size(); ++I)
    write(Voters[I], Given.Voters_[I]);
  if (!Given.Replacement_)
    return;
  const auto &[Joining, Leaving] = *Given.Replacement_;
  auto Replacement = Written.initReplacement(Leaving ? 2 : 1);
  write(Replacement[0], Joining);
  if (Leaving)
    write(Replacement[1], *Leaving);
}

Result<VoterSet> read(wire::VoterSet::Reader Written) {
  VoterSet Read;
  auto Voters = Written.getVoters();
  auto Pair = Written.getReplacement();
  // One more than permitted while a replacement is under way.
  if (Voters.size() > VoterSet::GreatestVoters + 1 || Pair.size() > 2)
    return damagedMessage("too many voters");
  for (auto Each : Voters)
    Read.Voters_.push_back(read(Each));
  auto IsNotRising = [](const Voter &Left, const Voter &Right) {
    return !(Left < Right);
  };
  if (std::adjacent_find(Read.Voters_.begin(), Read.Voters_.end(),
                         IsNotRising) != Read.Voters_.end())
    return damagedMessage("voters are not sorted");
  if (Pair.size() > 0)
    Read.Replacement_ = Replacement{read(Pair[0]), std::nullopt};
  if (Pair.size() > 1)
    Read.Replacement_->Leaving_ = read(Pair[1]);
  return Read;
}

void write(wire::LogEntry::Builder Written, const LogEntry &Given) {
  Written.setIndex(Given.Index_.value());
  Written.setTerm(Given.Term_.value());
  std::visit(
      Overloaded{
          [&](const LeaderStarted &) { Written.setLeaderStarted(); },
          [&](const LogCommand &Command) {
            Written.setCommand(bytesOf(Command.Payload_));
          },
          [&](const VoterSet &Voters) { write(Written.initVoters(), Voters); }},
      Given.Content_);
}

Result<LogEntry> read(wire::LogEntry::Reader Written) {
  LogEntry Read{LogIndex(Written.getIndex()), Term(Written.getTerm()), {}};
  if (Read.Index_ == LogIndex())
    return damagedMessage("entry without an index");
  switch (Written.which()) {
  case wire::LogEntry::LEADER_STARTED:
    return Read;
  case wire::LogEntry::COMMAND:
    Read.Content_ = LogCommand{textOf(Written.getCommand())};
    return Read;
  case wire::LogEntry::VOTERS: {
    JAYBRIDGE_TRY(VoterSet Voters, read(Written.getVoters()));
    Read.Content_ = std::move(Voters);
    return Read;
  }
  }
  return damagedMessage("unknown kind of entry");
}

void write(capnp::List<wire::LogEntry>::Builder Written,
           const std::vector<LogEntry> &Given) {
  for (unsigned I = 0; I < Written.size(); ++I)
    write(Written[I], Given[I]);
}

Result<std::vector<LogEntry>>
read(capnp::List<wire::LogEntry>::Reader Written) {
  std::vector<LogEntry> Read;
  for (auto Each : Written) {
    JAYBRIDGE_TRY(LogEntry Entry, read(Each));
    Read.push_back(std::move(Entry));
  }
  return Read;
}

unsigned countOf(const std::vector<LogEntry> &Entries) {
  return static_cast<unsigned>(Entries.size());
}

using MessageBuilder = wire::ReplicationMessage::Builder;

void write(MessageBuilder Message, const VoteRequest &Given) {
  auto Written = Message.initVoteRequest();
  Written.setIsPreVote(Given.IsPreVote_);
  Written.setLastIndex(Given.LastIndex_.value());
  Written.setLastTerm(Given.LastTerm_.value());
}

void write(MessageBuilder Message, const VoteAnswer &Given) {
  auto Written = Message.initVoteAnswer();
  Written.setIsPreVote(Given.IsPreVote_);
  Written.setIsGranted(Given.IsGranted_);
  Written.setRequestedTerm(Given.RequestedTerm_.value());
}

void write(MessageBuilder Message, const AppendRequest &Given) {
  auto Written = Message.initAppendRequest();
  Written.setPreviousIndex(Given.PreviousIndex_.value());
  Written.setPreviousTerm(Given.PreviousTerm_.value());
  write(Written.initEntries(countOf(Given.Entries_)), Given.Entries_);
  Written.setCommitIndex(Given.CommitIndex_.value());
  Written.setRound(Given.Round_.value());
}

void write(MessageBuilder Message, const AppendAnswer &Given) {
  auto Written = Message.initAppendAnswer();
  Written.setIsAccepted(Given.IsAccepted_);
  Written.setMatchIndex(Given.MatchIndex_.value());
  Written.setRound(Given.Round_.value());
}

void write(MessageBuilder Message, const SnapshotRequest &Given) {
  auto Written = Message.initSnapshotRequest();
  Written.setLastIndex(Given.LastIndex_.value());
  Written.setLastTerm(Given.LastTerm_.value());
  write(Written.initMembers(), Given.Members_);
  Written.setOffset(Given.Offset_.value());
  Written.setTotalSize(Given.TotalSize_.value());
  Written.setPiece(bytesOf(Given.Piece_));
  Written.setRound(Given.Round_.value());
}

void write(MessageBuilder Message, const SnapshotAnswer &Given) {
  auto Written = Message.initSnapshotAnswer();
  Written.setLastIndex(Given.LastIndex_.value());
  Written.setNextOffset(Given.NextOffset_.value());
  Written.setRound(Given.Round_.value());
}

void write(MessageBuilder Message, const JoinRequest &Given) {
  Message.setJoinRequest(Given.IsEmpty_);
}

void write(MessageBuilder Message, const FormationOffer &Given) {
  write(Message.initFormationOffer(), Given.First_);
}

void write(MessageBuilder Message, const FolderOutdated &) {
  Message.setFolderOutdated();
}

ReplicationBody read(wire::VoteRequest::Reader Written) {
  return VoteRequest{Written.getIsPreVote(), LogIndex(Written.getLastIndex()),
                     Term(Written.getLastTerm())};
}

ReplicationBody read(wire::VoteAnswer::Reader Written) {
  return VoteAnswer{Written.getIsPreVote(), Written.getIsGranted(),
                    Term(Written.getRequestedTerm())};
}

Result<ReplicationBody> read(wire::AppendRequest::Reader Written) {
  JAYBRIDGE_TRY(std::vector<LogEntry> Entries, read(Written.getEntries()));
  return ReplicationBody(AppendRequest{
      LogIndex(Written.getPreviousIndex()), Term(Written.getPreviousTerm()),
      std::move(Entries), LogIndex(Written.getCommitIndex()),
      ReplicationRound(Written.getRound())});
}

ReplicationBody read(wire::AppendAnswer::Reader Written) {
  return AppendAnswer{Written.getIsAccepted(),
                      LogIndex(Written.getMatchIndex()),
                      ReplicationRound(Written.getRound())};
}

Result<ReplicationBody> read(wire::SnapshotRequest::Reader Written) {
  JAYBRIDGE_TRY(VoterSet Members, read(Written.getMembers()));
  return ReplicationBody(SnapshotRequest{
      LogIndex(Written.getLastIndex()), Term(Written.getLastTerm()),
      std::move(Members), SnapshotOffset(Written.getOffset()),
      ByteCount(Written.getTotalSize()), textOf(Written.getPiece()),
      ReplicationRound(Written.getRound())});
}

ReplicationBody read(wire::SnapshotAnswer::Reader Written) {
  return SnapshotAnswer{LogIndex(Written.getLastIndex()),
                        SnapshotOffset(Written.getNextOffset()),
                        ReplicationRound(Written.getRound())};
}

Result<ReplicationBody> readBody(wire::ReplicationMessage::Reader Written) {
  using Kind = wire::ReplicationMessage::Which;
  switch (Written.which()) {
  case Kind::VOTE_REQUEST:
    return read(Written.getVoteRequest());
  case Kind::VOTE_ANSWER:
    return read(Written.getVoteAnswer());
  case Kind::APPEND_REQUEST:
    return read(Written.getAppendRequest());
  case Kind::APPEND_ANSWER:
    return read(Written.getAppendAnswer());
  case Kind::SNAPSHOT_REQUEST:
    return read(Written.getSnapshotRequest());
  case Kind::SNAPSHOT_ANSWER:
    return read(Written.getSnapshotAnswer());
  case Kind::JOIN_REQUEST:
    return ReplicationBody(JoinRequest{Written.getJoinRequest()});
  case Kind::FORMATION_OFFER: {
    JAYBRIDGE_TRY(LogEntry First, read(Written.getFormationOffer()));
    return ReplicationBody(FormationOffer{std::move(First)});
  }
  case Kind::FOLDER_OUTDATED:
    return ReplicationBody(FolderOutdated{});
  }
  return damagedMessage("unknown kind of message");
}

Result<ReplicationMessage> read(wire::ReplicationMessage::Reader Written) {
  JAYBRIDGE_TRY(ReplicationBody Body, readBody(Written));
  return ReplicationMessage{read(Written.getFrom()), Term(Written.getTerm()),
                            std::move(Body)};
}

void write(wire::PersistLog::Builder Written, const PersistLog &Given) {
  if (Given.Vote_) {
    auto Vote = Written.initVote();
    Vote.setTerm(Given.Vote_->Term_.value());
    if (Given.Vote_->VotedFor_)
      write(Vote.initVotedFor(1)[0], *Given.Vote_->VotedFor_);
  }
  if (Given.Snapshot_) {
    auto Snapshot = Written.initSnapshot();
    Snapshot.setLastIndex(Given.Snapshot_->LastIndex_.value());
    Snapshot.setLastTerm(Given.Snapshot_->LastTerm_.value());
    write(Snapshot.initMembers(), Given.Snapshot_->Members_);
    Snapshot.setState(bytesOf(Given.Snapshot_->State_));
  }
  write(Written.initEntries(countOf(Given.Entries_)), Given.Entries_);
}

Result<PersistLog> read(wire::PersistLog::Reader Written) {
  PersistLog Read;
  if (Written.hasVote()) {
    auto Vote = Written.getVote();
    Read.Vote_ = TermVote{Term(Vote.getTerm()), std::nullopt};
    if (Vote.getVotedFor().size() > 0)
      Read.Vote_->VotedFor_ = read(Vote.getVotedFor()[0]);
  }
  if (Written.hasSnapshot()) {
    auto Snapshot = Written.getSnapshot();
    JAYBRIDGE_TRY(VoterSet Members, read(Snapshot.getMembers()));
    Read.Snapshot_ = LogSnapshot{
        LogIndex(Snapshot.getLastIndex()), Term(Snapshot.getLastTerm()),
        std::move(Members), textOf(Snapshot.getState())};
  }
  JAYBRIDGE_TRY(Read.Entries_, read(Written.getEntries()));
  return Read;
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
