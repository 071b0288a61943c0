@0xfb72bb6ad64c6442;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jaybridge::wire");

# Configuration changes (commands of the replicated log and messages between
# daemons) and the catalog as stored in snapshots.

struct ProfileDraft {
  name @0 :Text;
  isRepeatable @1 :Bool;
  patienceUs @2 :Int64;
  floorPercent @3 :UInt32;
  weight @4 :UInt32;
  retryBudgetPercent @5 :UInt32;
  isHedgingAllowed @6 :Bool;
  falseEjection @7 :Float64;
  missedDetection @8 :Float64;
}

struct AssignService {
  service @0 :Text;
  profile @1 :Text;
}

struct ConfigurationChange {
  requestId @0 :Text;
  basedOn @1 :UInt64;
  author @2 :Text;
  atMs @3 :Int64;
  union {
    createProfile @4 :ProfileDraft;
    updateProfile @5 :ProfileDraft;
    assignService @6 :AssignService;
  }
}

struct ConfigurationError {
  # Value of jaybridge::ErrorCode.
  code @0 :UInt16;
  message @1 :Text;
  field @2 :Text;
}

struct ConfigurationAuditEntry {
  requestId @0 :Text;
  author @1 :Text;
  atMs @2 :Int64;
  basedOn @3 :UInt64;
  difference @4 :Text;
  content @5 :UInt64;
  union {
    accepted @6 :UInt64;
    refused @7 :ConfigurationError;
  }
}

struct ConfigurationSnapshot {
  version @0 :UInt64;
  profiles @1 :List(ProfileDraft);
  assignments @2 :List(AssignService);
  accepted @3 :List(ConfigurationAuditEntry);
  refused @4 :List(ConfigurationAuditEntry);
}
