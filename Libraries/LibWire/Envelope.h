#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <string>

namespace jaybridge {

/// Kind of a payload, which selects its codec. The numbers are part of the
/// protocol.
enum class MessageKind : std::uint8_t {
  Replication = 1,
  Membership = 2,
  Directory = 3,
  Distribution = 4,
  Lease = 5,
  Evidence = 6,
  Ledger = 7,
  Forward = 8,
  Trace = 9,
  Configuration = 10,
  LedgerReply = 11,
  EjectionList = 12,
  Subscription = 13,
};

constexpr bool isMessageKind(std::uint8_t Number) {
  return Number >= static_cast<std::uint8_t>(MessageKind::Replication) &&
         Number <= static_cast<std::uint8_t>(MessageKind::Subscription);
}

/// Encoded message between daemons, as handed to and received from the
/// transport.
struct Envelope {
  MessageKind Kind_ = MessageKind::Membership;
  MemberId Sender_;
  std::string Payload_;
};

} // namespace jaybridge
