#pragma once

#include <LibCore/Result.h>
#include <LibRouting/GatewayMessages.h>

#include <string>
#include <string_view>
#include <variant>

namespace jaybridge {

/// Request that an entry daemon forwards to its home. The deadline is encoded
/// as the remaining time, because the clocks of VMs are not compared.
struct ForwardedRequest {
  std::shared_ptr<const Request> Request_;
  TimePoint Deadline_;
};

/// Cancels a forwarded request, whose caller has disconnected.
struct ForwardCancelled {
  RequestId Id_;
};

using ForwardMessage =
    std::variant<ForwardedRequest, ForwardAnswered, ForwardCancelled>;

/// Encodes the payload of a `MessageKind::Forward` message.
std::string encodeForwardMessage(const ForwardMessage &Message, TimePoint Now);

/// Fails with `Damaged` on malformed bytes. The `Deadline_` of a decoded
/// request is Now plus its remaining time.
Result<ForwardMessage> decodeForwardMessage(std::string_view Payload,
                                            TimePoint Now);

} // namespace jaybridge
