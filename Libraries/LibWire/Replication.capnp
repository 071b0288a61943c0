@0xb09152ff4f9ae51c;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jaybridge::wire");

# Messages between the members of the replicated log, and the records in their
# data folders.

struct Voter {
  id @0 :Text;
  generation @1 :UInt64;
}

struct VoterSet {
  voters @0 :List(Voter);
  # Joining voter, followed by the leaving voter if there is one; empty without
  # a replacement.
  replacement @1 :List(Voter);
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  union {
    leaderStarted @2 :Void;
    command @3 :Data;
    voters @4 :VoterSet;
  }
}

struct VoteRequest {
  isPreVote @0 :Bool;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
}

struct VoteAnswer {
  isPreVote @0 :Bool;
  isGranted @1 :Bool;
  requestedTerm @2 :UInt64;
}

struct AppendRequest {
  previousIndex @0 :UInt64;
  previousTerm @1 :UInt64;
  entries @2 :List(LogEntry);
  commitIndex @3 :UInt64;
  round @4 :UInt64;
}

struct AppendAnswer {
  isAccepted @0 :Bool;
  matchIndex @1 :UInt64;
  round @2 :UInt64;
}

struct SnapshotRequest {
  lastIndex @0 :UInt64;
  lastTerm @1 :UInt64;
  members @2 :VoterSet;
  offset @3 :UInt64;
  totalSize @4 :UInt64;
  piece @5 :Data;
  round @6 :UInt64;
}

struct SnapshotAnswer {
  lastIndex @0 :UInt64;
  nextOffset @1 :UInt64;
  round @2 :UInt64;
}

struct ReplicationMessage {
  from @0 :Voter;
  term @1 :UInt64;
  union {
    voteRequest @2 :VoteRequest;
    voteAnswer @3 :VoteAnswer;
    appendRequest @4 :AppendRequest;
    appendAnswer @5 :AppendAnswer;
    snapshotRequest @6 :SnapshotRequest;
    snapshotAnswer @7 :SnapshotAnswer;
    # True when the sender's data folder is empty.
    joinRequest @8 :Bool;
    formationOffer @9 :LogEntry;
    folderOutdated @10 :Void;
  }
}

struct TermVote {
  term @0 :UInt64;
  # Empty or one voter.
  votedFor @1 :List(Voter);
}

struct LogSnapshot {
  lastIndex @0 :UInt64;
  lastTerm @1 :UInt64;
  members @2 :VoterSet;
  state @3 :Data;
}

# One write to the log of a data folder.
struct PersistLog {
  vote @0 :TermVote;
  snapshot @1 :LogSnapshot;
  entries @2 :List(LogEntry);
}
