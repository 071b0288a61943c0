#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>

namespace jaybridge {

/// Generates request ids that are unique in the fleet. An id consists of the
/// member's id, the start time of its process and a counter. Not thread-safe.
class RequestIdGenerator {
public:
  RequestIdGenerator(const MemberId &Member, WallTime StartedAt);

  RequestId next();

private:
  std::string Prefix_;
  std::uint64_t LastNumber_ = 0;
};

/// Returns the member that received the request from its caller, or an empty id
/// when the request id has another format.
MemberId receivingMemberOf(const RequestId &Id);

} // namespace jaybridge
