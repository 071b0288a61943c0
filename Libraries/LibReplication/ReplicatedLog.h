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
  /// Ids of all control members that may store the log. `Self_` may be left
  /// out.
  std::vector<MemberId> Members_;
  Duration HeartbeatInterval_ = std::chrono::milliseconds(100);
  /// Five heartbeat intervals, so that a few lost heartbeats cause no election.
  /// Deadlines are drawn from one to two times this.
  Duration ElectionTimeout_ = std::chrono::milliseconds(500);
  /// A replacement is abandoned when the joining member has been silent for
  /// this long, since it holds up all others. Longer than an election and than
  /// most stalls of a disk.
  Duration JoinerTimeout_ = std::chrono::milliseconds(2500);
  /// Join requests are forgotten after this time.
  Duration JoinRequestLifetime_ = std::chrono::seconds(30);
  /// Number of committed entries after which a new snapshot is requested.
  std::size_t SnapshotIntervalEntries_ = 256;
  /// Whether this member may form a new log. Only one set of members may ever
  /// form one, so `Members_` and `Self_` must be the same set at every member
  /// for which this is true.
  bool CanFormLog_ = true;
};

enum class ReplicationRole { Follower, PreCandidate, Candidate, Leader };

/// One member's replica of a log of opaque commands. The consensus protocol is
/// a variant of Raft (Ongaro and Ousterhout, "In Search of an Understandable
/// Consensus Algorithm", 2014; pre-vote, read index and single-server
/// membership changes from Ongaro's dissertation, 2014). A voter is a member
/// together with its data folder: a member that lost its disk is a new voter,
/// which replaces the old one once it has caught up. A new log is formed only
/// when all configured members have recently reported empty data folders.
class ReplicatedLog {
public:
  using Event = ReplicationEvent;
  using Effect = ReplicationEffect;
  using Effects = std::vector<Effect>;

  static constexpr std::size_t MaxPendingProposals = 1024;
  static constexpr std::size_t MaxPendingReads = 1024;
  static constexpr std::size_t MaxUncommittedEntries = 1024;
  /// Proposals are refused beyond this length of the log, which is reached only
  /// when the requested snapshots are not delivered.
  static constexpr std::size_t MaxEntries = 8192;
  static constexpr std::size_t MaxPendingJoins = 16;
  static constexpr std::size_t MaxBatchEntries = 64;
  static constexpr ByteCount MaxPayloadSize{4ULL * 1024 * 1024};
  static constexpr ByteCount MaxBatchSize{256ULL * 1024};
  static constexpr ByteCount SnapshotPieceSize{64ULL * 1024};
  static constexpr ByteCount MaxSnapshotSize{32ULL * 1024 * 1024};

  /// Errors: `Invalid` settings, `Damaged` content of the data folder.
  static Result<ReplicatedLog> create(ReplicationSettings Settings,
                                      RecoveredLog Recovered, RandomSeed Seed,
                                      TimePoint Now);

  void handle(const Event &Received, TimePoint Now, Effects &Out);
  /// Sends the heartbeats and join requests and handles the timeouts that are
  /// due.
  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const;

  ReplicationRole role() const { return Role_; }
  bool isLeader() const { return Role_ == ReplicationRole::Leader; }
  const std::optional<MemberId> &leader() const { return Leader_; }
  Term term() const { return Vote_.Term_; }
  LogIndex commitIndex() const { return CommitIndex_; }
  /// Whether this member leads or has received a message of the leader within
  /// the election timeout.
  bool hasLeaderContact(TimePoint Now) const;
  /// Whether an entry of the current term is committed here. The entries of all
  /// earlier leaders are then committed, too, so that nothing they acknowledged
  /// is missing from the applied state.
  bool hasCommittedInTerm() const;
  /// Whether the applied state is complete, or was within the election timeout:
  /// all that the leader had committed is applied.
  bool isUpToDate(TimePoint Now) const;
  const EntryLog &entries() const { return Log_; }
  const VoterSet &members() const { return Log_.members(); }
  bool isVoter() const { return members().isVoter(Self_); }
  bool isStopped() const { return IsStopped_; }
  /// When this leader last received an answer from the voter; nullopt when this
  /// member is not the leader.
  std::optional<TimePoint> lastContact(const Voter &Member) const;
  /// The latest `JoinRequest` of a member.
  struct PendingJoin {
    FolderGeneration Generation_;
    bool IsEmpty_ = false;
    TimePoint FirstRequestAt_;
    TimePoint LastRequestAt_;
  };
  /// Recent join requests by member id.
  const std::map<MemberId, PendingJoin> &pendingJoins() const {
    return PendingJoins_;
  }
  /// Number of messages dropped because the storage was too slow.
  EventCount droppedMessages() const { return Writes_.droppedMessages(); }

private:
  /// Time and effects of one call of handle() or advance().
  struct CallContext {
    TimePoint Now_;
    Effects &Effects_;
  };
  struct IncomingSnapshot {
    /// Term of the sending leader; pieces of different leaders are not mixed.
    Term SenderTerm_;
    LogIndex LastIndex_;
    Term LastTerm_;
    std::string State_;
  };

  ReplicatedLog(ReplicationSettings Settings, Voter Self, TermVote Vote,
                EntryLog Log, RandomSeed Seed)
      : Settings_(std::move(Settings)), Self_(std::move(Self)),
        Vote_(std::move(Vote)), Log_(std::move(Log)), Random_(Seed) {}

  // ReplicatedLog.cpp: events, terms, writes and commits.
  void handleEvent(const ReplicationMessage &Message, CallContext &Context);
  void handleEvent(const ProposalRequest &Proposal, CallContext &Context);
  void handleEvent(const ReadIndexRequest &Read, CallContext &Context);
  void handleEvent(const Persisted &Done, CallContext &Context);
  void handleEvent(const PersistFailed &Failure, CallContext &Context);
  void handleEvent(const SnapshotTaken &Taken, CallContext &Context);
  void handleEvent(const ReplaceMemberRequest &Replace, CallContext &Context);
  /// Installs the recovered snapshot at the first call after a start.
  void emitRecoveredSnapshot(CallContext &Context);
  void stop(Error Reason, CallContext &Context);
  void refuseWhileStopped(const Event &Received, CallContext &Context);
  void becomeFollower(Term ObservedTerm, CallContext &Context);
  /// Answers all pending proposals and reads with `Unavailable`.
  void failPendingRequests(const std::string &Reason, CallContext &Context);
  /// Commits all entries up to Index and requests a snapshot when one is due.
  void advanceCommitIndex(LogIndex Index, CallContext &Context);
  void persist(PersistLog Write, CallContext &Context);
  void persistVote(CallContext &Context);
  ReplicationMessage makeMessage(ReplicationBody Body) const;
  /// Sends the message once all writes so far are synced.
  void sendAfterSync(const MemberId &To, ReplicationBody Body,
                     CallContext &Context);
  void sendImmediately(const MemberId &To, ReplicationBody Body,
                       CallContext &Context);
  /// Draws the next election deadline at random, so that members rarely start
  /// elections at the same time.
  void resetElectionTimer(TimePoint Now);

  // ReplicatedLogElection.cpp
  /// Starts a pre-vote or an election and requests the votes.
  void campaign(bool IsPreVote, CallContext &Context);
  /// Counts a granted vote. A majority turns a pre-candidate into a candidate
  /// and a candidate into the leader.
  void countVote(const Voter &From, CallContext &Context);
  void handleBody(const VoteRequest &Request, const ReplicationMessage &Message,
                  CallContext &Context);
  void handleBody(const VoteAnswer &Answer, const ReplicationMessage &Message,
                  CallContext &Context);

  // ReplicatedLogFollower.cpp
  void followLeader(const ReplicationMessage &Message, CallContext &Context);
  void appendReceivedEntries(const AppendRequest &Request,
                             CallContext &Context);
  void handleBody(const AppendRequest &Request,
                  const ReplicationMessage &Message, CallContext &Context);
  void handleBody(const SnapshotRequest &Request,
                  const ReplicationMessage &Message, CallContext &Context);
  void handleBody(const FolderOutdated &Notice,
                  const ReplicationMessage &Message, CallContext &Context);
  void installIncomingSnapshot(const SnapshotRequest &Request,
                               CallContext &Context);

  // ReplicatedLogLeader.cpp
  void becomeLeader(CallContext &Context);
  /// Appends an entry of the current term and sends it to the receivers.
  LogIndex appendAsLeader(decltype(LogEntry::Content_) Content,
                          CallContext &Context);
  /// Makes `Progress_` hold exactly the receivers of the current voter set.
  void updateTrackedReceivers(TimePoint Now);
  /// Sends the entries that the receiver lacks, or a snapshot piece when they
  /// are compacted.
  void sendLog(const Voter &To, CallContext &Context);
  void sendSnapshotPiece(const Voter &To, FollowerProgress &Progress,
                         CallContext &Context);
  /// Sends entries or a heartbeat to every receiver.
  void broadcast(CallContext &Context);
  void sendHeartbeat(const Voter &To, FollowerProgress &Progress,
                     CallContext &Context);
  /// Commits the entries that a majority has synced.
  void updateCommitIndex(CallContext &Context);
  void answerReads(CallContext &Context);
  /// Whether a majority answered this leader within the election timeout.
  bool hasMajorityContact(TimePoint Now) const;
  void advanceLeader(CallContext &Context);
  void handleBody(const AppendAnswer &Answer, const ReplicationMessage &Message,
                  CallContext &Context);
  void handleBody(const SnapshotAnswer &Answer,
                  const ReplicationMessage &Message, CallContext &Context);

  // ReplicatedLogMembers.cpp
  /// Whether this member is neither a voter nor the joining member.
  bool isOutsider() const { return !members().isReceiver(Self_); }
  /// When the next join requests are due; nullopt while this member leads. A
  /// member that hears of no leader asks to join, too: it may have been
  /// replaced without having received that entry.
  std::optional<TimePoint> nextJoinRequest() const;
  void sendJoinRequests(CallContext &Context);
  void formLogIfAllFoldersEmpty(CallContext &Context);
  void adoptFirstEntry(LogEntry First, CallContext &Context);
  /// Abandons the replacement in progress if its joining member has asked to
  /// join with another folder and no longer answers with the former one.
  void abandonLostFolder(const Voter &Joining, CallContext &Context);
  /// Starts the replacement of a voter that restarted with an empty folder.
  void replaceLostFolder(const Voter &Joining, CallContext &Context);
  /// Whether this leader has committed an entry of its term and the last
  /// membership change.
  bool canChangeMembers() const;
  void continueReplacement(CallContext &Context);
  void handleBody(const JoinRequest &Request, const ReplicationMessage &Message,
                  CallContext &Context);
  void handleBody(const FormationOffer &Offer,
                  const ReplicationMessage &Message, CallContext &Context);

  ReplicationSettings Settings_;
  Voter Self_;
  TermVote Vote_;
  EntryLog Log_;
  Random Random_;
  PersistQueue Writes_;

  ReplicationRole Role_ = ReplicationRole::Follower;
  std::optional<MemberId> Leader_;
  TimePoint LastLeaderContact_;
  /// When this follower last had applied all that its leader had committed.
  std::optional<TimePoint> UpToDateAt_;
  TimePoint ElectionDeadline_;
  LogIndex CommitIndex_;
  std::set<Voter> Votes_;
  bool IsStopped_ = false;
  bool IsRecoveryEmitted_ = false;
  bool IsSnapshotRequested_ = false;
  std::optional<IncomingSnapshot> IncomingSnapshot_;

  std::map<Voter, FollowerProgress> Progress_;
  std::map<LogIndex, ProposalId> PendingProposals_;
  std::deque<PendingRead> PendingReads_;
  ReplicationRound Round_;
  LogIndex LeaderStartIndex_;
  TimePoint NextHeartbeat_;

  std::map<MemberId, PendingJoin> PendingJoins_;
  TimePoint NextJoinRequest_;
};

static_assert(DecisionRole<ReplicatedLog>);

} // namespace jaybridge
