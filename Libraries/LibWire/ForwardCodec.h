#pragma once

#include <LibCore/Result.h>
#include <LibRouting/GatewayMessages.h>

#include <string>
#include <string_view>
#include <variant>

namespace jaybridge {

/// A request for its home. The deadline travels as the time that is left.
struct ForwardedRequest {
  std::shared_ptr<const Request> Request_;
  TimePoint Deadline_;
};

/// The caller of a forwarded request has gone.
struct ForwardCancelled {
  RequestId Id_;
};

using ForwardMessage =
    std::variant<ForwardedRequest, ForwardAnswered, ForwardCancelled>;

/// Payload of a `MessageKind::Forward` message.
std::string encodeForwardMessage(const ForwardMessage &Message, TimePoint Now);

/// Fails with `Damaged` on bytes that no codec wrote. A decoded request has
/// its `Deadline_` set.
Result<ForwardMessage> decodeForwardMessage(std::string_view Payload,
                                            TimePoint Now);

} // namespace jaybridge
