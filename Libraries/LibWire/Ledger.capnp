@0xfeacb246e06baf93;
# Messages between gateways and the replicas of the ledger.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jaybridge::wire");

struct WireClaimId {
  claimant @0 :Text;
  run @1 :UInt64;
  number @2 :UInt64;
}

struct WireHeader {
  name @0 :Text;
  value @1 :Text;
}

struct WireAnswer {
  union {
    response :group {
      status @0 :UInt16;
      headers @1 :List(WireHeader);
      body @2 :Data;
    }
    refusal :group {
      outcome @3 :UInt8;
      reason @4 :UInt8;
      hasRetryAfter @5 :Bool;
      retryAfterMicroseconds @6 :Int64;
      detail @7 :Text;
    }
  }
}

struct WireLedgerRequest {
  key @0 :Data;
  id @1 :WireClaimId;
  union {
    claim :group {
      fingerprint @2 :UInt64;
      timeLeftMicroseconds @3 :Int64;
    }
    release @4 :Void;
    finish :group {
      finishedFingerprint @5 :UInt64;
      answer @6 :WireAnswer;
    }
  }
}

struct WireLedgerReply {
  id @0 :WireClaimId;
  union {
    accepted @1 :Void;
    held :group {
      holder @2 :WireClaimId;
      fingerprint @3 :UInt64;
      isOverdue @4 :Bool;
    }
    finished :group {
      finishedFingerprint @5 :UInt64;
      answer @6 :WireAnswer;
    }
    abstained @7 :UInt8;
    closed @8 :Void;
  }
}
