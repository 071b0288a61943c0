@0xd327fe5fd038ab04;
# Requests that an entry daemon forwards to their home, and the home's answers.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jaybridge::wire");

struct HeaderField {
  name @0 :Text;
  value @1 :Data;
}

struct ForwardedRequest {
  id @0 :Text;
  service @1 :Text;
  method @2 :Text;
  target @3 :Data;
  headers @4 :List(HeaderField);
  body @5 :Data;
  # Remaining time at encoding, because the clocks of VMs are not compared.
  remainingMicroseconds @6 :Int64;
  hasKey @7 :Bool;
  key @8 :Data;
}

struct ForwardedResponse {
  status @0 :UInt16;
  headers @1 :List(HeaderField);
  body @2 :Data;
}

struct ForwardedRefusal {
  # Stable names, the same as in problem documents (RFC 9457).
  outcome @0 :Text;
  reason @1 :Text;
  hasRetryAfter @2 :Bool;
  retryAfterMicroseconds @3 :Int64;
  detail @4 :Data;
}

struct ForwardedAnswer {
  id @0 :Text;
  union {
    response @1 :ForwardedResponse;
    refusal @2 :ForwardedRefusal;
  }
}

struct ForwardMessage {
  union {
    request @0 :ForwardedRequest;
    answer @1 :ForwardedAnswer;
    cancelledId @2 :Text;
  }
}
