#pragma once

#include <LibCore/Identifiers.h>

namespace jaybridge {

/// Effect of a decision object: sends a message to a member of the fleet.
template <typename Message> struct SendToMember {
  MemberId To_;
  Message Message_;
};

/// Event of a decision object: a message was received from a member of the
/// fleet.
template <typename Message> struct FromMember {
  MemberId From_;
  Message Message_;
};

} // namespace jaybridge
