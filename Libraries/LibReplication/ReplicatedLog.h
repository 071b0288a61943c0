#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Random.h>
#include <LibReplication/EntryLog.h>
#include <LibReplication/FollowerProgress.h>
#include <LibReplication/PersistQueue.h>

#include <deque>
#include <set>

namespace jaybridge {

struct ReplicationSettings {
  MemberId Self_;
  /// All control members that may hold the log, with or without this one.
  std::vector<MemberId> Members_;
  Duration HeartbeatInterval_ = std::chrono::milliseconds(100);
  /// Five heartbeats, so that a few lost ones cause no election.
  Duration ElectionTimeout_ = std::chrono::milliseconds(500);
  /// A joining member that was not heard for so long is given up.
  Duration JoinTimeout_ = std::chrono::seconds(30);
  /// Committed entries after which a snapshot is asked for.
  std::size_t SnapshotIntervalEntries_ = 256;
  /// Whether this member may form a new log. Only one set of members may ever
  /// do so: where they are not listed, those that all members know of.
  bool CanFormLog_ = true;
};

enum class ReplicationRole { Follower, PreCandidate, Candidate, Leader };

/// One member's copy of a log of opaque commands that a majority agrees on.
/// Own design in the manner of Raft (Ongaro and Ousterhout, "In Search of an
/// Understandable Consensus Algorithm", 2014; pre-vote, read index and changes
/// of one member from Ongaro's dissertation, 2014). A voter is a member
/// together with its data folder: after a lost disk the member is another
/// voter, which takes the place of the old one once it has caught up. A new log
/// is formed only when all configured members were heard with empty folders.
class ReplicatedLog {
public:
  using Event = ReplicationEvent;
  using Effect = ReplicationEffect;
  using Effects = std::vector<Effect>;

  static constexpr std::size_t GreatestPendingProposals = 1024;
  static constexpr std::size_t GreatestPendingReads = 1024;
  static constexpr std::size_t GreatestUncommitted = 1024;
  /// Reached only when snapshots are not delivered; proposals are then refused.
  static constexpr std::size_t GreatestEntries = 8192;
  static constexpr std::size_t GreatestJoiners = 16;
  static constexpr std::size_t GreatestBatch = 64;
  static constexpr ByteCount GreatestPayload{4ULL * 1024 * 1024};
  static constexpr ByteCount GreatestBatchSize{256ULL * 1024};
  static constexpr ByteCount SnapshotPieceSize{64ULL * 1024};
  static constexpr ByteCount GreatestSnapshotSize{32ULL * 1024 * 1024};

  /// Errors: `Invalid` settings, `Damaged` content of the folder.
  static Result<ReplicatedLog> create(ReplicationSettings Settings,
                                      RecoveredLog Recovered, RandomSeed Seed,
                                      TimePoint Now);

  void handle(const Event &Received, TimePoint Now, Effects &Out);
  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const;

  ReplicationRole role() const { return Role_; }
  bool isLeader() const { return Role_ == ReplicationRole::Leader; }
  const std::optional<MemberId> &leader() const { return Leader_; }
  Term term() const { return Vote_.Term_; }
  LogIndex commitIndex() const { return CommitIndex_; }
  /// This member leads or has heard the leader within the election timeout.
  bool hasLeaderContact(TimePoint Now) const;
  const EntryLog &entries() const { return Log_; }
  const VoterSet &members() const { return Log_.members(); }
  bool isVoter() const { return members().isVoter(Self_); }
  bool isStopped() const { return IsStopped_; }
  /// When the leader last heard the voter; none when this is not the leader.
  std::optional<TimePoint> lastContact(const Voter &Asked) const;
  struct Joiner {
    FolderGeneration Generation_;
    bool IsEmpty_ = false;
    TimePoint FirstRequestAt_;
    TimePoint LastRequestAt_;
  };
  /// Members that asked to join, by id.
  const std::map<MemberId, Joiner> &pendingJoins() const { return Joiners_; }
  /// Messages dropped because storage did not keep up.
  EventCount droppedMessages() const { return Writes_.dropped(); }

private:
  struct Step {
    TimePoint Now_;
    Effects &Out_;
  };
  struct IncomingSnapshot {
    /// Pieces of different leaders are not mixed.
    Term Sender_;
    LogIndex LastIndex_;
    Term LastTerm_;
    std::string State_;
  };

  ReplicatedLog(ReplicationSettings Settings, Voter Self, TermVote Vote,
                EntryLog Log, RandomSeed Seed)
      : Settings_(std::move(Settings)), Self_(std::move(Self)),
        Vote_(std::move(Vote)), Log_(std::move(Log)), Random_(Seed) {}

  // ReplicatedLog.cpp: events, terms, writes and commits.
  void receive(const ReplicationMessage &Message, Step &S);
  void receive(const Propose &Proposal, Step &S);
  void receive(const ReadIndex &Read, Step &S);
  void receive(const Persisted &Done, Step &S);
  void receive(const PersistFailed &Failure, Step &S);
  void receive(const SnapshotTaken &Taken, Step &S);
  void receive(const ReplaceMember &Replace, Step &S);
  void announceRecovered(Step &S);
  void stop(Error Reason, Step &S);
  void refuseWhileStopped(const Event &Received, Step &S);
  void becomeFollower(Term Seen, Step &S);
  void dropPending(const std::string &Reason, Step &S);
  void commitTo(LogIndex Index, Step &S);
  void persist(PersistLog Write, Step &S);
  void persistVote(Step &S);
  ReplicationMessage message(ReplicationBody Body) const;
  /// Sends once all writes so far are synced.
  void send(const MemberId &To, ReplicationBody Body, Step &S);
  void sendAtOnce(const MemberId &To, ReplicationBody Body, Step &S);
  void resetElectionTimer(TimePoint Now);

  // ReplicatedLogElection.cpp
  void campaign(bool IsPreVote, Step &S);
  void countVote(const Voter &From, Step &S);
  void handleBody(const VoteRequest &Request, const ReplicationMessage &Message,
                  Step &S);
  void handleBody(const VoteAnswer &Answer, const ReplicationMessage &Message,
                  Step &S);

  // ReplicatedLogFollower.cpp
  void follow(const ReplicationMessage &Message, Step &S);
  void appendFrom(const AppendRequest &Request, Step &S);
  void handleBody(const AppendRequest &Request,
                  const ReplicationMessage &Message, Step &S);
  void handleBody(const SnapshotRequest &Request,
                  const ReplicationMessage &Message, Step &S);
  void handleBody(const FolderOutdated &Notice,
                  const ReplicationMessage &Message, Step &S);
  void installIncoming(const SnapshotRequest &Request, Step &S);

  // ReplicatedLogLeader.cpp
  void becomeLeader(Step &S);
  LogIndex appendOwn(decltype(LogEntry::Content_) Content, Step &S);
  void updateProgress(TimePoint Now);
  void sendLog(const Voter &To, Step &S);
  void sendSnapshotPiece(const Voter &To, FollowerProgress &Progress, Step &S);
  void broadcast(Step &S);
  void sendHeartbeat(const Voter &To, FollowerProgress &Progress, Step &S);
  void commitFromMatches(Step &S);
  void answerReads(Step &S);
  bool hearsMajority(TimePoint Now) const;
  void advanceLeader(Step &S);
  void handleBody(const AppendAnswer &Answer, const ReplicationMessage &Message,
                  Step &S);
  void handleBody(const SnapshotAnswer &Answer,
                  const ReplicationMessage &Message, Step &S);

  // ReplicatedLogMembers.cpp
  bool needsToJoin() const { return !members().names(Self_); }
  void askToJoin(Step &S);
  void formIfAllEmpty(Step &S);
  void adoptFirst(LogEntry First, Step &S);
  void replaceLostFolder(const Voter &Joining, Step &S);
  bool canChangeMembers() const;
  void continueReplacement(Step &S);
  void handleBody(const JoinRequest &Request, const ReplicationMessage &Message,
                  Step &S);
  void handleBody(const FormationOffer &Offer,
                  const ReplicationMessage &Message, Step &S);

  ReplicationSettings Settings_;
  Voter Self_;
  TermVote Vote_;
  EntryLog Log_;
  Random Random_;
  PersistQueue Writes_;

  ReplicationRole Role_ = ReplicationRole::Follower;
  std::optional<MemberId> Leader_;
  TimePoint LeaderHeard_;
  TimePoint ElectionDeadline_;
  LogIndex CommitIndex_;
  std::set<Voter> Votes_;
  bool IsStopped_ = false;
  bool IsRecoveryAnnounced_ = false;
  bool IsSnapshotAsked_ = false;
  std::optional<IncomingSnapshot> Incoming_;

  std::map<Voter, FollowerProgress> Progress_;
  std::map<LogIndex, ProposalId> Proposals_;
  std::deque<PendingRead> Reads_;
  ReplicationRound Round_;
  LogIndex LeaderStartIndex_;
  TimePoint NextHeartbeat_;

  std::map<MemberId, Joiner> Joiners_;
  TimePoint NextJoinRequest_;
};

static_assert(DecisionRole<ReplicatedLog>);

} // namespace jaybridge
