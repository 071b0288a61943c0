@0xdcaeedc8bc0d1f76;
# Messages between gateways and the ejection authority of a service.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jaybridge::wire");

struct WireInstanceEvidence {
  instance @0 :Text;
  good @1 :UInt32;
  failed @2 :UInt32;
  # Three bytes per count: bucket, low byte and high byte of the count. Bit 7 of
  # the bucket marks cancelled attempts.
  latencies @3 :Data;
}

struct WireCrashEvidence {
  instance @0 :Text;
  fingerprint @1 :UInt64;
}

struct WireEvidenceReport {
  gateway @0 :Text;
  service @1 :Text;
  number @2 :UInt64;
  instances @3 :List(WireInstanceEvidence);
  crashes @4 :List(WireCrashEvidence);
  survived @5 :List(UInt64);
}

struct WireEjectionAnswer {
  gateway @0 :Text;
  service @1 :Text;
  number @2 :UInt64;
  fence @3 :UInt64;
  revision @4 :UInt64;
  ejected @5 :List(Text);
  quarantined @6 :List(UInt64);
  suspected @7 :List(UInt64);
}
