@0xc2f09b6d1a8e4753;
# Messages of InstanceDirectory and ConfigurationDistributor.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jaybridge::wire");

struct WireInstance {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  port @3 :UInt16;
  domain @4 :Text;
  slots @5 :UInt32;
  # Value of jaybridge::InstanceState.
  state @6 :UInt8;
  version @7 :UInt64;
}

struct WireMark {
  key @0 :UInt64;
  digest @1 :UInt64;
}

struct WireExchange {
  records @0 :List(WireInstance);
  wanted @1 :List(UInt64);
  isNews @2 :Bool;
}

struct WireDirectory {
  union {
    exchange @0 :WireExchange;
    digest :group {
      round @1 :UInt64;
      root @2 :UInt64;
      recent @3 :List(WireMark);
    }
    digestAnswer :group {
      answeredRound @4 :UInt64;
      answeredRoot @5 :UInt64;
      repair @6 :WireExchange;
    }
    groups @7 :List(UInt64);
    leaves :group {
      group @8 :UInt64;
      digests @9 :List(UInt64);
    }
    marks :group {
      first @10 :UInt64;
      last @11 :UInt64;
      list @12 :List(WireMark);
    }
    wanted :group {
      hasAfter @13 :Bool;
      after @14 :UInt64;
    }
    page :group {
      records @15 :List(WireInstance);
      isLast @16 :Bool;
    }
    renewals @17 :List(UInt64);
    lapseQuestion @18 :UInt64;
    lapseAnswer :group {
      key @19 :UInt64;
      isHeld @20 :Bool;
    }
    load :group {
      instance @21 :Text;
      service @22 :Text;
      busy @23 :UInt32;
    }
  }
}

struct WireVersion {
  member @0 :Text;
  version @1 :UInt64;
}

struct WireSpread {
  version @0 :UInt64;
  union {
    gossip :group {
      isAnswerWanted @1 :Bool;
      heard @2 :List(WireVersion);
    }
    entriesWanted @3 :Void;
    entries @4 :List(Data);
    snapshotWanted :group {
      wantedHash @5 :UInt64;
      wantedOffset @6 :UInt64;
    }
    snapshot :group {
      hash @7 :UInt64;
      offset @8 :UInt64;
      size @9 :UInt64;
      bytes @10 :Data;
    }
  }
}
