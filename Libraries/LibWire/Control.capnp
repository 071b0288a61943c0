@0x9d3f6a1e57c4b2d8;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jaybridge::wire");

# Operator requests that a daemon forwards to another one, and their answers.
# Changes and catalogs are embedded as Configuration.capnp messages.

struct ControlError {
  # Value of jaybridge::ErrorCode.
  code @0 :UInt16;
  message @1 :Text;
  field @2 :Text;
}

struct ControlStep {
  atUs @0 :Int64;
  request @1 :Text;
  # Value of jaybridge::StepKind.
  kind @2 :UInt16;
  service @3 :Text;
  version @4 :UInt64;
  instance @5 :Text;
  domain @6 :Text;
  detail @7 :Text;
}

struct ControlMessage {
  query @0 :UInt64;
  # Member to retry the request at; empty when this message is the answer.
  tryInstead @1 :Text;
  union {
    change @2 :Data;
    accepted @3 :UInt64;
    changeFailed @4 :ControlError;
    catalogWanted @5 :Void;
    catalog @6 :Data;
    catalogFailed @7 :ControlError;
    traceWanted @8 :Text;
    trace @9 :List(ControlStep);
    traceFailed @10 :ControlError;
  }
}
