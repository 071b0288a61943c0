#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>

namespace jaybridge {

/// Gives request ids that are unique in the fleet: the member, the time at
/// which its process started, and a counter. Used by one thread.
class RequestIdGenerator {
public:
  RequestIdGenerator(const MemberId &Member, WallTime StartedAt);

  RequestId next();

private:
  std::string Prefix_;
  std::uint64_t Last_ = 0;
};

/// The member that received the request from its caller.
MemberId receivingMemberOf(const RequestId &Id);

} // namespace jaybridge
