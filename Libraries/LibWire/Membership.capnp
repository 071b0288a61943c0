@0xb8c41e0a7d25f3a1;
# Messages of the failure detector and member gossip (class Membership).

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jaybridge::wire");

struct WireMember {
  id @0 :Text;
  address @1 :Text;
  port @2 :UInt16;
  domain @3 :Text;
  isControlMember @4 :Bool;
  # Value of jaybridge::MemberState.
  state @5 :UInt8;
  version @6 :UInt64;
}

struct WireMembership {
  probe @0 :UInt64;
  members @1 :List(WireMember);
  union {
    ping :group {
      bucketCount @2 :UInt32;
      bucketIndex @3 :UInt32;
      bucketHash @4 :UInt64;
    }
    pingAnswer @5 :Void;
    indirectPing @6 :Text;
    indirectAnswer @7 :Bool;
    # Id after which the page starts. The only record in members is the
    # sender's.
    membersWanted @8 :Text;
    membersPage @9 :Bool;
    bucketRecords :group {
      ofCount @10 :UInt32;
      ofIndex @11 :UInt32;
      isAnswer @12 :Bool;
    }
  }
}
