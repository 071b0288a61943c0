@0xe7a3d15c90b2f846;
# Messages between LeaseCandidate and LeaseVoter.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jaybridge::wire");

struct WireLeaseClaim {
  service @0 :Text;
  fence @1 :UInt64;
}

struct WireLease {
  round @0 :UInt64;
  union {
    renewal @1 :UInt64;
    request :group {
      held @2 :List(WireLeaseClaim);
      claims @3 :List(WireLeaseClaim);
    }
    release @4 :List(WireLeaseClaim);
    answer :group {
      highest @5 :UInt64;
      isRenewed @6 :Bool;
      granted @7 :List(Text);
    }
  }
}
